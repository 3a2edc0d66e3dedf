// Reserves zones for large gangs. A gang whose reservations have timed out reserves nothing until
// all of it fits, so it would starve while smaller gangs take the capacity that becomes free.
// Therefore, in each zone, the first such gang in the queue continues to reserve capacity: it gets
// the capacity that becomes free there, and scale-out for its missing capacity happens there. If
// the gang does not start in time, it moves to another zone.
#pragma once

#include <vector>

#include "leader/jobs/job_record.h"
#include "net/runtime.h"
#include "sched/sched.h"

namespace seampass::leader {

// Assigns zones to gangs in the snapshot and in their records. `jobs` are the records of
// snapshot.jobs, in the same order. `now` is in milliseconds of the steady clock. `longest_boot_s`,
// in seconds, determines for how long a zone stays reserved for a gang.
void reserve_zones(sched::ClusterSnapshot& snapshot, const std::vector<JobRecord*>& jobs,
                   net::Ms now, double longest_boot_s);

}  // namespace seampass::leader
