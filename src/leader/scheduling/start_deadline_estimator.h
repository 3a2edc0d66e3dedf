// How long the start of a job may wait for room that is in use. Owns the service-level objectives
// by class of jobs; they do not change.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/jobs/job_record.h"
#include "leader/scheduling/sources.h"

namespace seampass::leader {

class StartDeadlineEstimator {
 public:
  explicit StartDeadlineEstimator(const SchedulingSources& sources);

  // For how many seconds the job's tasks have been ready to be started.
  [[nodiscard]] double age_s(const JobRecord& job) const;
  // In seconds from now; at least half as long as a new machine would take to boot.
  [[nodiscard]] double wait_budget_s(const JobRecord& job) const;
  // Its class has a start aim.
  [[nodiscard]] bool has_start_objective(const std::string& job_class) const;

 private:
  const SchedulingSources& sources_;
  std::map<std::string, std::vector<config::ServiceLevelObjective>> objectives_by_class_;
};

}  // namespace seampass::leader
