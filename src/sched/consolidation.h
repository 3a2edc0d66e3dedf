// Consolidation: selects machines whose tasks can move to fuller machines, so that the emptied
// machines can be returned to the cloud. The leader's autoscaler calls it when no job has waited
// for a machine recently. It has no errors.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Returns at most `max_machines` indices into ClusterSnapshot::machines. All tasks of such a
// machine fit on fuller machines of the same type that have the tasks' images in their caches. The
// result is empty while any job waits for a machine. A task moves only if its remaining run time is
// worth the interruption: it must exceed `min_benefit_ratio` times the time to save the checkpoint
// and restart the task. A restart takes `restart_s` seconds.
[[nodiscard]] std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot,
                                                                double restart_s,
                                                                double min_benefit_ratio,
                                                                std::size_t max_machines);

}  // namespace seampass::sched
