// What to rent for the tasks that a pass left pending, and which room to keep free for those that
// are expected.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// A kind of machine that the cloud offers now.
struct ScaleOutOption {
  std::string type, zone;
  bool spot = false;
  double price = 0;  // per hour
  Resources total;
};

struct ScaleOutRequest {
  std::size_t option = 0;  // index into the options that the plan was made with
  int count = 0;           // machines
};

// Room to keep free for tasks that are expected to come before a new machine could boot.
struct Headroom {
  JobView job;           // a stand-in for the expected jobs: `pending` says how many tasks
  double budget = 0;     // per hour, for machines that nothing else needs
  double max_price = 0;  // per hour: no machine above this price
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  // Indices into ClusterSnapshot::machines: machines whose free room is wanted as headroom.
  std::set<std::size_t> headroom_machines;
};

// The machines to rent for what a pass left pending, once room that is booting or comes free in
// time is counted; then those to rent or keep as headroom.
[[nodiscard]] ScalingPlan plan_scaling(const ClusterSnapshot& snapshot,
                                       const std::vector<ScaleOutOption>& options,
                                       const std::vector<Headroom>& headroom);

}  // namespace seampass::sched
