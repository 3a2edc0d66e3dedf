#include "sched/cluster_snapshot.h"

#include <algorithm>
#include <cmath>

namespace seampass::sched {

std::uint32_t TeamView::tasks_within_quota(const Resources& request) const {
  constexpr double slack = 1e-6;  // usage sums decimal fractions, which binary numbers round
  double tasks = wire::kMaxTasks;
  if (cpus_max && request.cpus > 0)
    tasks = std::min(tasks, (*cpus_max - cpus + slack) / request.cpus);
  if (gpus_max && request.gpus > 0)
    tasks = std::min(tasks, (*gpus_max - gpus + slack) / request.gpus);
  return tasks <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(tasks));
}

}  // namespace seampass::sched
