// Checks whether the jobs that a submitted job depends on allow it to be accepted. Submissions
// calls it on this node's event loop.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "jobs/job_status_finder.h"

namespace seampass::jobs {

// The state of a job's dependencies, ordered from best to worst. The state of several dependencies
// is the worst of their states.
enum class DependencyState {
  accepted,       // accepted and not cancelled
  cancelled,      // accepted and cancelled
  unknown,        // neither the leader nor the state service could answer
  never_accepted  // the state service has no record of the job
};

// Looks up all dependencies at once. Calls `on_checked` exactly once, when every look-up has been
// answered, possibly before this function returns. `dependencies` must not be empty: `on_checked`
// would never be called.
void check_dependencies(JobStatusFinder& finder, const std::vector<std::string>& dependencies,
                        std::function<void(DependencyState)> on_checked);

}  // namespace seampass::jobs
