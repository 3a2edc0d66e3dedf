// The output of a scheduling pass, which the leader's scheduling loop carries out. Machines and
// jobs are indices into the ClusterSnapshot that the pass was given.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Tasks of one job, each with the machine that the pass chose for it.
struct JobPlacements {
  std::size_t job = 0;
  std::vector<Placement> tasks;
};

// Tasks to stop on one machine, so that a job can be placed there in a later pass.
struct Preemption {
  std::size_t machine = 0;
  std::size_t job = 0;  // the job that will use the freed resources
  std::vector<PreemptibleTask> tasks;
};

struct Decisions {
  std::vector<Preemption> preemptions;
  std::vector<JobPlacements> starts;
  // Each entry replaces all earlier reservations of its gang. A gang without an entry has no
  // reservations any longer.
  std::vector<JobPlacements> reservations;
  std::size_t machines_examined = 0;  // comparisons of a machine with a job: the pass's cost
};

}  // namespace seampass::sched
