// All of the scheduling decisions, for the leader. Pure: no clock, no I/O, no randomness; a
// snapshot of the cluster goes in and decisions come out.
#pragma once

#include "sched/cluster_snapshot.h"
#include "sched/consolidation.h"
#include "sched/decisions.h"
#include "sched/filter.h"
#include "sched/pass.h"
#include "sched/queue_order.h"
#include "sched/resources.h"
#include "sched/scaling_plan.h"
