#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <tuple>
#include <utility>

#include "sched/snapshot.h"

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

// Open machines that the same jobs may use.
struct Pool {
  const MachineView* like = nullptr;
  std::vector<std::size_t> machines;
  // Needs that no machine of the pool had room for in this pass: what asks for as much or more
  // need not look. Room only shrinks in a pass, but for holds given up, which clear these.
  std::vector<Resources> infeasible_requests;
};

constexpr std::size_t kMaxInfeasibleRequests = 16;

class Pass {
 public:
  explicit Pass(ClusterSnapshot& snapshot) : snapshot_(snapshot) {
    std::map<std::tuple<std::string_view, std::string_view, bool>, std::size_t> index;
    for (std::size_t i = 0; i < snapshot_.machines.size(); ++i) {
      const MachineView& m = snapshot_.machines[i];
      if (!m.schedulable) continue;
      const auto [at, fresh] = index.try_emplace({m.type, m.zone, m.spot}, pools_.size());
      if (fresh) pools_.push_back({&m, {}, {}});
      pools_[at->second].machines.push_back(i);
    }
  }

  Decisions run() {
    for (const std::size_t j : queue_order(snapshot_.jobs)) {
      JobView& job = snapshot_.jobs[j];
      if (job.blocked || job.pending.empty()) continue;
      if (job.kind == wire::JobKind::gang)
        place_gang(j);
      else
        place_singly(j);
      if (!job.pending.empty() && job.urgent) clear_room(j);
    }
    return std::move(out_);
  }

 private:
  // Lower is better. A machine with accelerators that the task does not use is max_price of all;
  // then the price counts, before it a cached image where a quick start does; then the tightest
  // fit, so that machines empty and can be returned.
  using Score = std::tuple<bool, bool, double, bool, double, double, std::size_t>;
  Score score(const JobView& job, std::size_t i) const {
    const MachineView& m = snapshot_.machines[i];
    if (snapshot_.choice == MachineChoice::first_fit) return {false, false, 0, false, 0, 0, i};
    const bool wasted = job.request.gpus == 0 && m.total.gpus > 0;
    const bool cached = m.images.contains(job.image);
    const bool hurry = job.urgent || job.within_guarantee;
    return {wasted, hurry && !cached, m.price, !cached, m.free.gpus, m.free.cpus, i};
  }

  // Machines with room for one task of the job, best first. (Once a task is placed, its machine is
  // the tighter fit, so it stays the best for as long as it has room.)
  std::vector<Score> candidates(const JobView& job, const std::string* zone) {
    std::vector<Score> list;
    for (Pool& pool : pools_) {
      const MachineView& like = *pool.like;
      if ((zone && like.zone != *zone) || !allowed(job, like.type, like.zone, like.spot)) continue;
      if (std::any_of(pool.infeasible_requests.begin(), pool.infeasible_requests.end(),
                      [&](const Resources& n) { return n.fits_in(job.request); }))
        continue;
      bool room = false;
      for (const std::size_t i : pool.machines) {
        const MachineView& m = snapshot_.machines[i];
        ++out_.machines_examined;
        if (!job.request.fits_in(m.free)) continue;
        room = true;
        if (!m.nominated_job.empty() && m.nominated_job != job.id) continue;
        list.push_back(score(job, i));
      }
      if (!room && pool.infeasible_requests.size() < kMaxInfeasibleRequests)
        pool.infeasible_requests.push_back(job.request);
    }
    std::sort(list.begin(), list.end());
    return list;
  }

  // Reserve / unreserve.
  void take(const JobView& job, std::size_t machine) {
    snapshot_.machines[machine].free -= job.request;
    TeamView& team = snapshot_.teams[job.team];
    team.cpus += job.request.cpus;
    team.gpus += job.request.gpus;
  }

  void undo(const JobView& job, const std::vector<Placement>& placements) {
    TeamView& team = snapshot_.teams[job.team];
    for (const Placement& x : placements) {
      snapshot_.machines[x.machine].free += job.request;
      team.cpus -= job.request.cpus;
      team.gpus -= job.request.gpus;
    }
  }

  // Adds the first task that has no place yet and may be on this machine; if it has none but those
  // that may not, one is exchanged with a task placed before. (A job's tasks are alike.)
  static bool place_next(const JobView& job, std::size_t machine, std::vector<Placement>& result) {
    if (job.anti_affinity.empty()) {
      result.push_back({job.pending[result.size()], machine});
      return true;
    }
    const auto may = [&](std::uint32_t t, std::size_t m) {
      return !job.anti_affinity.contains({t, m});
    };
    std::vector<std::uint32_t> rest;
    for (const std::uint32_t t : job.pending) {
      if (std::any_of(result.begin(), result.end(),
                      [t](const Placement& x) { return x.task == t; }))
        continue;
      if (may(t, machine)) {
        result.push_back({t, machine});
        return true;
      }
      rest.push_back(t);
    }
    for (const std::uint32_t t : rest)
      for (Placement& x : result)
        if (may(x.task, machine) && may(t, x.machine)) {
          const std::uint32_t moved = std::exchange(x.task, t);
          result.push_back({moved, machine});
          return true;
        }
    return false;
  }

  // Places as many of the pending tasks as go, in `zone` if named, and reserves their room.
  std::vector<Placement> place(const JobView& job, const std::string* zone) {
    Zones placed = job.placed;
    std::vector<Placement> result;
    const std::size_t most =
        std::min<std::size_t>(job.pending.size(), snapshot_.teams[job.team].allows(job.request));
    if (most == 0) return result;
    for (const Score& c : candidates(job, zone)) {
      const std::size_t i = std::get<std::size_t>(c);
      const MachineView& m = snapshot_.machines[i];
      while (result.size() < most && job.request.fits_in(m.free) &&
             zone_allows(job, placed, m.zone)) {
        if (!place_next(job, i, result)) break;
        take(job, i);
        ++placed[m.zone];
      }
      if (result.size() == most) break;
    }
    return result;
  }

  void place_singly(std::size_t j) {
    JobView& job = snapshot_.jobs[j];
    std::vector<Placement> placed = place(job, nullptr);
    if (placed.empty()) return;
    std::set<std::uint32_t> gone;
    for (const Placement& x : placed) gone.insert(x.task);
    std::erase_if(job.pending, [&](std::uint32_t t) { return gone.contains(t); });
    out_.starts.push_back({j, std::move(placed)});
  }

  // Permit: the gang starts when every task has its place; short of that it waits, holding what it
  // has.
  void place_gang(std::size_t j) {
    JobView& job = snapshot_.jobs[j];
    // What was held is released and placed afresh: the room is still there, and a better whole may
    // now exist.
    if (!job.reservations.empty()) {
      undo(job, job.reservations);
      job.reservations.clear();
      for (Pool& pool : pools_) pool.infeasible_requests.clear();
    }
    std::set<std::string> zones;
    if (job.one_zone && !job.reserved_zone) {
      for (const Pool& pool : pools_) zones.insert(pool.like->zone);
    } else {
      zones.insert(job.reserved_zone.value_or(""));
    }
    std::vector<Placement> best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (const std::string& zone : zones) {
      std::vector<Placement> tried = place(job, zone.empty() ? nullptr : &zone);
      double cost = 0;
      for (const Placement& x : tried) {
        const MachineView& m = snapshot_.machines[x.machine];
        cost += m.price * (m.images.contains(job.image) ? 1 : 2);
      }
      undo(job, tried);
      if (tried.size() > best.size() || (tried.size() == best.size() && cost < best_cost)) {
        best = std::move(tried);
        best_cost = cost;
      }
    }
    if (best.empty()) return;
    const bool whole = best.size() == job.pending.size();
    if (!whole && job.all_or_nothing) return;
    for (const Placement& x : best) take(job, x.machine);
    if (whole) {
      job.pending.clear();
      out_.starts.push_back({j, std::move(best)});
    } else {
      job.reservations = best;
      out_.reservations.push_back({j, std::move(best)});
    }
  }

  // Preemption: a job in a hurry that found no place has room cleared for it, where the fewest
  // tasks must stop. It starts there by a later pass, like any other; until then nobody else takes
  // that room. A gang of one zone has none cleared where it could not become whole.
  void clear_room(std::size_t j) {
    const JobView& job = snapshot_.jobs[j];
    std::size_t lacks = job.pending.size() - job.reservations.size();
    if (job.kind == wire::JobKind::gang) {
      if (lacks > snapshot_.teams[job.team].allows(job.request)) return;
    } else {
      lacks = std::min<std::size_t>(lacks, snapshot_.teams[job.team].allows(job.request));
    }
    Zones placed = job.placed;
    for (const Placement& x : job.reservations) ++placed[snapshot_.machines[x.machine].zone];
    struct Option {
      std::size_t cost = 0, machine = 0, fits = 0;
      std::vector<PreemptibleTask> tasks;
    };
    std::vector<Option> options;
    std::map<std::string, std::size_t> room;  // by zone: tasks that could be placed there
    for (const Pool& pool : pools_) {
      const MachineView& like = *pool.like;
      if (!allowed(job, like.type, like.zone, like.spot)) continue;
      if (!zone_allows(job, placed, like.zone)) continue;
      for (const std::size_t i : pool.machines) {
        const MachineView& m = snapshot_.machines[i];
        ++out_.machines_examined;
        if (m.nominated_job == job.id) {
          const std::size_t n = capacity(job.request, m.total);
          lacks -= std::min(lacks, n);
          if (lacks == 0) return;
        }
        if (!m.nominated_job.empty() || m.preemptible_tasks.empty()) continue;
        if (std::any_of(job.anti_affinity.begin(), job.anti_affinity.end(),
                        [i](const auto& a) { return a.second == i; }))
          continue;
        Option o;
        o.machine = i;
        Resources left = m.free;
        const std::size_t most = job.kind == wire::JobKind::gang ? 1 : lacks;
        for (const PreemptibleTask& v : m.preemptible_tasks) {
          if (job.request.fits_in(left)) {
            left -= job.request;
            if (++o.fits == most) break;
          }
          if (v.priority <= job.priority) continue;
          left += v.request;
          o.tasks.push_back(v);
        }
        if (o.fits < most && job.request.fits_in(left)) ++o.fits;
        if (o.tasks.empty() || o.fits == 0) continue;
        // A fetch takes longer than stopping some tasks more.
        o.cost = o.tasks.size() + (!m.images.contains(job.image) ? 1000 : 0);
        room[m.zone] += o.fits;
        options.push_back(std::move(o));
      }
    }
    std::sort(options.begin(), options.end(), [](const Option& a, const Option& b) {
      return std::tie(a.cost, a.machine) < std::tie(b.cost, b.machine);
    });
    const bool whole = job.kind == wire::JobKind::gang && job.one_zone;
    for (Option& o : options) {
      if (lacks == 0) return;
      MachineView& m = snapshot_.machines[o.machine];
      if (!zone_allows(job, placed, m.zone) || (whole && room[m.zone] < lacks)) continue;
      m.nominated_job = job.id;
      placed[m.zone] += static_cast<std::uint32_t>(o.fits);
      lacks -= std::min(lacks, o.fits);
      out_.preemptions.push_back({o.machine, j, std::move(o.tasks)});
    }
  }

  ClusterSnapshot& snapshot_;
  std::vector<Pool> pools_;
  Decisions out_;
};

}  // namespace

std::uint32_t TeamView::allows(const Resources& need) const {
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
    const JobView& x = jobs[a];
    const JobView& y = jobs[b];
    return std::tie(x.priority, x.fair_share_rank, x.created_ms, x.id) <
           std::tie(y.priority, y.fair_share_rank, y.created_ms, y.id);
  });
  return order;
}

void set_fair_share_ranks(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
                          const std::map<std::string, double>& guaranteed) {
  for (JobView& j : jobs) j.fair_share_rank = 0;
  std::map<std::string, std::pair<double, double>> asked;  // GPUs, CPUs
  for (const auto& [name, t] : teams) asked[name] = {t.gpus, t.cpus};
  for (const std::size_t i : queue_order(jobs)) {
    JobView& job = jobs[i];
    auto& [gpus, cpus] = asked[job.team];
    const auto n = static_cast<double>(job.pending.size() - job.reservations.size());
    gpus += n * job.request.gpus;
    cpus += n * job.request.cpus;
    const auto g = guaranteed.find(job.team);
    if (job.request.gpus > 0 && g != guaranteed.end() && g->second > 0) {
      const double share = gpus / g->second;
      job.fair_share_rank =
          share <= 1 ? 0 : share;  // within its guarantee a team waits on no other
    } else {
      job.fair_share_rank = cpus;
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

std::uint32_t capacity(const Resources& need, const Resources& total) {
  double n = wire::kMaxTasks;
  if (need.cpus > 0) n = std::min(n, total.cpus / need.cpus + 1e-9);
  if (need.gpus > 0) n = std::min(n, total.gpus / need.gpus + 1e-9);
  if (need.memory_gb > 0) n = std::min(n, total.memory_gb / need.memory_gb + 1e-9);
  return static_cast<std::uint32_t>(std::floor(n));
}

Decisions run_pass(ClusterSnapshot& snapshot) { return Pass(snapshot).run(); }

}  // namespace seampass::sched
