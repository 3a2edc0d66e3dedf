#include "sched/task_placer.h"

#include <algorithm>
#include <utility>

#include "sched/filter.h"

namespace seampass::sched {
namespace {

bool may_use(const JobView& job, std::uint32_t task, std::size_t machine) {
  return !job.anti_affinity.contains({task, machine});
}

bool is_placed(std::uint32_t task, const std::vector<Placement>& placements) {
  return std::any_of(placements.begin(), placements.end(),
                     [task](const Placement& placement) { return placement.task == task; });
}

// Places one more task when every unplaced task must avoid the machine. It moves a task that is
// already placed elsewhere to this machine, and an unplaced task takes over that task's machine.
// This exchange is possible because all tasks of a job request the same resources.
bool place_by_exchange(const JobView& job, std::size_t machine,
                       const std::vector<std::uint32_t>& avoiding_tasks,
                       std::vector<Placement>& placements) {
  for (const std::uint32_t task : avoiding_tasks)
    for (Placement& earlier : placements)
      if (may_use(job, earlier.task, machine) && may_use(job, task, earlier.machine)) {
        const std::uint32_t moved_task = std::exchange(earlier.task, task);
        placements.push_back({moved_task, machine});
        return true;
      }
  return false;
}

// Places one unplaced task on this machine: the first one that may use it, or one by exchange.
// Returns false if neither is possible. If no task avoids any machine, the tasks are placed in
// their order and `next` is the first unplaced one.
bool place_next_task(const JobView& job, std::size_t machine, TaskRanges::Iterator& next,
                     std::vector<Placement>& placements) {
  if (job.anti_affinity.empty()) {
    placements.push_back({*next++, machine});
    return true;
  }
  std::vector<std::uint32_t> avoiding_tasks;
  for (const std::uint32_t task : job.pending) {
    if (is_placed(task, placements)) continue;
    if (may_use(job, task, machine)) {
      placements.push_back({task, machine});
      return true;
    }
    avoiding_tasks.push_back(task);
  }
  return place_by_exchange(job, machine, avoiding_tasks, placements);
}

}  // namespace

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
      if (!place_next_task(job, candidate.machine, next, placements)) break;
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
