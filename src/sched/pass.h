// One scheduling pass. It is divided into the usual extension points of a scheduling framework:
// queue sort (queue_order.h), filter (filter.h), score (score.h), reserve (task_placer.h), permit
// (gang_placer.h) and preemption (preemption.h). The leader's scheduling loop runs each pass and
// carries out its decisions.
#pragma once

#include "sched/cluster_snapshot.h"
#include "sched/decisions.h"

namespace seampass::sched {

// Returns the decisions and applies them to the snapshot: placed and reserved tasks are subtracted
// from the machines' free resources and charged to their teams, started tasks are no longer
// pending, and machines with preempted tasks are nominated for the preempting job. It has no
// errors.
[[nodiscard]] Decisions run_pass(ClusterSnapshot& snapshot);

}  // namespace seampass::sched
