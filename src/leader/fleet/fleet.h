// The Fleet is the interface through which the rest of the leader uses its machines. It polls the
// cloud's list of machines and connects the classes that store the machines (MachineInventory),
// monitor their zones (ZoneMonitor), rent machines (ScaleOut) and return them (MachineReclaimer).
// All calls come from the leader's event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cloud/client.h"
#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/fleet/machine.h"
#include "leader/fleet/machine_inventory.h"
#include "leader/fleet/machine_reclaimer.h"
#include "leader/fleet/scale_out.h"
#include "leader/fleet/zone_monitor.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "sched/sched.h"

namespace seampass::leader {

class Fleet {
 public:
  // `on_machine_deleted` is called once it is certain that the machine, and everything on it, no
  // longer exists.
  Fleet(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& catalog,
        const config::Settings& settings, const config::OperatorSettings& operator_settings,
        std::function<void(Machine&)> on_machine_deleted);

  void start_term(std::uint64_t epoch);
  void end_term();

  // Access to the known machines: see MachineInventory.
  [[nodiscard]] Machine* find(const std::string& name) { return inventory_.find(name); }
  Machine& ensure(const std::string& name) { return inventory_.ensure(name); }
  [[nodiscard]] MachineInventory::Map& machines() { return inventory_.machines(); }
  [[nodiscard]] const MachineInventory::Map& machines() const { return inventory_.machines(); }
  [[nodiscard]] bool is_deleted(const std::string& name) const {
    return inventory_.is_deleted(name);
  }
  [[nodiscard]] bool is_overdue(const Machine& machine) const {
    return inventory_.is_overdue(machine);
  }

  // Returns machines to the cloud: see MachineReclaimer.
  void request_deletion(Machine& machine) { reclaimer_.request_deletion(machine); }
  void reclaim_unwanted(const std::set<std::string>& reserved) {
    reclaimer_.reclaim_unwanted(reserved);
  }

  // Rents machines: see ScaleOut.
  [[nodiscard]] std::vector<sched::ScaleOutOption> options() const { return scale_out_.options(); }
  void rent(const sched::ScaleOutOption& option, int count) { scale_out_.rent(option, count); }
  [[nodiscard]] const std::map<std::string, PendingScaleOut>& pending_scale_out() const {
    return scale_out_.pending();
  }

 private:
  void poll_list(const std::string& after);
  void apply_list(const wire::MachinePage& page);

  net::Runtime& runtime_;
  cloud::Client& cloud_;
  const config::Settings& settings_;
  net::CallbackScope term_;
  MachineInventory inventory_;
  ZoneMonitor zones_;
  ScaleOut scale_out_;
  MachineReclaimer reclaimer_;
};

}  // namespace seampass::leader
