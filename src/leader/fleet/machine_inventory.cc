#include "leader/fleet/machine_inventory.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;

namespace {
// The heartbeat of a machine has timed out if none has arrived for this share of a worker lease. It
// is overdue if none has arrived for this many heartbeat intervals.
constexpr double kHeartbeatTimeoutShare = 0.6;
constexpr double kOverdueIntervals = 1.6;
}  // namespace

MachineInventory::MachineInventory(net::Runtime& runtime, const cloud::MachineCatalog& catalog,
                                   const config::Settings& settings)
    : runtime_(runtime), catalog_(catalog), settings_(settings) {}

void MachineInventory::end_term() {
  machines_.clear();
  deleted_.clear();
}

Machine* MachineInventory::find(const std::string& name) {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

Machine& MachineInventory::ensure(const std::string& name) {
  Machine& machine = machines_[name];
  if (machine.name.empty()) {
    machine.name = name;
    machine.rented_at = machine.idle_since = runtime_.now();
  }
  return machine;
}

Machine& MachineInventory::register_listed(const wire::ListedMachine& listed) {
  const Ms now = runtime_.now();
  const bool is_new = find(listed.name) == nullptr;
  Machine& machine = ensure(listed.name);
  if (machine.type.empty()) {
    machine.addr = listed.addr;
    machine.type = listed.type;
    machine.zone = listed.zone;
    machine.spot = listed.spot;
  }
  if (is_new) machine.rented_at = now - net::ms(listed.age_s);
  if (listed.stage == wire::MachineStage::running && !machine.listed_running_at)
    machine.listed_running_at = now;
  return machine;
}

void MachineInventory::register_rented(const std::string& name, const wire::Rental& rental) {
  Machine& machine = ensure(name);
  if (!machine.type.empty()) return;
  machine.type = rental.type;
  machine.zone = rental.zone;
  machine.spot = rental.spot;
  machine.rented_at = runtime_.now();
}

Ms MachineInventory::heartbeat_age(const Machine& machine) const {
  return runtime_.now() - std::max(machine.last_heartbeat_at, term_started_at_);
}

bool MachineInventory::heartbeat_timed_out(const Machine& machine) const {
  return heartbeat_age(machine) > net::ms(kHeartbeatTimeoutShare * settings_.lease_s);
}

bool MachineInventory::is_overdue(const Machine& machine) const {
  return heartbeat_age(machine) > net::ms(kOverdueIntervals * settings_.heartbeat_interval_s);
}

double MachineInventory::boot_s(const Machine& machine) const {
  const wire::MachineType* type = catalog_.find(machine.type);
  return type ? type->boot_s : settings_.lease_s;
}

}  // namespace seampass::leader
