// A reference scheduler that is plain rather than quick: first fit, everything counted again for
// each decision from the list of placements. The tests compare the real one with it.
#pragma once

#include <algorithm>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sched/snapshot.h"

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

class PlainScheduler {
 public:
  explicit PlainScheduler(const sched::ClusterSnapshot& snapshot) : snapshot_(snapshot) {}

  std::vector<Placed> run() {
    std::vector<std::size_t> queue;
    for (std::size_t job_index = 0; job_index < snapshot_.jobs.size(); ++job_index)
      queue.push_back(job_index);
    // A plain bubble sort by the three rules of the queue.
    for (std::size_t a = 0; a < queue.size(); ++a)
      for (std::size_t b = 0; b + 1 < queue.size(); ++b)
        if (before(snapshot_.jobs[queue[b + 1]], snapshot_.jobs[queue[b]]))
          std::swap(queue[b], queue[b + 1]);
    for (const std::size_t job_index : queue) {
      const auto& job = snapshot_.jobs[job_index];
      if (job.blocked || job.pending.empty()) continue;
      if (job.kind == wire::JobKind::gang)
        place_gang(job_index);
      else
        fill(job_index, "", false);
    }
    std::sort(out_.begin(), out_.end());
    return out_;
  }

 private:
  static bool before(const sched::JobView& a, const sched::JobView& b) {
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
    const auto earlier_jobs = out_;
    auto best = out_;
    double best_cost = 0;
    for (const auto& zone : zones) {
      out_ = earlier_jobs;
      double cost = 0;
      fill(job_index, zone, true);
      for (std::size_t placed = earlier_jobs.size(); placed < out_.size(); ++placed) {
        const auto& machine = snapshot_.machines[out_[placed].machine];
        cost += machine.price * (machine.images.count(job.image) ? 1 : 2);
      }
      if (out_.size() > best.size() ||
          (out_.size() == best.size() && out_.size() > earlier_jobs.size() && cost < best_cost)) {
        best = out_;
        best_cost = cost;
      }
    }
    const bool whole = best.size() - earlier_jobs.size() == job.pending.size();
    out_ = whole || !job.all_or_nothing ? best : earlier_jobs;
    if (whole)
      for (auto& placed : out_)
        if (placed.job == job_index) placed.reserved = false;
  }

  // Machine after machine is filled with the first tasks that have no place yet. Where only tasks
  // are left that must avoid it, one of them changes places with one placed before.
  void fill(std::size_t job_index, const std::string& zone, bool reserved) {
    const auto& job = snapshot_.jobs[job_index];
    const auto first = out_.size();
    const auto may_use = [&](std::uint32_t task, std::size_t machine_index) {
      return job.anti_affinity.count({task, machine_index}) == 0;
    };
    const auto add_one = [&](std::size_t machine_index) {
      std::vector<std::uint32_t> rest;
      for (const auto task : job.pending) {
        bool is_placed = false;
        for (auto earlier = first; earlier < out_.size(); ++earlier)
          is_placed = is_placed || out_[earlier].task == task;
        if (!is_placed) rest.push_back(task);
      }
      for (const auto task : rest)
        if (may_use(task, machine_index))
          return out_.push_back({job_index, task, machine_index, reserved}), true;
      for (const auto task : rest)
        for (auto earlier = first; earlier < out_.size(); ++earlier)
          if (may_use(out_[earlier].task, machine_index) && may_use(task, out_[earlier].machine)) {
            out_.push_back({job_index, out_[earlier].task, machine_index, reserved});
            out_[earlier].task = task;
            return true;
          }
      return false;
    };
    for (std::size_t machine_index = 0; machine_index < snapshot_.machines.size(); ++machine_index)
      while (fits(job_index, machine_index, zone) && add_one(machine_index)) continue;
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
    for (const auto& placed : out_) {
      const auto& other = snapshot_.jobs[placed.job];
      if (placed.machine == machine_index) free -= other.request;
      if (other.team == job.team) team += other.request;
      if (placed.job == job_index) ++in_zone[snapshot_.machines[placed.machine].zone];
    }
    const auto& limit = snapshot_.teams.at(job.team);
    if (limit.cpus_max && job.request.cpus > 0 &&
        team.cpus + job.request.cpus > *limit.cpus_max + 1e-6)
      return false;
    if (limit.gpus_max && job.request.gpus > 0 &&
        team.gpus + job.request.gpus > *limit.gpus_max + 1e-6)
      return false;
    if (!job.request.fits_in(free)) return false;
    bool elsewhere = false;
    for (const auto& [zone_name, count] : in_zone)
      elsewhere = elsewhere || (count > 0 && zone_name != machine.zone);
    if (job.one_zone && elsewhere) return false;
    if (job.spread && in_zone[machine.zone] + 1 > (job.tasks + 1) / 2) return false;
    return true;
  }

  const sched::ClusterSnapshot& snapshot_;
  std::vector<Placed> out_;
};

}  // namespace seampass::model
