// The MachineReclaimer returns machines to the cloud: idle machines, machines that failed to start,
// and machines whose heartbeats have timed out. It owns the names of the machines whose deletion
// has been requested but not confirmed. A machine, and everything that runs on it, counts as absent
// only once the cloud has confirmed the deletion. The Fleet calls this class from the leader's
// event loop.
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
  // `on_machine_deleted` is called once it is certain that the machine, and everything on it, no
  // longer exists.
  MachineReclaimer(net::Runtime& runtime, cloud::Client& cloud, const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, ZoneMonitor& zones,
                   MachineInventory& inventory, std::function<void(Machine&)> on_machine_deleted);

  void end_term();

  // Requests the deletion of the machine from the cloud. `on_machine_deleted` is called once the
  // cloud has confirmed it.
  void request_deletion(Machine& machine);
  // Returns all machines that are idle, lost or failed to start. A machine named in `reserved` is
  // not returned for being idle, but it is returned if it is lost or failed to start.
  void reclaim_unwanted(const std::set<std::string>& reserved);

 private:
  enum class Availability { reserved, free };

  bool is_unwanted(Machine& machine, const std::map<std::string, ZoneHealth>& zones,
                   const std::set<std::string>& reserved);
  [[nodiscard]] bool failed_to_start(const Machine& machine) const;
  [[nodiscard]] bool is_lost(const Machine& machine, const ZoneHealth& zone) const;
  bool is_surplus(Machine& machine, Availability availability);
  void mark_for_removal(Machine& machine);
  void flush_removals();
  void on_deleted(const std::vector<std::string>& names);

  net::Runtime& runtime_;
  cloud::Client& cloud_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  ZoneMonitor& zones_;
  MachineInventory& inventory_;
  std::function<void(Machine&)> on_machine_deleted_;
  net::CallbackScope term_;
  std::set<std::string> to_delete_;
  bool deletion_in_flight_ = false;
};

}  // namespace seampass::leader
