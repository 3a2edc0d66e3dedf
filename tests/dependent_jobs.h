// Helpers that build and submit jobs with dependencies, for tests on a SimulatedCluster.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {

// Returns the job with these dependencies (ids of jobs) in place of its own.
inline wire::Job with_dependencies(wire::Job job, std::vector<std::string> dependencies) {
  job.dependencies = std::move(dependencies);
  return job;
}

// Submits the jobs through n0, in their order. Each job depends on the job before it.
inline void submit_chain(SimulatedCluster& cluster, const std::vector<wire::Job>& jobs) {
  std::vector<std::string> previous;
  for (const wire::Job& job : jobs) {
    cluster.submit("n0", with_dependencies(job, previous));
    previous = {job.id};
  }
}

}  // namespace seampass::fakes
