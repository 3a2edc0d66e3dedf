// What time alone brings about: worker leases and gangs' reservations that expire, and spot
// machines that the cloud is about to take. Called by the SchedulingLoop at every tick.
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

  void start_term(net::Ms began) { began_ = began; }

  // Releases what is on machines that have been silent for longer than their workers' leases.
  void release_expired();

  struct Reservations {
    std::set<std::string> machines;  // on which gangs hold room still
    bool any_expired = false;
  };
  // A gang that has held room for too long gives it back.
  [[nodiscard]] Reservations expire_reservations();

  // Before the cloud takes a spot machine, what can save its progress is stopped to do so.
  void drain_preempted();

 private:
  [[nodiscard]] bool must_stop_now(const TaskAttempt& attempt, net::Ms preemption_at) const;

  const SchedulingSources& sources_;
  const Election& election_;
  Fleet& fleet_;
  TaskActions& actions_;
  net::Ms began_ = 0;
};

}  // namespace seampass::leader
