// The StartDeadlineEstimator computes how long the start of a job may wait for capacity that is
// still in use, instead of causing scale-out. It owns the service-level objectives by job class,
// which come from the settings and do not change. JobViews and the SnapshotBuilder call it.
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

  // The time in seconds for which the tasks of the job have been ready to start.
  [[nodiscard]] double age_s(const JobRecord& job) const;
  // The wait budget of the job in seconds from now; at least half of the time that a new machine
  // for the job would take to boot.
  [[nodiscard]] double wait_budget_s(const JobRecord& job) const;
  // True if the job class has a start objective (a service-level objective of kind "wait").
  [[nodiscard]] bool has_start_objective(const std::string& job_class) const;

 private:
  const SchedulingSources& sources_;
  std::map<std::string, std::vector<config::ServiceLevelObjective>> objectives_by_class_;
};

}  // namespace seampass::leader
