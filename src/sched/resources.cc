#include "sched/resources.h"

#include <algorithm>
#include <cmath>

namespace seampass::sched {

bool fits_empty(const wire::MachineType& type, const wire::Job& job) {
  return request_of(job).fits_in({type.cpus, type.gpus, type.memory_gb}) &&
         (!job.types ||
          std::find(job.types->begin(), job.types->end(), type.name) != job.types->end());
}

std::uint32_t capacity(const Resources& request, const Resources& total) {
  constexpr double slack = 1e-9;  // rounding may put a whole quotient just below the whole number
  double tasks = wire::kMaxTasks;
  if (request.cpus > 0) tasks = std::min(tasks, total.cpus / request.cpus + slack);
  if (request.gpus > 0) tasks = std::min(tasks, total.gpus / request.gpus + slack);
  if (request.memory_gb > 0) tasks = std::min(tasks, total.memory_gb / request.memory_gb + slack);
  return static_cast<std::uint32_t>(std::floor(tasks));
}

}  // namespace seampass::sched
