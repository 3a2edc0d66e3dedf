// Includes the scheduler's public headers, for the leader. The functions are pure: they compute
// decisions from a snapshot of the cluster without a clock, I/O or randomness.
#pragma once

#include "sched/cluster_snapshot.h"
#include "sched/consolidation.h"
#include "sched/decisions.h"
#include "sched/filter.h"
#include "sched/pass.h"
#include "sched/queue_order.h"
#include "sched/resources.h"
#include "sched/scaling_plan.h"
