// Reserve and unreserve: finds machines for pending tasks, subtracts the tasks' resources from the
// machines in the snapshot and charges them to the team's quota. The pass (pass.cc) calls it for
// arrays and services, and the gang placer for gangs. It has no errors.
#pragma once

#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/machine_pools.h"

namespace seampass::sched {

// An instance serves one pass. It does not decide whether the placed tasks start or only reserve
// resources; its callers do.
class TaskPlacer {
 public:
  TaskPlacer(ClusterSnapshot& snapshot, MachinePools& pools) : snapshot_(snapshot), pools_(pools) {}

  // Places as many of the job's pending tasks as fit and reserves their resources. If `zone` is
  // given, only machines in that zone are used.
  [[nodiscard]] std::vector<Placement> place(const JobView& job, const std::string* zone);

  // Subtracts one task's resources from this machine and charges them to the job's team.
  void reserve(const JobView& job, std::size_t machine);
  // Returns the resources of these placements to their machines and to the team's quota.
  void unreserve(const JobView& job, const std::vector<Placement>& placements);

 private:
  ClusterSnapshot& snapshot_;
  MachinePools& pools_;
};

}  // namespace seampass::sched
