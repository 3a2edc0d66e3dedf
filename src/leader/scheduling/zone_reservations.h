// Zones that are kept for large gangs. A gang that timed out holds nothing until all of it fits,
// and would starve while smaller ones take what comes free. So the first such gang in the queue
// goes on holding, one for each zone: what comes free there goes to it, and what it lacks is rented
// there. It moves on if that takes too long.
#pragma once

#include <vector>

#include "leader/jobs/job_record.h"
#include "net/runtime.h"
#include "sched/snapshot.h"

namespace seampass::leader {

// `jobs`: the records of snapshot.jobs, in the same order. `longest_boot_s` sets how long a zone is
// kept for a gang.
void reserve_zones(sched::ClusterSnapshot& snapshot, const std::vector<JobRecord*>& jobs,
                   net::Ms now, double longest_boot_s);

}  // namespace seampass::leader
