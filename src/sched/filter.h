// Filter: decides which machines the tasks of a job may run on, apart from the machines' free
// resources. All functions are pure and have no errors.
#pragma once

#include <string>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Returns whether the job's rules allow its tasks on machines of this type, zone and spot kind.
[[nodiscard]] bool allowed(const JobView& job, const std::string& type, const std::string& zone,
                           bool spot);

// The same for an existing machine (MachineView) or an offered one (ScaleOutOption).
template <typename Machine>
[[nodiscard]] bool allowed(const JobView& job, const Machine& machine) {
  return allowed(job, machine.type, machine.zone, machine.spot);
}

// Returns whether the spread rule allows one more task of the job in `zone`. `placed` counts the
// tasks that each zone already has.
[[nodiscard]] bool spread_allows(const JobView& job, const ZoneCounts& placed,
                                 const std::string& zone);

// Returns whether both zone rules, one zone for all tasks and spread, allow one more task in
// `zone`.
[[nodiscard]] bool zone_allows(const JobView& job, const ZoneCounts& placed,
                               const std::string& zone);

// Counts the job's tasks by zone: those that are charged to a machine and those with a reservation.
[[nodiscard]] ZoneCounts placed_or_reserved(const JobView& job, const ClusterSnapshot& snapshot);

}  // namespace seampass::sched
