// Jobs that depend on others, for the tests of a whole deployment in simulated time.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {

inline wire::Job after(wire::Job job, std::vector<std::string> dependencies) {
  job.dependencies = std::move(dependencies);
  return job;
}

// Through n0: each depends on the one before it.
inline void submit_chain(SimulatedCluster& cluster, const std::vector<wire::Job>& jobs) {
  std::vector<std::string> before;
  for (const wire::Job& job : jobs) {
    cluster.submit("n0", after(job, before));
    before = {job.id};
  }
}

}  // namespace seampass::fakes
