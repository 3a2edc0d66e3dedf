// Which zones look cut off from this leader: it neither rents there, where a machine could not be
// heard, nor takes the silence of many machines at once for their end. Owns, for each zone, until
// when it counts as cut off.
#pragma once

#include <map>
#include <string>

#include "config/settings.h"
#include "leader/fleet/machine_inventory.h"
#include "net/runtime.h"

namespace seampass::leader {

struct ZoneHealth {
  int up = 0;       // machines that this leader has heard
  int overdue = 0;  // of them: a report has not come
  int silent = 0;   // of them: none for most of a lease
  int unheard = 0;  // up by the list, for long enough to have reported
};

class ZoneMonitor {
 public:
  ZoneMonitor(net::Runtime& runtime, const config::Settings& settings,
              const MachineInventory& inventory)
      : runtime_(runtime), settings_(settings), inventory_(inventory) {}

  void end_term() { cut_until_.clear(); }

  // By zone; a zone without machines is not named.
  [[nodiscard]] std::map<std::string, ZoneHealth> measure() const;
  void update_cut_zones(const std::map<std::string, ZoneHealth>& zones);
  [[nodiscard]] bool is_cut(const std::string& zone) const;

 private:
  net::Runtime& runtime_;
  const config::Settings& settings_;
  const MachineInventory& inventory_;
  std::map<std::string, net::Ms> cut_until_;
};

}  // namespace seampass::leader
