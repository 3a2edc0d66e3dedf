// Consolidation: which machines could be emptied and returned, their tasks moved to fuller ones.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Indices into ClusterSnapshot::machines, at most `most`: machines whose few tasks have room on
// fuller ones of their type, with their image. None while any job waits. A task is moved only if
// the run time that is left is worth the stop: more than `gain` times what saving its checkpoint
// and starting it again takes, the latter `restart_s` seconds.
[[nodiscard]] std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot,
                                                                double restart_s, double gain,
                                                                std::size_t most);

}  // namespace seampass::sched
