#include "sched/consolidation.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace seampass::sched {
namespace {

class Consolidation {
 public:
  Consolidation(const ClusterSnapshot& snapshot, double restart_s, double min_benefit_ratio)
      : machines_(snapshot.machines), restart_s_(restart_s), min_benefit_ratio_(min_benefit_ratio) {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      const MachineView& machine = machines_[i];
      if (machine.schedulable && machine.nominated_job.empty() && machine.task_count > 0)
        machines_by_load_.push_back(i);
    }
    // The machine with the fewest tasks comes first; among equals, the one with the highest price.
    std::sort(machines_by_load_.begin(), machines_by_load_.end(),
              [this](std::size_t left, std::size_t right) {
                return std::make_tuple(machines_[left].task_count, -machines_[left].price, left) <
                       std::make_tuple(machines_[right].task_count, -machines_[right].price, right);
              });
  }

  std::vector<std::size_t> candidates(std::size_t max_machines) {
    std::vector<std::size_t> result;
    for (std::size_t rank = 0; rank < machines_by_load_.size() && result.size() < max_machines;
         ++rank)
      if (plan_moves_from(rank)) result.push_back(machines_by_load_[rank]);
    return result;
  }

 private:
  // Free resources of the machines that tasks move to, by machine index.
  using FreeByMachine = std::map<std::size_t, Resources>;

  // Finds a target for every task of the machine at this rank and subtracts the tasks' requests
  // from the targets' free resources. If one task cannot move, has no target or is not worth
  // moving, nothing changes and the result is false. A machine that is itself a target stays as
  // well.
  bool plan_moves_from(std::size_t rank) {
    const std::size_t from = machines_by_load_[rank];
    const MachineView& machine = machines_[from];
    if (machine.preemptible_tasks.size() != machine.task_count || free_after_moves_.contains(from))
      return false;
    FreeByMachine tentative;
    for (const PreemptibleTask& task : machine.preemptible_tasks) {
      if (!is_worth_moving(task)) return false;
      const std::optional<std::size_t> target = find_target(rank, task, tentative);
      if (!target) return false;
      tentative.try_emplace(*target, free_resources(*target)).first->second -= task.request;
    }
    for (const auto& [target, resources] : tentative) free_after_moves_[target] = resources;
    return true;
  }

  [[nodiscard]] bool is_worth_moving(const PreemptibleTask& task) const {
    return task.any_zone && task.remaining_s > min_benefit_ratio_ * (task.save_s + restart_s_);
  }

  // Returns the fullest machine of the same type that the task may use and fits on and that has the
  // task's image in its cache. The search goes backwards from the end of machines_by_load_, where
  // the fullest machines are, and stops before the machine at `rank`.
  [[nodiscard]] std::optional<std::size_t> find_target(std::size_t rank,
                                                       const PreemptibleTask& task,
                                                       const FreeByMachine& tentative) const {
    const MachineView& from = machines_[machines_by_load_[rank]];
    for (std::size_t other_rank = machines_by_load_.size(); other_rank-- > rank + 1;) {
      const std::size_t target = machines_by_load_[other_rank];
      const MachineView& machine = machines_[target];
      if (machine.type != from.type || (machine.spot && !task.spot)) continue;
      if (!machine.images.contains(task.image)) continue;
      const auto entry = tentative.find(target);
      const Resources& free = entry == tentative.end() ? free_resources(target) : entry->second;
      if (task.request.fits_in(free)) return target;
    }
    return std::nullopt;
  }

  [[nodiscard]] const Resources& free_resources(std::size_t machine) const {
    const auto entry = free_after_moves_.find(machine);
    return entry == free_after_moves_.end() ? machines_[machine].free : entry->second;
  }

  const std::vector<MachineView>& machines_;
  const double restart_s_;
  const double min_benefit_ratio_;
  std::vector<std::size_t> machines_by_load_;  // indices of machines with tasks, fewest tasks first
  FreeByMachine free_after_moves_;             // only machines that are the target of a move
};

}  // namespace

std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot, double restart_s,
                                                  double min_benefit_ratio,
                                                  std::size_t max_machines) {
  const bool any_job_waits =
      std::any_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                  [](const JobView& job) { return !job.blocked && !job.pending.empty(); });
  if (any_job_waits) return {};
  return Consolidation(snapshot, restart_s, min_benefit_ratio).candidates(max_machines);
}

}  // namespace seampass::sched
