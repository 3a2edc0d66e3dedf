// The scheduler as plainly as it can be said: slow, first fit, everything recounted each time from
// the list of who is where. The real one is compared with it.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "sched/snapshot.h"

namespace seampass::model {

struct Placed {
  std::size_t job;
  std::uint32_t task;
  std::size_t machine;
  bool held;
  bool operator<(const Placed& o) const {
    return std::tie(job, task, machine, held) < std::tie(o.job, o.task, o.machine, o.held);
  }
  bool operator==(const Placed& o) const = default;
};

class PlainScheduler {
 public:
  explicit PlainScheduler(const sched::ClusterSnapshot& p) : p_(p) {}

  std::vector<Placed> run() {
    std::vector<std::size_t> queue;
    for (std::size_t j = 0; j < p_.jobs.size(); ++j) queue.push_back(j);
    // A plain bubble sort by the three rules of the queue.
    for (std::size_t a = 0; a < queue.size(); ++a)
      for (std::size_t b = 0; b + 1 < queue.size(); ++b)
        if (before(p_.jobs[queue[b + 1]], p_.jobs[queue[b]])) std::swap(queue[b], queue[b + 1]);
    for (const std::size_t j : queue) {
      const auto& job = p_.jobs[j];
      if (job.blocked || job.pending.empty()) continue;
      if (job.kind == wire::JobKind::gang)
        gang(j);
      else
        fill(j, "", false);
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

  void gang(std::size_t j) {
    const auto& job = p_.jobs[j];
    std::vector<std::string> zones{""};
    if (job.reserved_zone) {
      zones = {*job.reserved_zone};
    } else if (job.one_zone) {
      zones.clear();
      for (const auto& m : p_.machines)
        if (m.schedulable && std::find(zones.begin(), zones.end(), m.zone) == zones.end())
          zones.push_back(m.zone);
      std::sort(zones.begin(), zones.end());
    }
    const auto start = out_;
    auto best = out_;
    double best_cost = 0;
    for (const auto& zone : zones) {
      out_ = start;
      double cost = 0;
      fill(j, zone, true);
      for (std::size_t k = start.size(); k < out_.size(); ++k) {
        const auto& m = p_.machines[out_[k].machine];
        cost += m.price * (m.images.count(job.image) ? 1 : 2);
      }
      if (out_.size() > best.size() ||
          (out_.size() == best.size() && out_.size() > start.size() && cost < best_cost)) {
        best = out_;
        best_cost = cost;
      }
    }
    const bool whole = best.size() - start.size() == job.pending.size();
    out_ = whole || !job.all_or_nothing ? best : start;
    if (whole)
      for (auto& x : out_)
        if (x.job == j) x.held = false;
  }

  // Machine after machine is filled with the first tasks that have no place yet. Where only tasks
  // are left that must avoid it, one of them changes places with one placed before.
  void fill(std::size_t j, const std::string& zone, bool held) {
    const auto& job = p_.jobs[j];
    const auto first = out_.size();
    const auto may = [&](std::uint32_t t, std::size_t i) {
      return job.anti_affinity.count({t, i}) == 0;
    };
    const auto one = [&](std::size_t i) {
      std::vector<std::uint32_t> rest;
      for (const auto t : job.pending) {
        bool placed = false;
        for (auto k = first; k < out_.size(); ++k) placed = placed || out_[k].task == t;
        if (!placed) rest.push_back(t);
      }
      for (const auto t : rest)
        if (may(t, i)) return out_.push_back({j, t, i, held}), true;
      for (const auto t : rest)
        for (auto k = first; k < out_.size(); ++k)
          if (may(out_[k].task, i) && may(t, out_[k].machine)) {
            out_.push_back({j, out_[k].task, i, held});
            out_[k].task = t;
            return true;
          }
      return false;
    };
    for (std::size_t i = 0; i < p_.machines.size(); ++i)
      while (fits(j, i, zone) && one(i)) continue;
  }

  bool fits(std::size_t j, std::size_t i, const std::string& zone) const {
    const auto& job = p_.jobs[j];
    const auto& m = p_.machines[i];
    if (!m.schedulable || (!zone.empty() && m.zone != zone)) return false;
    if (m.spot && !job.spot) return false;
    if (job.zone && *job.zone != m.zone) return false;
    if (job.types && *job.types &&
        std::count((*job.types)->begin(), (*job.types)->end(), m.type) == 0)
      return false;
    sched::Resources free = m.free;
    sched::Resources team{p_.teams.at(job.team).cpus, p_.teams.at(job.team).gpus, 0};
    auto in_zone = job.placed;
    for (const auto& x : out_) {
      const auto& other = p_.jobs[x.job];
      if (x.machine == i) free -= other.request;
      if (other.team == job.team) team += other.request;
      if (x.job == j) ++in_zone[p_.machines[x.machine].zone];
    }
    const auto& limit = p_.teams.at(job.team);
    if (limit.cpus_max && job.request.cpus > 0 &&
        team.cpus + job.request.cpus > *limit.cpus_max + 1e-6)
      return false;
    if (limit.gpus_max && job.request.gpus > 0 &&
        team.gpus + job.request.gpus > *limit.gpus_max + 1e-6)
      return false;
    if (!job.request.fits_in(free)) return false;
    bool elsewhere = false;
    for (const auto& [z, n] : in_zone) elsewhere = elsewhere || (n > 0 && z != m.zone);
    if (job.one_zone && elsewhere) return false;
    if (job.spread && in_zone[m.zone] + 1 > (job.tasks + 1) / 2) return false;
    return true;
  }

  const sched::ClusterSnapshot& p_;
  std::vector<Placed> out_;
};

}  // namespace seampass::model
