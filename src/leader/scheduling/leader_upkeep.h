// LeaderUpkeep handles what happens because time passes: worker leases expire, gangs' reservations
// expire, and the cloud preempts spot machines. The SchedulingLoop calls it at every tick. Times
// are in milliseconds of the steady clock.
#pragma once

#include <set>
#include <string>

#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/task_actions.h"
#include "net/runtime.h"

namespace seampass::leader {

class LeaderUpkeep {
 public:
  LeaderUpkeep(const SchedulingSources& sources, const Election& election, Fleet& fleet,
               TaskActions& actions)
      : sources_(sources), election_(election), fleet_(fleet), actions_(actions) {}

  void start_term(net::Ms started_at) { term_started_at_ = started_at; }

  // Releases all attempts on machines whose worker has had no contact with this leader for longer
  // than its lease: the worker has killed its tasks by then.
  void release_expired();

  struct Reservations {
    std::set<std::string> machines;  // machines on which gangs still reserve capacity
    bool any_expired = false;
  };
  // Cancels the reservations that are older than the operator's hold timeout. From then on such a
  // gang reserves capacity only when all of it fits. Returns the remaining reservations, and
  // whether any reservation expired.
  [[nodiscard]] Reservations expire_reservations();

  // Handles spot machines whose preemption the cloud has announced: stops the tasks that can save
  // their progress, early enough to save it before the cloud takes the machine.
  void drain_preempted();

 private:
  [[nodiscard]] bool must_stop_now(const TaskAttempt& attempt, net::Ms preemption_at) const;

  const SchedulingSources& sources_;
  const Election& election_;
  Fleet& fleet_;
  TaskActions& actions_;
  net::Ms term_started_at_ = 0;
};

}  // namespace seampass::leader
