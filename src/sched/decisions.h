// The output of a scheduling pass. Machines and jobs are indices into the ClusterSnapshot that the
// pass was given.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Tasks of one job, each with its machine.
struct JobPlacements {
  std::size_t job = 0;
  std::vector<Placement> tasks;
};

// Tasks of a machine to stop, so that a job finds room there in a later pass.
struct Preemption {
  std::size_t machine = 0;
  std::size_t job = 0;  // the one that the room is for
  std::vector<PreemptibleTask> tasks;
};

struct Decisions {
  std::vector<Preemption> preemptions;
  std::vector<JobPlacements> starts;
  // Each gang's whole new set; a gang that is not named has no reservation.
  std::vector<JobPlacements> reservations;
  std::size_t machines_examined = 0;  // machines compared with a job: the pass's cost
};

}  // namespace seampass::sched
