#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "sched/picture.h"

namespace seampass::sched {
namespace {

using Zones = std::map<std::string, std::uint32_t>;

// Zone rules given what the job already has where.
bool zone_allows(const JobView& job, const Zones& placed, const std::string& zone) {
  if (job.one_zone)
    for (const auto& [z, n] : placed)
      if (n > 0 && z != zone) return false;
  if (job.spread) {
    const auto it = placed.find(zone);
    if (it != placed.end() && it->second >= (job.tasks + 1) / 2) return false;
  }
  return true;
}

// Score: lower is better. A machine with accelerators that the task does not use is dearest of
// all; then the price counts, before it a cached image where a quick start does; then the tightest
// fit, so that machines empty and can be returned.
auto score(const JobView& job, const MachineView& m) {
  const bool wasted = job.need.gpus == 0 && m.total.gpus > 0;
  const bool cached = m.images.count(job.image) != 0;
  return std::make_tuple(wasted, job.urgent && !cached, m.price, !cached, m.free.gpus, m.free.cpus);
}

std::optional<std::size_t> choose(const Picture& p, const JobView& job, const Zones& placed,
                                  const std::string* only_zone) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < p.machines.size(); ++i) {
    const MachineView& m = p.machines[i];
    if (!m.open || (only_zone && m.zone != *only_zone)) continue;
    if (!m.claimed_by.empty() && m.claimed_by != job.id) continue;
    if (!job.need.fits_in(m.free) || !allowed(job, m.type, m.zone, m.spot)) continue;
    if (!zone_allows(job, placed, m.zone) || job.avoid.count(i) != 0) continue;
    if (p.choice == MachineChoice::first_fit) return i;
    if (!best || score(job, m) < score(job, p.machines[*best])) best = i;
  }
  return best;
}

// Reserve / unreserve.
void take(Picture& p, const JobView& job, std::size_t machine) {
  p.machines[machine].free -= job.need;
  TeamView& team = p.teams[job.team];
  team.cpus += job.need.cpus;
  team.gpus += job.need.gpus;
}

void give_back(Picture& p, const JobView& job, std::size_t machine) {
  p.machines[machine].free += job.need;
  TeamView& team = p.teams[job.team];
  team.cpus -= job.need.cpus;
  team.gpus -= job.need.gpus;
}

// Places as many of `tasks` as go, in `zone` if named, and reserves their room.
std::vector<Placement> place(Picture& p, const JobView& job,
                             const std::vector<std::uint32_t>& tasks, const std::string* zone) {
  Zones placed = job.placed;
  std::vector<Placement> result;
  std::uint32_t room = p.teams[job.team].allows(job.need);
  for (const std::uint32_t t : tasks) {
    if (room == 0) break;
    const auto m = choose(p, job, placed, zone);
    if (!m) break;  // all tasks of a job are alike
    take(p, job, *m);
    ++placed[p.machines[*m].zone];
    --room;
    result.push_back({t, *m});
  }
  return result;
}

void undo(Picture& p, const JobView& job, const std::vector<Placement>& placements) {
  for (const Placement& x : placements) give_back(p, job, x.machine);
}

void place_singly(Picture& p, std::size_t j, Decisions& out) {
  JobView& job = p.jobs[j];
  std::vector<Placement> placed = place(p, job, job.pending, nullptr);
  if (placed.empty()) return;
  job.pending.erase(job.pending.begin(),
                    job.pending.begin() + static_cast<std::ptrdiff_t>(placed.size()));
  out.starts.push_back({j, std::move(placed)});
}

// Permit: the gang starts when every task has its place; short of that it waits, holding what it
// has.
void place_gang(Picture& p, std::size_t j, Decisions& out) {
  JobView& job = p.jobs[j];
  // What was held is released and placed afresh: the room is still there, and a better whole may
  // now exist.
  undo(p, job, job.held);
  job.held.clear();

  std::vector<std::string> zones;
  if (job.one_zone) {
    std::set<std::string> names;
    for (const MachineView& m : p.machines)
      if (m.open) names.insert(m.zone);
    zones.assign(names.begin(), names.end());
  } else {
    zones.push_back("");
  }
  std::vector<Placement> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const std::string& zone : zones) {
    std::vector<Placement> tried = place(p, job, job.pending, job.one_zone ? &zone : nullptr);
    double cost = 0;
    for (const Placement& x : tried) {
      const MachineView& m = p.machines[x.machine];
      cost += m.price * (m.images.count(job.image) != 0 ? 1 : 2);
    }
    undo(p, job, tried);
    if (tried.size() > best.size() || (tried.size() == best.size() && cost < best_cost)) {
      best = std::move(tried);
      best_cost = cost;
    }
  }
  if (best.empty()) return;
  const bool whole = best.size() == job.pending.size();
  if (!whole && job.whole_only) return;
  for (const Placement& x : best) take(p, job, x.machine);
  if (whole) {
    job.pending.clear();
    out.starts.push_back({j, std::move(best)});
  } else {
    job.held = best;
    out.holds.push_back({j, std::move(best)});
  }
}

// Preemption: an urgent job that found no place has room cleared for it, a machine for each task it
// lacks, where the fewest tasks of lower priority must stop. It starts there by a later pass, like
// any other; until then nobody else takes that room.
void clear_room(Picture& p, std::size_t j, Decisions& out) {
  const JobView& job = p.jobs[j];
  std::uint32_t lacks = static_cast<std::uint32_t>(job.pending.size() - job.held.size());
  if (lacks > p.teams[job.team].allows(job.need)) return;
  for (const MachineView& m : p.machines) lacks -= m.claimed_by == job.id && lacks > 0 ? 1 : 0;
  Zones placed = job.placed;
  for (const Placement& x : job.held) ++placed[p.machines[x.machine].zone];
  while (lacks > 0) {
    Eviction best;
    std::pair<bool, std::size_t> best_cost;
    for (std::size_t i = 0; i < p.machines.size(); ++i) {
      const MachineView& m = p.machines[i];
      if (!m.open || !m.claimed_by.empty() || !allowed(job, m.type, m.zone, m.spot)) continue;
      if (!zone_allows(job, placed, m.zone) || job.avoid.count(i) != 0) continue;
      Eviction e{i, j, {}};
      Need room = m.free;
      for (const Victim& v : m.victims) {
        if (job.need.fits_in(room)) break;
        if (v.priority <= job.priority) continue;
        room += v.need;
        e.tasks.push_back(v);
      }
      if (e.tasks.empty() || !job.need.fits_in(room)) continue;
      // A fetch takes longer than stopping one task more.
      const auto cost = std::make_pair(m.images.count(job.image) == 0, e.tasks.size());
      if (best.tasks.empty() || cost < best_cost) {
        best = std::move(e);
        best_cost = cost;
      }
    }
    if (best.tasks.empty()) return;
    p.machines[best.machine].claimed_by = job.id;
    ++placed[p.machines[best.machine].zone];
    out.evictions.push_back(std::move(best));
    --lacks;
  }
}

}  // namespace

std::uint32_t TeamView::allows(const Need& need) const {
  constexpr double slack = 1e-6;
  double n = wire::kMaxTasks;
  if (cpus_max && need.cpus > 0) n = std::min(n, (*cpus_max - cpus + slack) / need.cpus);
  if (gpus_max && need.gpus > 0) n = std::min(n, (*gpus_max - gpus + slack) / need.gpus);
  return n <= 0 ? 0 : static_cast<std::uint32_t>(std::floor(n));
}

std::vector<std::size_t> queue_order(const std::vector<JobView>& jobs) {
  std::vector<std::size_t> order(jobs.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const JobView &x = jobs[a], &y = jobs[b];
    return std::tie(x.priority, x.turn, x.created_ms, x.id) <
           std::tie(y.priority, y.turn, y.created_ms, y.id);
  });
  return order;
}

void set_turns(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
               const std::map<std::string, double>& guaranteed) {
  for (JobView& j : jobs) j.turn = 0;
  std::map<std::string, std::pair<double, double>> asked;  // GPUs, CPUs
  for (const auto& [name, t] : teams) asked[name] = {t.gpus, t.cpus};
  for (const std::size_t i : queue_order(jobs)) {
    JobView& job = jobs[i];
    auto& [gpus, cpus] = asked[job.team];
    const auto n = static_cast<double>(job.pending.size() - job.held.size());
    gpus += n * job.need.gpus;
    cpus += n * job.need.cpus;
    const auto g = guaranteed.find(job.team);
    if (job.need.gpus > 0 && g != guaranteed.end() && g->second > 0) {
      const double share = gpus / g->second;
      job.turn = share <= 1 ? 0 : share;  // within its guarantee a team waits on no other
    } else {
      job.turn = cpus;
    }
  }
}

bool allowed(const JobView& job, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !job.spot) return false;
  if (job.zone && *job.zone != zone) return false;
  if (job.types && *job.types &&
      std::find((*job.types)->begin(), (*job.types)->end(), type) == (*job.types)->end())
    return false;
  return true;
}

Decisions pass(Picture& p) {
  Decisions out;
  for (const std::size_t j : queue_order(p.jobs)) {
    JobView& job = p.jobs[j];
    if (job.blocked || job.pending.empty()) continue;
    if (job.kind == wire::JobKind::gang)
      place_gang(p, j, out);
    else
      place_singly(p, j, out);
    if (job.urgent && !job.pending.empty()) clear_room(p, j, out);
  }
  return out;
}

}  // namespace seampass::sched
