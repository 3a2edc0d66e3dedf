#include "leader/fleet/zone_monitor.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;

std::map<std::string, ZoneHealth> ZoneMonitor::measure() const {
  const Ms now = runtime_.now();
  const Ms patience = net::ms(settings_.lease_s) / 2;
  std::map<std::string, ZoneHealth> zones;
  for (const auto& [name, machine] : inventory_.machines()) {
    if (machine.deleting || machine.zone.empty()) continue;
    ZoneHealth& zone = zones[machine.zone];
    if (machine.registered) {
      ++zone.up;
      zone.silent += inventory_.is_silent(machine) ? 1 : 0;
      zone.overdue += inventory_.is_overdue(machine) ? 1 : 0;
    } else if (machine.listed_running_at &&
               now - std::max(*machine.listed_running_at, machine.last_heartbeat_at) > patience) {
      ++zone.unheard;
    }
  }
  return zones;
}

void ZoneMonitor::update_cut_zones(const std::map<std::string, ZoneHealth>& zones) {
  for (const auto& [name, zone] : zones) {
    const int mute = zone.silent + zone.unheard;
    // (A few that died together are no cut.)
    if (mute > 2 && mute * 4 > (zone.up + zone.unheard) * 3) {
      cut_until_[name] = runtime_.now() + net::ms(settings_.lease_s);
    } else if (zone.up > zone.silent) {
      cut_until_.erase(name);
    }
  }
}

bool ZoneMonitor::is_cut(const std::string& zone) const {
  const auto cut = cut_until_.find(zone);
  return cut != cut_until_.end() && runtime_.now() < cut->second;
}

}  // namespace seampass::leader
