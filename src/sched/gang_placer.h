// Permit: a gang starts when every task has its place; short of that it waits, and keeps what room
// it has as reservations.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/machine_pools.h"
#include "sched/task_placer.h"

namespace seampass::sched {

// Lives for one pass.
class GangPlacer {
 public:
  enum class Permit { start, wait };
  struct Result {
    Permit permit = Permit::wait;
    std::vector<Placement> placements;  // to start or to reserve; none: there is no room
  };

  GangPlacer(const ClusterSnapshot& snapshot, MachinePools& pools, TaskPlacer& placer)
      : snapshot_(snapshot), pools_(pools), placer_(placer) {}

  // Replaces the gang's reservations: the room for the result's placements is taken.
  [[nodiscard]] Result place(JobView& job);

 private:
  void release_reservations(JobView& job);
  // Zones to try one by one; an empty name stands for all zones at once.
  [[nodiscard]] std::set<std::string> zones_to_try(const JobView& job) const;
  // The most tasks, at the least cost; their room is not taken.
  [[nodiscard]] std::vector<Placement> best_placements(const JobView& job);
  [[nodiscard]] double cost_of(const JobView& job, const std::vector<Placement>& placements) const;

  const ClusterSnapshot& snapshot_;
  MachinePools& pools_;
  TaskPlacer& placer_;
};

}  // namespace seampass::sched
