// Fits the machines to the work that a pass has left: rents for what waits and for headroom, and
// moves the few tasks of a machine together with others while nothing waits, so that the machine
// can be returned. Owns the pace of this, and which machines are wanted as headroom.
#pragma once

#include <set>
#include <string>

#include "leader/fleet/fleet.h"
#include "leader/scheduling/headroom_estimator.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/task_actions.h"
#include "net/runtime.h"
#include "sched/snapshot.h"

namespace seampass::leader {

class Autoscaler {
 public:
  Autoscaler(const SchedulingSources& sources, Fleet& fleet, const HeadroomEstimator& headroom,
             TaskActions& actions)
      : sources_(sources), fleet_(fleet), headroom_(headroom), actions_(actions) {}

  void start_term(net::Ms began) { last_unplaced_at_ = began; }
  void end_term() { headroom_machines_.clear(); }

  // `snapshot`: as a pass has left it. `now`: when that was. Does nothing shortly after the last
  // time: what is asked of the cloud takes far longer than the pause.
  void scale(sched::ClusterSnapshot& snapshot, net::Ms now);
  // Names of the machines that are kept although they are idle.
  [[nodiscard]] const std::set<std::string>& headroom_machines() const {
    return headroom_machines_;
  }

 private:
  void update_releases(sched::ClusterSnapshot& snapshot) const;
  void scale_out(const sched::ClusterSnapshot& snapshot);
  void consolidate(sched::ClusterSnapshot& snapshot);
  void update_time_left(sched::ClusterSnapshot& snapshot);

  const SchedulingSources& sources_;
  Fleet& fleet_;
  const HeadroomEstimator& headroom_;
  TaskActions& actions_;
  net::Ms last_scaled_at_ = 0;
  net::Ms last_unplaced_at_ = 0;  // when a job last found no place
  std::set<std::string> headroom_machines_;
};

}  // namespace seampass::leader
