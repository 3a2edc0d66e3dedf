// The IsolationDetector detects that this leader has lost the connection to its workers although it
// still reaches the state service. All other nodes keep redirecting the workers to this leader
// until its lease expires, so it should resign in favor of another leader. The SchedulingLoop calls
// the detector at every tick. Times are in milliseconds of the steady clock.
#pragma once

#include "config/settings.h"
#include "leader/fleet/fleet.h"
#include "net/runtime.h"

namespace seampass::leader {

class IsolationDetector {
 public:
  IsolationDetector(const net::Runtime& runtime, const config::Settings& settings,
                    const Fleet& fleet)
      : runtime_(runtime), settings_(settings), fleet_(fleet) {}

  void start_term(net::Ms started_at);
  // Returns true if this leader is isolated. The caller calls this at every tick. Two consecutive
  // ticks must find the leader isolated: after a pause of this process all heartbeats look overdue
  // until the process has read its sockets.
  [[nodiscard]] bool check();

 private:
  [[nodiscard]] bool most_are_overdue() const;

  const net::Runtime& runtime_;
  const config::Settings& settings_;
  const Fleet& fleet_;
  net::Ms last_check_at_ = 0;
  int isolated_checks_ = 0;  // consecutive checks that found most machines overdue
};

}  // namespace seampass::leader
