#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include "sched/picture.h"

namespace seampass::sched {
namespace {

// How many tasks of this need an empty machine takes.
std::uint32_t capacity(const Need& need, const Need& total) {
  double n = wire::kMaxTasks;
  if (need.cpus > 0) n = std::min(n, total.cpus / need.cpus + 1e-9);
  if (need.gpus > 0) n = std::min(n, total.gpus / need.gpus + 1e-9);
  if (need.memory_gb > 0) n = std::min(n, total.memory_gb / need.memory_gb + 1e-9);
  return static_cast<std::uint32_t>(std::floor(n));
}

class Planner {
 public:
  Planner(Picture p, const std::vector<RentalOption>& options)
      : p_(std::move(p)), options_(options), counts_(options.size(), 0) {}

  MachinePlan run(const std::vector<Spare>& spares) {
    for (const std::size_t j : queue_order(p_.jobs)) {
      const JobView& job = p_.jobs[j];
      if (job.blocked || job.pending.empty()) continue;
      double budget = std::numeric_limits<double>::infinity();
      settle(job, false, budget, budget);
    }
    for (const Spare& s : spares) {
      double budget = s.budget;
      settle(s.job, true, budget, s.dearest);
    }
    for (std::size_t i = 0; i < options_.size(); ++i)
      if (counts_[i] > 0) plan_.rentals.push_back({i, counts_[i]});
    return std::move(plan_);
  }

 private:
  // Finds a place for what the job still lacks: on room that is on its way, else on rented room.
  // A spare may also use what is open and free.
  void settle(const JobView& job, bool spare, double& budget, double dearest) {
    // Room that is being cleared for it.
    std::uint32_t claimed = 0;
    for (const MachineView& m : p_.machines) claimed += !spare && m.claimed_by == job.id ? 1 : 0;
    TeamView unlimited;
    TeamView& team = spare ? unlimited : p_.teams[job.team];
    auto left = static_cast<std::uint32_t>(job.pending.size() - job.held.size());
    // Held tasks are in the team's use already.
    left = std::min(left, team.allows(job.need));
    if (job.kind == wire::JobKind::gang && left < job.pending.size() - job.held.size()) return;
    left -= std::min(left, claimed);
    team.cpus += left * job.need.cpus;
    team.gpus += left * job.need.gpus;

    std::map<std::string, std::uint32_t> placed = job.placed;
    for (const Placement& x : job.held) ++placed[p_.machines[x.machine].zone];
    std::string only = job.zone.value_or("");
    if (job.one_zone && only.empty())
      for (const auto& [zone, n] : placed)
        if (n > 0) only = zone;
    const auto zone_ok = [&](const std::string& zone) {
      if (!only.empty() && zone != only) return false;
      if (!job.spread) return true;
      const auto it = placed.find(zone);
      return it == placed.end() || it->second < (job.tasks + 1) / 2;
    };
    const auto take = [&](MachineView& m) {
      m.free -= job.need;
      ++placed[m.zone];
      if (job.one_zone) only = m.zone;
      --left;
    };

    // Room that comes free in time costs nothing more.
    for (MachineView& m : p_.machines) {
      if (left == 0) break;
      if (spare || !m.open || m.releases.empty() || !allowed(job, m.type, m.zone, m.spot)) continue;
      Need coming = m.free;
      for (const auto& [in_s, need] : m.releases)
        if (in_s <= job.patience_s) coming += need;
      while (left > 0 && job.need.fits_in(coming) && zone_ok(m.zone)) {
        coming -= job.need;
        take(m);  // leaves m.free below zero: a promise on what comes free
      }
    }
    // A spare is kept where it costs least.
    std::vector<std::size_t> order(p_.machines.size());
    std::iota(order.begin(), order.end(), 0);
    if (spare)
      std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return p_.machines[a].price < p_.machines[b].price;
      });
    for (const std::size_t i : order) {
      MachineView& m = p_.machines[i];
      if (!(m.booting || (spare && m.open)) || !allowed(job, m.type, m.zone, m.spot)) continue;
      if (m.price > dearest) continue;
      while (left > 0 && job.need.fits_in(m.free) && zone_ok(m.zone)) {
        if (spare && m.open && plan_.keep.count(i) == 0) {
          const bool idle = m.free.cpus >= m.total.cpus && m.free.gpus >= m.total.gpus;
          if (idle && m.price > budget) break;
          if (idle) budget -= m.price;
          plan_.keep.insert(i);
        }
        take(m);
      }
    }
    while (left > 0) {
      std::size_t best = options_.size();
      double best_cost = std::numeric_limits<double>::infinity();
      for (std::size_t i = 0; i < options_.size(); ++i) {
        const RentalOption& o = options_[i];
        const std::uint32_t fit = std::min(capacity(job.need, o.total), left);
        if (fit == 0 || !allowed(job, o.type, o.zone, o.spot) || !zone_ok(o.zone)) continue;
        if (o.price > budget || o.price > dearest) continue;
        const double cost = o.price / fit;
        if (cost < best_cost) {
          best = i;
          best_cost = cost;
        }
      }
      if (best == options_.size()) break;
      const RentalOption& o = options_[best];
      ++counts_[best];
      budget -= o.price;
      MachineView m;
      m.type = o.type;
      m.zone = o.zone;
      m.spot = o.spot;
      m.booting = true;
      m.total = m.free = o.total;
      while (left > 0 && job.need.fits_in(m.free) && zone_ok(m.zone)) take(m);
      p_.machines.push_back(std::move(m));
    }
  }

  Picture p_;
  const std::vector<RentalOption>& options_;
  std::vector<int> counts_;
  MachinePlan plan_;
};

}  // namespace

MachinePlan plan_machines(Picture picture, const std::vector<RentalOption>& options,
                          const std::vector<Spare>& spares) {
  return Planner(std::move(picture), options).run(spares);
}

}  // namespace seampass::sched
