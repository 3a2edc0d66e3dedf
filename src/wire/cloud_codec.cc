#include "wire/cloud_codec.h"

#include <utility>

#include "wire/enum_names.h"
#include "wire/json_fields.h"

namespace seampass::wire {
namespace {

constexpr EnumNames<MachineStage, 3> kMachineStageNames{{{MachineStage::booting, "starting"},
                                                         {MachineStage::running, "running"},
                                                         {MachineStage::failed, "failed"}}};

MachineType machine_type_from(const Json& object) {
  MachineType type;
  type.name = short_text_field(object, "name");
  type.cpus = amount_field(object, "cpus");
  type.gpus = optional_field(object, "accelerators", amount_field).value_or(0);
  type.memory_gb = amount_field(object, "memory_gb");
  type.cache_gb = optional_field(object, "cache_gb", amount_field).value_or(0);
  type.fetch_gb_per_s = optional_field(object, "fetch_gb_per_s", amount_field).value_or(0);
  type.price = amount_field(object, "price");
  type.spot_price = optional_field(object, "low_price", amount_field).value_or(type.price);
  type.boot_s = amount_field(object, "ready_s");
  type.zones = text_list_field(object, "cellars");
  return type;
}

ListedMachine listed_machine_from(const Json& object) {
  ListedMachine machine;
  machine.name = short_text_field(object, "ref");
  machine.addr = optional_field(object, "addr", text_field).value_or("");
  machine.type = short_text_field(object, "barrel");
  machine.zone = short_text_field(object, "cellar");
  machine.spot = flag_field(object, "lent_racks");
  machine.stage = enum_field(kMachineStageNames, object, "stage");
  machine.age_s = amount_field(object, "age_s");
  return machine;
}

}  // namespace

std::vector<MachineType> catalog_from(std::string_view text) {
  const Json object = parse_object(text);
  std::vector<MachineType> types;
  for (const Json& type : list_field(object, "barrels")) {
    require_object(type, "barrels");
    types.push_back(machine_type_from(type));
  }
  return types;
}

std::string rental_body(const Rental& rental) {
  return Json{{"hire_ask", rental.request},
              {"barrel", rental.type},
              {"cellar", rental.zone},
              {"lent_racks", rental.spot},
              {"count", rental.count}}
      .dump();
}

std::vector<std::string> rented_from(std::string_view text) {
  return text_list_field(parse_object(text), "hosts");
}

std::string delete_body(const std::vector<std::string>& machines) {
  return Json{{"hosts", machines}}.dump();
}

MachinePage machines_from(std::string_view text) {
  const Json object = parse_object(text);
  MachinePage page;
  page.has_next_page = optional_field(object, "has_next", flag_field).value_or(false);
  for (const Json& machine : list_field(object, "hosts")) {
    require_object(machine, "hosts");
    page.machines.push_back(listed_machine_from(machine));
  }
  return page;
}

}  // namespace seampass::wire
