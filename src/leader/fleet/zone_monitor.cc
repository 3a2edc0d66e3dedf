#include "leader/fleet/zone_monitor.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;

std::map<std::string, ZoneHealth> ZoneMonitor::measure() const {
  const Ms now = runtime_.now();
  const Ms timeout = net::ms(settings_.lease_s) / 2;
  std::map<std::string, ZoneHealth> zones;
  for (const auto& [name, machine] : inventory_.machines()) {
    if (machine.deleting || machine.zone.empty()) continue;
    ZoneHealth& zone = zones[machine.zone];
    if (machine.registered) {
      ++zone.registered;
      zone.timed_out += inventory_.heartbeat_timed_out(machine) ? 1 : 0;
      zone.overdue += inventory_.is_overdue(machine) ? 1 : 0;
    } else if (machine.listed_running_at &&
               now - std::max(*machine.listed_running_at, machine.last_heartbeat_at) > timeout) {
      ++zone.unregistered;
    }
  }
  return zones;
}

void ZoneMonitor::update_unreachable_zones(const std::map<std::string, ZoneHealth>& zones) {
  for (const auto& [name, zone] : zones) {
    const int not_reporting = zone.timed_out + zone.unregistered;
    // One or two machines that failed at the same time do not make the zone unreachable.
    if (not_reporting > 2 && not_reporting * 4 > (zone.registered + zone.unregistered) * 3) {
      unreachable_until_[name] = runtime_.now() + net::ms(settings_.lease_s);
    } else if (zone.registered > zone.timed_out) {
      unreachable_until_.erase(name);
    }
  }
}

bool ZoneMonitor::is_unreachable(const std::string& zone) const {
  const auto entry = unreachable_until_.find(zone);
  return entry != unreachable_until_.end() && runtime_.now() < entry->second;
}

}  // namespace seampass::leader
