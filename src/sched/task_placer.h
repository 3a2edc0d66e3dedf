// Reserve and unreserve: finds machines for pending tasks and takes their resources out of the
// snapshot and out of the team's quota.
#pragma once

#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/machine_pools.h"

namespace seampass::sched {

// Lives for one pass. Decides nothing about which placements start.
class TaskPlacer {
 public:
  TaskPlacer(ClusterSnapshot& snapshot, MachinePools& pools) : snapshot_(snapshot), pools_(pools) {}

  // Places as many of the job's pending tasks as fit, in one zone only if `zone` is given, and
  // reserves their resources.
  [[nodiscard]] std::vector<Placement> place(const JobView& job, const std::string* zone);

  // Takes one task's resources on this machine.
  void reserve(const JobView& job, std::size_t machine);
  // Gives back what these placements took.
  void unreserve(const JobView& job, const std::vector<Placement>& placements);

 private:
  ClusterSnapshot& snapshot_;
  MachinePools& pools_;
};

}  // namespace seampass::sched
