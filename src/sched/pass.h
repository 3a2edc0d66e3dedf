// One scheduling pass, by the extension points of a scheduling framework: queue sort
// (queue_order.h), filter (filter.h), score (score.h), reserve (task_placer.h), permit
// (gang_placer.h), preemption (preemption.h).
#pragma once

#include "sched/cluster_snapshot.h"
#include "sched/decisions.h"

namespace seampass::sched {

// Leaves the snapshot as it is after the decisions: room and quota taken, placed tasks no longer
// pending, machines nominated.
[[nodiscard]] Decisions run_pass(ClusterSnapshot& snapshot);

}  // namespace seampass::sched
