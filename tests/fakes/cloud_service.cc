// The protocol's words stand here as literals of messages alone: `barrel` is a type of machine,
// `cellar` a zone, `lent_racks` says that a machine is a spot instance, `hire_ask` identifies a
// request for machines.
#include "fakes/cloud_service.h"

#include <algorithm>

namespace seampass::fakes {
namespace {

constexpr Ms kBootTime = 3000;
constexpr const char* kCatalog =
    R"({"barrels":[{"name":"big","cpus":8,"accelerators":2,"memory_gb":64,"cache_gb":50,
             "fetch_gb_per_s":1,"price":4,"low_price":1.5,"ready_s":5,"cellars":["a","b"]}]})";

// m-000001, m-000002, …
std::string machine_name(int number) {
  constexpr std::size_t width = 6;
  const std::string digits = std::to_string(number);
  return "m-" + std::string(width - digits.size(), '0') + digits;
}

}  // namespace

void CloudService::handle(const net::Request& request, const net::Answer& answer) {
  if (down) return answer({503, R"({"error":"trouble"})", 0});
  if (request.path == "/catalog") return answer({200, kCatalog, 0});
  if (request.path == "/rentals" && request.method == "POST")
    return answer(rent(wire::Json::parse(request.body)));
  if (request.path == "/rentals/delete") {
    if (refuses_deletion) return answer({503, R"({"error":"trouble"})", 0});
    return answer(remove(wire::Json::parse(request.body)));
  }
  answer(list());
}

std::string CloudService::boot(const MachineSpec& spec, Ms delay) {
  std::string name = machine_name(++last_number_);
  listed_[name] = {spec, net_.time().now()};
  net_.time().after(delay, [this, name, spec] {
    if (listed_.contains(name)) power_on(name, spec);
  });
  return name;
}

void CloudService::restart(const std::string& name) {
  machines.erase(name);
  power_on(name, listed_.at(name).spec);
}

void CloudService::power_on(const std::string& name, const MachineSpec& spec) {
  machines[name] = std::make_unique<Worker>(net_, checker_, timing_, name, spec, nodes_);
}

net::Response CloudService::rent(const wire::Json& request) {
  const std::string id = request.at("hire_ask");
  if (!rented_for_.contains(id)) {
    const int room = capacity - static_cast<int>(listed_.size());
    const int count = std::min<int>(request.at("count").get<int>(), room);
    if (count <= 0) return {503, R"({"error":"no capacity"})", 0};
    const MachineSpec spec{request.at("barrel"), request.at("cellar"), request.at("lent_racks")};
    rented += count;
    rented_by_zone[spec.zone] += count;
    for (int i = 0; i < count; ++i) rented_for_[id].push_back(boot(spec, kBootTime));
  }
  return {200, wire::Json{{"hosts", rented_for_[id]}}.dump(), 0};
}

net::Response CloudService::remove(const wire::Json& request) {
  for (const std::string& name : request.at("hosts").get<std::vector<std::string>>()) {
    machines.erase(name);
    listed_.erase(name);
  }
  return {200, "{}", 0};
}

net::Response CloudService::list() const {
  wire::Json hosts = wire::Json::array();
  for (const auto& [name, listing] : listed_)
    hosts.push_back({{"ref", name},
                     {"addr", name + ":9000"},
                     {"barrel", listing.spec.type},
                     {"cellar", listing.spec.zone},
                     {"lent_racks", listing.spec.spot},
                     {"stage", machines.contains(name) ? "running" : "starting"},
                     {"age_s", static_cast<double>(net_.time().now() - listing.rented_at) / 1000}});
  return {200, wire::Json{{"hosts", hosts}, {"has_next", false}}.dump(), 0};
}

}  // namespace seampass::fakes
