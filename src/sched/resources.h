// Amounts of processors, accelerators and memory: what a task requests and what a machine has.
#pragma once

#include <cstdint>

#include "wire/types.h"

namespace seampass::sched {

struct Resources {
  double cpus = 0;       // cores
  double gpus = 0;       // devices; a fraction is a share of one
  double memory_gb = 0;  // GB

  [[nodiscard]] bool fits_in(const Resources& available) const {
    constexpr double slack = 1e-6;  // amounts are decimal fractions summed in binary
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

// What one task of the job requests.
[[nodiscard]] inline Resources request_of(const wire::Job& job) {
  return {job.cpus, job.gpus, job.memory_gb};
}

// Whether a task of this job may ever run on an empty machine of this type: its size, and the types
// that the job names.
[[nodiscard]] bool fits_empty(const wire::MachineType& type, const wire::Job& job);

// How many tasks with this request an empty machine with these resources takes.
[[nodiscard]] std::uint32_t capacity(const Resources& request, const Resources& total);

}  // namespace seampass::sched
