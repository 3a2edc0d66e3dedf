// The jobs of the snapshot, made again in every pass: those that have tasks to place, in the order
// of their ids.
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
#include "sched/snapshot.h"

namespace seampass::leader {

class JobViews {
 public:
  JobViews(const SchedulingSources& sources, Fleet& fleet, const StartDeadlineEstimator& deadlines)
      : sources_(sources), fleet_(fleet), deadlines_(deadlines) {}

  // Replaces the snapshot's jobs, and takes the room that gangs have reserved. Returns the records,
  // in the order of the views. Call it after the machines and teams are up to date.
  std::vector<JobRecord*> update(sched::ClusterSnapshot& snapshot);

 private:
  // A pass may place the tasks of some jobs only in part.
  enum class Extent { none, probe, full };

  [[nodiscard]] Extent extent_of(const JobRecord& job) const;
  [[nodiscard]] std::set<const JobRecord*> jobs_within_guarantee() const;
  [[nodiscard]] std::set<std::pair<std::uint32_t, std::size_t>> tasks_to_avoid(JobRecord& job);
  void apply_reservations(const JobRecord& job, sched::JobView& view,
                          sched::ClusterSnapshot& snapshot);

  const SchedulingSources& sources_;
  Fleet& fleet_;
  const StartDeadlineEstimator& deadlines_;
};

}  // namespace seampass::leader
