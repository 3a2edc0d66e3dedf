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

// Where only tasks are left that must avoid the machine, one of them takes the place of a task that
// may be moved there. (A job's tasks are alike.)
bool add_by_exchange(const JobView& job, std::size_t machine,
                     const std::vector<std::uint32_t>& remaining,
                     std::vector<Placement>& placements) {
  for (const std::uint32_t task : remaining)
    for (Placement& other : placements)
      if (may_use(job, other.task, machine) && may_use(job, task, other.machine)) {
        const std::uint32_t moved = std::exchange(other.task, task);
        placements.push_back({moved, machine});
        return true;
      }
  return false;
}

// Adds the first task that has no place yet and may use this machine. False if there is none.
bool add_next_task(const JobView& job, std::size_t machine, std::vector<Placement>& placements) {
  if (job.anti_affinity.empty()) {
    placements.push_back({job.pending[placements.size()], machine});
    return true;
  }
  std::vector<std::uint32_t> remaining;
  for (const std::uint32_t task : job.pending) {
    if (is_placed(task, placements)) continue;
    if (may_use(job, task, machine)) {
      placements.push_back({task, machine});
      return true;
    }
    remaining.push_back(task);
  }
  return add_by_exchange(job, machine, remaining, placements);
}

}  // namespace

std::vector<Placement> TaskPlacer::place(const JobView& job, const std::string* zone) {
  ZoneCounts in_zone = job.placed;
  std::vector<Placement> placements;
  const std::size_t most =
      std::min<std::size_t>(job.pending.size(), snapshot_.teams[job.team].allows(job.request));
  if (most == 0) return placements;
  for (const MachineScore& candidate : pools_.candidates(job, zone)) {
    const MachineView& machine = snapshot_.machines[candidate.machine];
    while (placements.size() < most && job.request.fits_in(machine.free) &&
           zone_allows(job, in_zone, machine.zone)) {
      if (!add_next_task(job, candidate.machine, placements)) break;
      reserve(job, candidate.machine);
      ++in_zone[machine.zone];
    }
    if (placements.size() == most) break;
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
