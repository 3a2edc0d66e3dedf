// The Autoscaler adapts the number of machines to the work that a scheduling pass leaves. It scales
// out for tasks that found no place and for headroom. While no job waits, it consolidates: it
// drains machines that run few tasks, so that they can be returned to the cloud. The SchedulingLoop
// calls it after every pass. The class owns the scaling interval and the set of machines that serve
// as headroom. Times are in milliseconds of the steady clock.
#pragma once

#include <set>
#include <string>

#include "leader/fleet/fleet.h"
#include "leader/scheduling/headroom_estimator.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/task_actions.h"
#include "net/runtime.h"
#include "sched/sched.h"

namespace seampass::leader {

class Autoscaler {
 public:
  Autoscaler(const SchedulingSources& sources, Fleet& fleet, const HeadroomEstimator& headroom,
             TaskActions& actions)
      : sources_(sources), fleet_(fleet), headroom_(headroom), actions_(actions) {}

  void start_term(net::Ms started_at) { last_unplaced_at_ = started_at; }
  void end_term() { headroom_machines_.clear(); }

  // Scales out and consolidates. `snapshot` is the snapshot as the pass left it, and `now` is the
  // time at which the pass decided. The call does nothing if the last scaling was less than a third
  // of a heartbeat interval ago: the cloud takes far longer than that to act on a request.
  void scale(sched::ClusterSnapshot& snapshot, net::Ms now);
  // The names of the machines that serve as headroom. The caller does not return them to the cloud,
  // although they are idle.
  [[nodiscard]] const std::set<std::string>& headroom_machines() const {
    return headroom_machines_;
  }

 private:
  void update_releases(sched::ClusterSnapshot& snapshot) const;
  void scale_out(const sched::ClusterSnapshot& snapshot);
  void consolidate(sched::ClusterSnapshot& snapshot);
  void update_remaining_time(sched::ClusterSnapshot& snapshot);

  const SchedulingSources& sources_;
  Fleet& fleet_;
  const HeadroomEstimator& headroom_;
  TaskActions& actions_;
  net::Ms last_scaled_at_ = 0;
  net::Ms last_unplaced_at_ = 0;  // when a pass last left a task without a place
  std::set<std::string> headroom_machines_;
};

}  // namespace seampass::leader
