// Builds the jobs that tests submit. Run times are in seconds.
#pragma once

#include <string>

#include "wire/types.h"

namespace seampass::fakes {

// A job of independent tasks. Two of them fit on one machine of the fake cloud.
inline wire::Job array_job(const std::string& id, std::uint32_t tasks, double run_s = 5) {
  wire::Job job;
  job.id = id;
  job.job_class = "k";
  job.team = "blue";
  job.tasks = tasks;
  job.cpus = 4;
  job.gpus = 1;
  job.memory_gb = 16;
  job.image = "i";
  job.image_gb = 1;
  job.spot = true;
  job.estimate_s = run_s;
  return job;
}

// A gang: all its tasks run at the same time, in one zone. Each task uses all CPUs of one machine.
inline wire::Job gang_job(const std::string& id, std::uint32_t tasks, double run_s = 5) {
  wire::Job job = array_job(id, tasks, run_s);
  job.kind = wire::JobKind::gang;
  job.cpus = 8;
  job.one_zone = true;
  return job;
}

}  // namespace seampass::fakes
