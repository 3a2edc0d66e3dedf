// Queue sort: the order in which a pass serves jobs, and the rank of each job when resources are
// scarce. Passes, scaling plans and the leader's snapshot builder call it. It has no errors.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Returns indices into `jobs` in the order of service: by priority, then fair-share rank, then
// creation time, then id. The fair-share rank is the exception that docs/design.md describes.
[[nodiscard]] std::vector<std::size_t> queue_order(const std::vector<JobView>& jobs);

// Sets each job's fair-share rank from its team's usage plus the requests of the team's jobs up to
// and including this one. `guaranteed_gpus` holds each team's guaranteed GPUs. A job with GPUs is
// ranked by the requested multiple of that guarantee, and has rank 0 while it is within it. A job
// without GPUs, or of a team without a guarantee, is ranked by the number of requested CPUs.
void set_fair_share_ranks(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
                          const std::map<std::string, double>& guaranteed_gpus);

}  // namespace seampass::sched
