// Amounts of processors, accelerators and memory, as a task requests them and as a machine has
// them. The scheduler, job admission and the leader use them. All functions are pure and have no
// errors.
#pragma once

#include <cstdint>

#include "wire/types.h"

namespace seampass::sched {

struct Resources {
  double cpus = 0;       // cores
  double gpus = 0;       // devices; a fraction is a share of a device
  double memory_gb = 0;  // GB

  [[nodiscard]] bool fits_in(const Resources& available) const {
    constexpr double slack = 1e-6;  // sums of decimal fractions are rounded in binary
    return cpus <= available.cpus + slack && gpus <= available.gpus + slack &&
           memory_gb <= available.memory_gb + slack;
  }
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
};

// Returns the resources that one task of the job requests.
[[nodiscard]] inline Resources request_of(const wire::Job& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// Returns whether a task of this job can run on an empty machine of this type. The task must fit,
// and the type must be among the types that the job allows.
[[nodiscard]] bool fits_empty(const wire::MachineType& type, const wire::Job& job);

// Returns how many tasks with this request fit on an empty machine with these resources.
[[nodiscard]] std::uint32_t capacity(const Resources& request, const Resources& total);

}  // namespace seampass::sched
