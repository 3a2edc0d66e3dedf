// Scale-out planning: which machines to rent for the tasks that a pass left pending, and which free
// resources to keep as headroom for tasks that are expected soon. The leader's autoscaler calls it
// after a pass. Prices are per hour; there are no errors.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "wire/types.h"

namespace seampass::sched {

// A kind of machine that the cloud currently offers.
struct ScaleOutOption {
  std::string type, zone;
  bool spot = false;
  double price = 0;  // per hour
  Resources total;
  int max_count = wire::kMaxMachinesPerRental;  // number of machines that one plan may rent
};

struct ScaleOutRequest {
  std::size_t option = 0;  // index into the options that the plan was made with
  int count = 0;           // number of machines, at most the option's `max_count`
};

// Free resources to keep for tasks that are expected to arrive before a new machine could boot.
struct Headroom {
  JobView job;           // represents the expected jobs and all their tasks
  double budget = 0;     // maximum cost per hour of otherwise unneeded machines
  double max_price = 0;  // maximum price per hour of a single machine
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  // Indices into ClusterSnapshot::machines of the machines whose free resources serve as headroom.
  std::set<std::size_t> headroom_machines;
};

// Plans the machines to rent for the tasks that a pass left pending. Before it rents a machine for
// a job, it uses nominated machines, resources that come free within the job's wait budget, and
// booting machines. Afterwards it plans the machines to rent or keep as headroom. The plan holds no
// more machines than exist and the options offer, however many tasks are pending.
[[nodiscard]] ScalingPlan plan_scaling(const ClusterSnapshot& snapshot,
                                       const std::vector<ScaleOutOption>& options,
                                       const std::vector<Headroom>& headroom);

}  // namespace seampass::sched
