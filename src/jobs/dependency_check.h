// Whether a job can be accepted, as far as the jobs that it depends on are concerned.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "jobs/job_status_finder.h"

namespace seampass::jobs {

// What is known of the jobs that one depends on, the worst of them; in this order.
enum class DependencyState { accepted, cancelled, undecided, never_accepted };

// Asks about all of them at once. `on_checked` is called once all are known, perhaps before the
// call returns; never if `dependencies` is empty.
void check_dependencies(JobStatusFinder& finder, const std::vector<std::string>& dependencies,
                        std::function<void(DependencyState)> on_checked);

}  // namespace seampass::jobs
