// The only place that converts the leader's records into the views that a scheduling pass reads.
// These functions set only the fields that follow from the record alone. MachineViews and JobViews
// set the fields that depend on the time or on other records.
#pragma once

#include "leader/fleet/machine.h"
#include "leader/fleet/scale_out.h"
#include "leader/jobs/job_record.h"
#include "sched/sched.h"
#include "wire/types.h"

namespace seampass::leader {

// Updates the view from the record of the machine and the attempts on it.
void update_view(sched::MachineView& view, const Machine& machine, const wire::MachineType& type);

// Returns the view of one machine of a rental that the cloud has not answered yet. It has no name
// and is booting.
[[nodiscard]] sched::MachineView view_of_pending(const PendingScaleOut& rental,
                                                 const wire::MachineType& type);

// Returns a view with the placement rules and the resource request of the job, but without its
// pending tasks and its position in the queue. The view points into the record.
[[nodiscard]] sched::JobView view_of(const JobRecord& job);

}  // namespace seampass::leader
