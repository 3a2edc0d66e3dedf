#include "sched/task_placer.h"

#include <algorithm>
#include <utility>

#include "sched/filter.h"

namespace seampass::sched {
std::vector<Placement> TaskPlacer::place(const JobView& job, const std::string* zone) {
  ZoneCounts tasks_by_zone = job.placed;
  std::vector<Placement> placements;
  const std::size_t max_placements = std::min<std::size_t>(
      job.pending.size(), snapshot_.teams[job.team].tasks_within_quota(job.request));
  if (max_placements == 0) return placements;
  TaskRanges::Iterator next = job.pending.begin();
  for (const MachineScore& candidate : pools_.candidates(job, zone)) {
    const MachineView& machine = snapshot_.machines[candidate.machine];
    while (placements.size() < max_placements && job.request.fits_in(machine.free) &&
           zone_allows(job, tasks_by_zone, machine.zone)) {
      placements.push_back({*next++, candidate.machine});
      reserve(job, candidate.machine);
      ++tasks_by_zone[machine.zone];
    }
    if (placements.size() == max_placements) break;
  }
  return placements;
}

void TaskPlacer::reserve(const JobView& job, std::size_t machine) {
  snapshot_.machines[machine].free -= job.request;
  TeamView& team = snapshot_.teams[job.team];
  team.cpus += job.request.cpus;
  team.gpus += job.request.gpus;
}

void TaskPlacer::unreserve(const JobView& job, const std::vector<Placement>& placements) {
  TeamView& team = snapshot_.teams[job.team];
  for (const Placement& placement : placements) {
    snapshot_.machines[placement.machine].free += job.request;
    team.cpus -= job.request.cpus;
    team.gpus -= job.request.gpus;
  }
}

}  // namespace seampass::sched
