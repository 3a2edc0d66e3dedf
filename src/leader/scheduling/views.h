// The one conversion of the leader's records into what a scheduling pass sees of them. Only what
// the record alone says: what depends on the time or on other records is set by MachineViews and
// JobViews.
#pragma once

#include "leader/fleet/machine.h"
#include "leader/fleet/scale_out.h"
#include "leader/jobs/job_record.h"
#include "sched/snapshot.h"
#include "wire/types.h"

namespace seampass::leader {

// Brings the view up to what the machine is and what is on it.
void update_view(sched::MachineView& view, const Machine& machine, const wire::MachineType& type);

// A machine of a rental that is not answered yet: nameless, and booting.
[[nodiscard]] sched::MachineView view_of_pending(const PendingScaleOut& rental,
                                                 const wire::MachineType& type);

// The job's rules and request, without its pending tasks and its place in the queue. The view
// points into the record.
[[nodiscard]] sched::JobView view_of(const JobRecord& job);

}  // namespace seampass::leader
