// JobViews builds the jobs of the scheduling snapshot. Every pass rebuilds them: the snapshot
// contains the jobs that have tasks to place, in the order of their ids. The SnapshotBuilder owns
// this class and calls it once before every pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/jobs/job_record.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/start_deadline_estimator.h"
#include "sched/sched.h"

namespace seampass::leader {

class JobViews {
 public:
  JobViews(const SchedulingSources& sources, Fleet& fleet, const StartDeadlineEstimator& deadlines)
      : sources_(sources), fleet_(fleet), deadlines_(deadlines) {}

  // Replaces the snapshot's jobs and subtracts the capacity that gangs have reserved. Returns the
  // records in the order of the views. The caller updates the machines and teams of the snapshot
  // first, because the reservations are subtracted from them.
  std::vector<JobRecord*> update(sched::ClusterSnapshot& snapshot);

 private:
  // How many of a job's pending tasks a pass may place: no task, one task that shows whether the
  // job still fails (probe), or as many as fit (full).
  enum class Extent { none, probe, full };

  [[nodiscard]] Extent extent_of(const JobRecord& job) const;
  [[nodiscard]] std::set<const JobRecord*> jobs_within_guarantee() const;
  void apply_reservations(const JobRecord& job, sched::JobView& view,
                          sched::ClusterSnapshot& snapshot);

  const SchedulingSources& sources_;
  Fleet& fleet_;
  const StartDeadlineEstimator& deadlines_;
};

}  // namespace seampass::leader
