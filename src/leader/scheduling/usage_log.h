// The log lines at intervals: how busy this controller is, and what the machines are used for.
#pragma once

#include "config/settings.h"
#include "leader/election/election.h"
#include "leader/fleet/machine_inventory.h"
#include "net/runtime.h"
#include "state/client.h"

namespace seampass::leader {

class LoadLog {
 public:
  LoadLog(const net::Runtime& runtime, const config::Settings& settings, const state::Client& state,
          const Election& election)
      : runtime_(runtime), settings_(settings), state_(state), election_(election) {}

  void start_term(net::Ms began) { logged_at_ = began; }
  // Once in a worker's lease. `lateness`: of the tick that calls.
  void log_if_due(net::Ms lateness);

 private:
  const net::Runtime& runtime_;
  const config::Settings& settings_;
  const state::Client& state_;
  const Election& election_;
  net::Ms logged_at_ = 0;
};

// By machine type: what is paid for, and what it is used for. Nothing is counted while the level
// is off.
void log_use(const MachineInventory::Map& machines);

}  // namespace seampass::leader
