// A reference scheduler that favors simplicity over speed. It uses first fit and recomputes all
// usage from the list of placements for each decision. The tests compare sched::run_pass() with it.
#pragma once

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sched/sched.h"

namespace seampass::model {

struct Placed {
  std::size_t job;
  std::uint32_t task;
  std::size_t machine;
  bool reserved;
  bool operator<(const Placed& other) const {
    return std::tie(job, task, machine, reserved) <
           std::tie(other.job, other.task, other.machine, other.reserved);
  }
  bool operator==(const Placed& other) const = default;
};

class ReferenceScheduler {
 public:
  explicit ReferenceScheduler(const sched::ClusterSnapshot& snapshot) : snapshot_(snapshot) {}

  std::vector<Placed> run() {
    std::vector<std::size_t> queue;
    for (std::size_t job_index = 0; job_index < snapshot_.jobs.size(); ++job_index)
      queue.push_back(job_index);
    // A bubble sort in queue order: priority, fair-share rank, creation time, id.
    for (std::size_t a = 0; a < queue.size(); ++a)
      for (std::size_t b = 0; b + 1 < queue.size(); ++b)
        if (goes_before(snapshot_.jobs[queue[b + 1]], snapshot_.jobs[queue[b]]))
          std::swap(queue[b], queue[b + 1]);
    for (const std::size_t job_index : queue) {
      const auto& job = snapshot_.jobs[job_index];
      if (job.blocked || job.pending.empty()) continue;
      if (job.kind == wire::JobKind::gang)
        place_gang(job_index);
      else
        place_tasks(job_index, "", false);
    }
    std::sort(placements_.begin(), placements_.end());
    return placements_;
  }

 private:
  static bool goes_before(const sched::JobView& a, const sched::JobView& b) {
    if (a.priority != b.priority) return a.priority < b.priority;
    if (a.fair_share_rank != b.fair_share_rank) return a.fair_share_rank < b.fair_share_rank;
    if (a.created_ms != b.created_ms) return a.created_ms < b.created_ms;
    return a.id < b.id;
  }

  void place_gang(std::size_t job_index) {
    const auto& job = snapshot_.jobs[job_index];
    std::vector<std::string> zones{""};
    if (job.reserved_zone) {
      zones = {*job.reserved_zone};
    } else if (job.one_zone) {
      zones.clear();
      for (const auto& machine : snapshot_.machines)
        if (machine.schedulable &&
            std::find(zones.begin(), zones.end(), machine.zone) == zones.end())
          zones.push_back(machine.zone);
      std::sort(zones.begin(), zones.end());
    }
    const auto earlier_jobs = placements_;
    auto best = placements_;
    double best_cost = 0;
    for (const auto& zone : zones) {
      placements_ = earlier_jobs;
      double cost = 0;
      place_tasks(job_index, zone, true);
      for (std::size_t placed = earlier_jobs.size(); placed < placements_.size(); ++placed) {
        const auto& machine = snapshot_.machines[placements_[placed].machine];
        cost += machine.price * (machine.images.count(job.image) ? 1 : 2);
      }
      if (placements_.size() > best.size() ||
          (placements_.size() == best.size() && placements_.size() > earlier_jobs.size() &&
           cost < best_cost)) {
        best = placements_;
        best_cost = cost;
      }
    }
    const bool is_complete = best.size() - earlier_jobs.size() == job.pending.size();
    placements_ = is_complete || !job.all_or_nothing ? best : earlier_jobs;
    if (is_complete)
      for (auto& placed : placements_)
        if (placed.job == job_index) placed.reserved = false;
  }

  // Fills one machine after the other with the first unplaced tasks.
  void place_tasks(std::size_t job_index, const std::string& zone, bool reserved) {
    const auto& job = snapshot_.jobs[job_index];
    const auto first = placements_.size();
    const auto add_one_task = [&](std::size_t machine_index) {
      std::vector<std::uint32_t> unplaced;
      for (const auto task : job.pending) {
        bool is_placed = false;
        for (auto earlier = first; earlier < placements_.size(); ++earlier)
          is_placed = is_placed || placements_[earlier].task == task;
        if (!is_placed) unplaced.push_back(task);
      }
      if (!unplaced.empty())
        return placements_.push_back({job_index, unplaced.front(), machine_index, reserved}), true;
      return false;
    };
    for (std::size_t machine_index = 0; machine_index < snapshot_.machines.size(); ++machine_index)
      while (fits(job_index, machine_index, zone) && add_one_task(machine_index)) continue;
  }

  bool fits(std::size_t job_index, std::size_t machine_index, const std::string& zone) const {
    const auto& job = snapshot_.jobs[job_index];
    const auto& machine = snapshot_.machines[machine_index];
    if (!machine.schedulable || (!zone.empty() && machine.zone != zone)) return false;
    if (machine.spot && !job.spot) return false;
    if (job.zone && *job.zone != machine.zone) return false;
    if (job.types && *job.types &&
        std::count((*job.types)->begin(), (*job.types)->end(), machine.type) == 0)
      return false;
    sched::Resources free = machine.free;
    sched::Resources team{snapshot_.teams.at(job.team).cpus, snapshot_.teams.at(job.team).gpus, 0};
    auto in_zone = job.placed;
    for (const auto& placed : placements_) {
      const auto& other = snapshot_.jobs[placed.job];
      if (placed.machine == machine_index) free -= other.request;
      if (other.team == job.team) team += other.request;
      if (placed.job == job_index) ++in_zone[snapshot_.machines[placed.machine].zone];
    }
    const auto& quota = snapshot_.teams.at(job.team);
    if (quota.cpus_max && job.request.cpus > 0 &&
        team.cpus + job.request.cpus > *quota.cpus_max + 1e-6)
      return false;
    if (quota.gpus_max && job.request.gpus > 0 &&
        team.gpus + job.request.gpus > *quota.gpus_max + 1e-6)
      return false;
    if (!job.request.fits_in(free)) return false;
    bool in_other_zone = false;
    for (const auto& [zone_name, count] : in_zone)
      in_other_zone = in_other_zone || (count > 0 && zone_name != machine.zone);
    if (job.one_zone && in_other_zone) return false;
    if (job.spread && in_zone[machine.zone] + 1 > (job.task_count + 1) / 2) return false;
    return true;
  }

  const sched::ClusterSnapshot& snapshot_;
  std::vector<Placed> placements_;
};

}  // namespace seampass::model
