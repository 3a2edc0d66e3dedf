// Permit: starts a gang only when every one of its tasks has a machine. Until then the gang waits,
// and the placements found so far become reservations. The pass (pass.cc) calls it for each pending
// gang. It has no errors.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/machine_pools.h"
#include "sched/task_placer.h"

namespace seampass::sched {

// An instance serves one pass.
class GangPlacer {
 public:
  enum class Permit { start, wait };
  struct Result {
    Permit permit = Permit::wait;
    std::vector<Placement> placements;  // to start or to reserve; empty if neither is possible
  };

  GangPlacer(const ClusterSnapshot& snapshot, MachinePools& pools, TaskPlacer& placer)
      : snapshot_(snapshot), pools_(pools), placer_(placer) {}

  // Replaces the gang's reservations. The resources of the returned placements are subtracted from
  // the snapshot and charged to the team. If the whole gang is placed, no task stays pending.
  [[nodiscard]] Result place(JobView& job);

 private:
  void release_reservations(JobView& job);
  // Returns the zones to try one by one; a single empty name stands for all zones together.
  [[nodiscard]] std::set<std::string> zones_to_try(const JobView& job) const;
  // Returns the placements with the most tasks; among equals, those with the lowest cost. Their
  // resources are not reserved yet.
  [[nodiscard]] std::vector<Placement> best_placements(const JobView& job);
  [[nodiscard]] double cost_of(const JobView& job, const std::vector<Placement>& placements) const;

  const ClusterSnapshot& snapshot_;
  MachinePools& pools_;
  TaskPlacer& placer_;
};

}  // namespace seampass::sched
