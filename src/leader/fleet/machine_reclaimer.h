// Returns machines to the cloud: those that are idle, that never came up, or that are silent for
// good. Owns the names whose deletion is asked for and not confirmed yet. A machine counts as gone,
// and what is on it with it, only once the cloud has confirmed its deletion.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "cloud/client.h"
#include "config/settings.h"
#include "leader/fleet/machine_inventory.h"
#include "leader/fleet/zone_monitor.h"
#include "net/callback_scope.h"
#include "net/runtime.h"

namespace seampass::leader {

class MachineReclaimer {
 public:
  // on_gone: the machine, and all that is on it, surely no longer exists.
  MachineReclaimer(net::Runtime& runtime, cloud::Client& cloud, const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, ZoneMonitor& zones,
                   MachineInventory& inventory, std::function<void(Machine&)> on_gone);

  void end_term();

  // Asks the cloud to delete it; `on_gone` follows once it has confirmed.
  void remove(Machine& machine);
  // Returns what is idle, lost or never came; not what is `reserved`, if nothing but its idleness
  // speaks against it.
  void reclaim_unwanted(const std::set<std::string>& reserved);

 private:
  enum class Use { reserved, free };

  bool is_unwanted(Machine& machine, const std::map<std::string, ZoneHealth>& zones,
                   const std::set<std::string>& reserved);
  [[nodiscard]] bool failed_to_start(const Machine& machine) const;
  [[nodiscard]] bool is_lost(const Machine& silent, const ZoneHealth& zone) const;
  bool is_surplus(Machine& machine, Use use);
  void mark_for_removal(Machine& machine);
  void flush_removals();
  void on_deleted(const std::vector<std::string>& names);

  net::Runtime& runtime_;
  cloud::Client& cloud_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  ZoneMonitor& zones_;
  MachineInventory& inventory_;
  std::function<void(Machine&)> on_gone_;
  net::CallbackScope term_;
  std::set<std::string> to_delete_;
  bool deletion_in_flight_ = false;
};

}  // namespace seampass::leader
