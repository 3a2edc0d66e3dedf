// Queue sort: the order in which a pass serves jobs, and each team's rank when resources are short.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// Indices into `jobs`: by priority, fair-share rank (the exception of docs/design.md), creation
// time, id.
[[nodiscard]] std::vector<std::size_t> queue_order(const std::vector<JobView>& jobs);

// Sets each job's fair-share rank from what its team uses and has requested before it.
// `guaranteed_gpus` is by team; a team without any, and a job without GPUs, is ranked by CPUs.
void set_fair_share_ranks(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
                          const std::map<std::string, double>& guaranteed_gpus);

}  // namespace seampass::sched
