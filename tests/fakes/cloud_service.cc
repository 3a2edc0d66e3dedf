// The cloud's protocol has field names of its own, which appear here only in string literals:
// `barrel` is a machine type, `cellar` is a zone, `lent_racks` is true for a spot instance, and
// `hire_ask` is the id of a request for machines.
#include "fakes/cloud_service.h"

#include <algorithm>

namespace seampass::fakes {
namespace {

constexpr Ms kBootTime = 3000;
constexpr const char* kCatalog =
    R"({"barrels":[{"name":"big","cpus":8,"accelerators":2,"memory_gb":64,"cache_gb":50,
             "fetch_gb_per_s":1,"price":4,"low_price":1.5,"ready_s":5,"cellars":["a","b"]}]})";

// Machine names are m-000001, m-000002 and so on.
std::string machine_name(int number) {
  constexpr std::size_t width = 6;
  const std::string digits = std::to_string(number);
  return "m-" + std::string(width - digits.size(), '0') + digits;
}

}  // namespace

void CloudService::handle(const net::Request& request, const net::Answer& answer) {
  if (down) return answer({503, R"({"error":"service unavailable"})", 0});
  if (request.path == "/catalog") return answer({200, kCatalog, 0});
  if (request.path == "/rentals" && request.method == "POST")
    return answer(rent(wire::Json::parse(request.body)));
  if (request.path == "/rentals/delete") {
    if (refuses_deletion) return answer({503, R"({"error":"service unavailable"})", 0});
    return answer(remove(wire::Json::parse(request.body)));
  }
  answer(list());
}

std::string CloudService::boot(const MachineSpec& spec, Ms delay) {
  std::string name = machine_name(++last_machine_number_);
  listings_[name] = {spec, net_.time().now()};
  net_.time().after(delay, [this, name, spec] {
    if (listings_.contains(name)) power_on(name, spec);
  });
  return name;
}

void CloudService::restart(const std::string& name) {
  machines.erase(name);
  power_on(name, listings_.at(name).spec);
}

void CloudService::power_on(const std::string& name, const MachineSpec& spec) {
  machines[name] = std::make_unique<Worker>(net_, checker_, timing_, name, spec, nodes_);
}

net::Response CloudService::rent(const wire::Json& request) {
  const std::string id = request.at("hire_ask");
  if (!machines_by_request_.contains(id)) {
    const int free_capacity = capacity - static_cast<int>(listings_.size());
    const int count = std::min<int>(request.at("count").get<int>(), free_capacity);
    if (count <= 0) return {503, R"({"error":"no capacity"})", 0};
    const MachineSpec spec{request.at("barrel"), request.at("cellar"), request.at("lent_racks")};
    rented += count;
    rented_by_zone[spec.zone] += count;
    for (int i = 0; i < count; ++i) machines_by_request_[id].push_back(boot(spec, kBootTime));
  }
  return {200, wire::Json{{"hosts", machines_by_request_[id]}}.dump(), 0};
}

net::Response CloudService::remove(const wire::Json& request) {
  for (const std::string& name : request.at("hosts").get<std::vector<std::string>>()) {
    machines.erase(name);
    listings_.erase(name);
  }
  return {200, "{}", 0};
}

net::Response CloudService::list() const {
  wire::Json hosts = wire::Json::array();
  for (const auto& [name, listing] : listings_)
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
