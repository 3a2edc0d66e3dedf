// Filter: which machines a task of a job may run on, room aside.
#pragma once

#include <string>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Whether a task of this job may ever run on a machine like this.
[[nodiscard]] bool allowed(const JobView& job, const std::string& type, const std::string& zone,
                           bool spot);

// The same for a machine, or for one that is offered.
template <typename Machine>
[[nodiscard]] bool allowed(const JobView& job, const Machine& machine) {
  return allowed(job, machine.type, machine.zone, machine.spot);
}

// Whether one more task may go to `zone` by the rule that spreads a job, given how many are where.
[[nodiscard]] bool spread_allows(const JobView& job, const ZoneCounts& placed,
                                 const std::string& zone);

// The same by both zone rules: one zone for all tasks, and spread.
[[nodiscard]] bool zone_allows(const JobView& job, const ZoneCounts& placed,
                               const std::string& zone);

// The job's tasks by zone: those that are charged to a machine and those with a reservation.
[[nodiscard]] ZoneCounts placed_or_reserved(const JobView& job, const ClusterSnapshot& snapshot);

}  // namespace seampass::sched
