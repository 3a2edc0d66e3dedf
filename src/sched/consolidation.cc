#include "sched/consolidation.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace seampass::sched {
namespace {

class Consolidation {
 public:
  Consolidation(const ClusterSnapshot& snapshot, double restart_s, double gain)
      : machines_(snapshot.machines), restart_s_(restart_s), gain_(gain) {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      const MachineView& machine = machines_[i];
      if (machine.schedulable && machine.nominated_job.empty() && machine.tasks > 0)
        order_.push_back(i);
    }
    // The emptiest first: the fewest tasks, then the highest price.
    std::sort(order_.begin(), order_.end(), [this](std::size_t left, std::size_t right) {
      return std::make_tuple(machines_[left].tasks, -machines_[left].price, left) <
             std::make_tuple(machines_[right].tasks, -machines_[right].price, right);
    });
  }

  std::vector<std::size_t> candidates(std::size_t most) {
    std::vector<std::size_t> result;
    for (std::size_t rank = 0; rank < order_.size() && result.size() < most; ++rank)
      if (move_tasks_of(rank)) result.push_back(order_[rank]);
    return result;
  }

 private:
  using FreeRoom = std::map<std::size_t, Resources>;  // by machine, where tasks are moved to

  // Finds room for all tasks of the machine at this rank of the order, and takes it; or for none.
  bool move_tasks_of(std::size_t rank) {
    const std::size_t from = order_[rank];
    const MachineView& machine = machines_[from];
    if (machine.preemptible_tasks.size() != machine.tasks || free_.contains(from)) return false;
    FreeRoom left;
    for (const PreemptibleTask& task : machine.preemptible_tasks) {
      if (!is_worth_moving(task)) return false;
      const std::optional<std::size_t> target = find_target(rank, task, left);
      if (!target) return false;
      left.try_emplace(*target, free_room(*target)).first->second -= task.request;
    }
    for (const auto& [target, room] : left) free_[target] = room;
    return true;
  }

  [[nodiscard]] bool is_worth_moving(const PreemptibleTask& task) const {
    return task.any_zone && task.remaining_s > gain_ * (task.save_s + restart_s_);
  }

  // The fullest machine with room, which is the last in the order.
  [[nodiscard]] std::optional<std::size_t> find_target(std::size_t rank,
                                                       const PreemptibleTask& task,
                                                       const FreeRoom& left) const {
    const MachineView& from = machines_[order_[rank]];
    for (std::size_t other_rank = order_.size(); other_rank-- > rank + 1;) {
      const std::size_t target = order_[other_rank];
      const MachineView& machine = machines_[target];
      if (machine.type != from.type || (machine.spot && !task.spot)) continue;
      if (!machine.images.contains(task.image)) continue;
      const auto taken = left.find(target);
      const Resources& free = taken == left.end() ? free_room(target) : taken->second;
      if (task.request.fits_in(free)) return target;
    }
    return std::nullopt;
  }

  [[nodiscard]] const Resources& free_room(std::size_t machine) const {
    const auto entry = free_.find(machine);
    return entry == free_.end() ? machines_[machine].free : entry->second;
  }

  const std::vector<MachineView>& machines_;
  const double restart_s_;
  const double gain_;
  std::vector<std::size_t> order_;  // machines with tasks, by index
  FreeRoom free_;
};

}  // namespace

std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot, double restart_s,
                                                  double gain, std::size_t most) {
  const bool any_waits =
      std::any_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                  [](const JobView& job) { return !job.blocked && !job.pending.empty(); });
  if (any_waits) return {};
  return Consolidation(snapshot, restart_s, gain).candidates(most);
}

}  // namespace seampass::sched
