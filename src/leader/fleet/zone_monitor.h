// The ZoneMonitor detects zones that look unreachable from this leader. The leader rents no
// machines in such a zone, because their heartbeats could not reach this leader. The
// MachineReclaimer also uses the counts per zone: when many machines of a zone stop reporting at
// the same time, it does not assume that they have failed. The class owns, for each zone, until
// when the zone counts as unreachable. Times are in milliseconds of the steady clock.
#pragma once

#include <map>
#include <string>

#include "config/settings.h"
#include "leader/fleet/machine_inventory.h"
#include "net/runtime.h"

namespace seampass::leader {

struct ZoneHealth {
  int registered = 0;  // machines that have registered with this leader
  int overdue = 0;     // registered machines whose heartbeat is overdue
  int timed_out = 0;   // registered machines whose heartbeat has timed out
  // Machines that have not registered although the cloud has listed them as running for long enough
  // to do so.
  int unregistered = 0;
};

class ZoneMonitor {
 public:
  ZoneMonitor(net::Runtime& runtime, const config::Settings& settings,
              const MachineInventory& inventory)
      : runtime_(runtime), settings_(settings), inventory_(inventory) {}

  void end_term() { unreachable_until_.clear(); }

  // Counts the machines of each zone. The result has no entry for a zone without machines.
  [[nodiscard]] std::map<std::string, ZoneHealth> measure() const;
  // Updates which zones count as unreachable, from the result of measure().
  void update_unreachable_zones(const std::map<std::string, ZoneHealth>& zones);
  [[nodiscard]] bool is_unreachable(const std::string& zone) const;

 private:
  net::Runtime& runtime_;
  const config::Settings& settings_;
  const MachineInventory& inventory_;
  std::map<std::string, net::Ms> unreachable_until_;
};

}  // namespace seampass::leader
