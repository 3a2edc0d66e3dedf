#include <algorithm>
#include <cmath>
#include <limits>

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

}  // namespace

std::vector<RentalWish> plan_rentals(Picture p, const std::vector<RentalOption>& options) {
  std::vector<int> counts(options.size(), 0);
  for (const std::size_t j : queue_order(p.jobs)) {
    JobView& job = p.jobs[j];
    if (job.blocked || job.pending.empty()) continue;
    TeamView& team = p.teams[job.team];
    auto left = static_cast<std::uint32_t>(job.pending.size() - job.held.size());
    // Held tasks are in the team's use already.
    left = std::min(left, team.allows(job.need));
    if (job.kind == wire::JobKind::gang && left < job.pending.size() - job.held.size()) continue;
    team.cpus += left * job.need.cpus;
    team.gpus += left * job.need.gpus;

    std::map<std::string, std::uint32_t> placed = job.placed;
    for (const Placement& x : job.held) ++placed[p.machines[x.machine].zone];
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
    const auto settle = [&](const std::string& zone) {
      ++placed[zone];
      if (job.one_zone) only = zone;
      --left;
    };

    // Room that is on its way already.
    for (MachineView& m : p.machines) {
      while (left > 0 && m.booting && job.need.fits_in(m.free) &&
             allowed(job, m.type, m.zone, m.spot) && zone_ok(m.zone)) {
        m.free -= job.need;
        settle(m.zone);
      }
    }
    while (left > 0) {
      std::size_t best = options.size();
      double best_cost = std::numeric_limits<double>::infinity();
      for (std::size_t i = 0; i < options.size(); ++i) {
        const RentalOption& o = options[i];
        const std::uint32_t fit = std::min(capacity(job.need, o.total), left);
        if (fit == 0 || !allowed(job, o.type, o.zone, o.spot) || !zone_ok(o.zone)) continue;
        const double cost = o.price / fit;
        if (cost < best_cost) {
          best = i;
          best_cost = cost;
        }
      }
      if (best == options.size()) break;
      const RentalOption& o = options[best];
      ++counts[best];
      MachineView m;
      m.type = o.type;
      m.zone = o.zone;
      m.spot = o.spot;
      m.booting = true;
      m.total = m.free = o.total;
      while (left > 0 && job.need.fits_in(m.free) && zone_ok(m.zone)) {
        m.free -= job.need;
        settle(m.zone);
      }
      p.machines.push_back(std::move(m));
    }
  }
  std::vector<RentalWish> wishes;
  for (std::size_t i = 0; i < options.size(); ++i)
    if (counts[i] > 0) wishes.push_back({i, counts[i]});
  return wishes;
}

}  // namespace seampass::sched
