// The periodic log lines: how busy this controller is (LoadLog), and how the machines are used
// (log_usage). The SchedulingLoop calls both at every tick. Times are in milliseconds of the steady
// clock.
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

  void start_term(net::Ms started_at) { logged_at_ = started_at; }
  // Logs the load at most once per worker lease. `tick_delay` is the time by which the calling
  // tick runs later than it was due.
  void log_if_due(net::Ms tick_delay);

 private:
  const net::Runtime& runtime_;
  const config::Settings& settings_;
  const state::Client& state_;
  const Election& election_;
  net::Ms logged_at_ = 0;
};

// Logs at level debug, for each machine type, how many machines are rented and what they are used
// for. If that level is disabled, the function counts nothing.
void log_usage(const MachineInventory::Map& machines);

}  // namespace seampass::leader
