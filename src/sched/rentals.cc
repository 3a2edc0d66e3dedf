#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <tuple>

#include "sched/snapshot.h"

namespace seampass::sched {
namespace {

class Planner {
 public:
  Planner(const ClusterSnapshot& snapshot, const std::vector<ScaleOutOption>& options)
      : snapshot_(snapshot), teams_(snapshot.teams), options_(options), counts_(options.size(), 0) {
    for (std::size_t i = 0; i < snapshot.machines.size(); ++i) add(snapshot.machines[i], i);
    for (const MachineView& m : snapshot.pending_scale_out) add(m, snapshot.machines.size());
  }

  ScalingPlan run(const std::vector<Headroom>& headroom) {
    for (const std::size_t j : queue_order(snapshot_.jobs)) {
      const JobView& job = snapshot_.jobs[j];
      if (job.blocked || job.pending.empty()) continue;
      double budget = std::numeric_limits<double>::infinity();
      settle(job, false, budget, budget);
    }
    for (const Headroom& s : headroom) {
      double budget = s.budget;
      settle(s.job, true, budget, s.max_price);
    }
    for (std::size_t i = 0; i < options_.size(); ++i)
      if (counts_[i] > 0) plan_.scale_out.push_back({i, counts_[i]});
    return std::move(plan_);
  }

 private:
  // What this plan needs of a machine, and what it has given away of it.
  struct Room {
    const MachineView* m;
    std::size_t index;
    Resources free;
  };

  void add(const MachineView& m, std::size_t index) {
    if (!m.nominated_job.empty()) claimed_[m.nominated_job].push_back(&m);
    if (m.schedulable && !m.releases.empty()) releasing_.push_back(rooms_.size());
    if (m.booting) booting_.push_back(rooms_.size());
    if (m.schedulable || m.booting) rooms_.push_back({&m, index, m.free});
  }

  static Resources coming(const JobView& job, const Room& r) {
    Resources n = r.free;
    for (const auto& [in_s, need] : r.m->releases)
      if (in_s <= job.wait_budget_s) n += need;
    return n;
  }

  // A gang of one zone goes where it lacks least; what it lacks must be for rent there.
  std::string best_zone(const JobView& job, std::uint32_t left) const {
    std::map<std::string, std::uint32_t> there;
    for (const ScaleOutOption& o : options_) there.try_emplace(o.zone, 0);
    for (const std::size_t i : releasing_) {
      const MachineView& m = *rooms_[i].m;
      if (allowed(job, m.type, m.zone, m.spot))
        there[m.zone] += job.request.fits_in(coming(job, rooms_[i])) ? 1 : 0;
    }
    for (const std::size_t i : booting_) {
      const MachineView& m = *rooms_[i].m;
      if (allowed(job, m.type, m.zone, m.spot))
        there[m.zone] += job.request.fits_in(rooms_[i].free) ? 1 : 0;
    }
    std::string best;
    std::tuple<bool, double, double> best_cost;
    for (const auto& [zone, n] : there) {
      const double lacks = left - std::min(left, n);
      double price = std::numeric_limits<double>::infinity();
      for (const ScaleOutOption& o : options_)
        if (o.zone == zone && allowed(job, o.type, o.zone, o.spot) &&
            capacity(job.request, o.total) > 0)
          price = std::min(price, o.price);
      const bool never = lacks > 0 && !std::isfinite(price);
      const auto cost = std::make_tuple(never, lacks, never ? 0 : lacks * price);
      if (best.empty() || cost < best_cost) {
        best = zone;
        best_cost = cost;
      }
    }
    return best;
  }

  // Finds a place for what the job still lacks: on room that is on its way, else on rented room.
  // A spare may also use what is open and free.
  void settle(const JobView& job, bool spare, double& budget, double max_price) {
    TeamView unlimited;
    TeamView& team = spare ? unlimited : teams_[job.team];
    auto left = static_cast<std::uint32_t>(job.pending.size() - job.reservations.size());
    // Held tasks are in the team's use already.
    left = std::min(left, team.allows(job.request));
    if (job.kind == wire::JobKind::gang && left < job.pending.size() - job.reservations.size())
      return;
    // Room that is being cleared for it.
    if (const auto c = claimed_.find(job.id); !spare && c != claimed_.end())
      for (const MachineView* m : c->second)
        left -=
            std::min(left, job.kind == wire::JobKind::gang ? 1 : capacity(job.request, m->total));
    if (left == 0) return;
    team.cpus += left * job.request.cpus;
    team.gpus += left * job.request.gpus;

    std::map<std::string, std::uint32_t> placed = job.placed;
    for (const Placement& x : job.reservations) ++placed[snapshot_.machines[x.machine].zone];
    std::string only = job.zone.value_or(job.reserved_zone.value_or(""));
    if (job.one_zone && only.empty()) {
      for (const auto& [zone, n] : placed)
        if (n > 0) only = zone;
      if (only.empty() && !spare) only = best_zone(job, left);
    }
    const auto zone_ok = [&](const std::string& zone) {
      if (!only.empty() && zone != only) return false;
      if (!job.spread) return true;
      const auto it = placed.find(zone);
      return it == placed.end() || it->second < (job.tasks + 1) / 2;
    };
    const auto take = [&](Room& r) {
      r.free -= job.request;
      ++placed[r.m->zone];
      --left;
    };

    // Room that comes free in time costs nothing more.
    for (const std::size_t i : releasing_) {
      if (left == 0 || spare) break;
      Room& r = rooms_[i];
      if (!allowed(job, r.m->type, r.m->zone, r.m->spot)) continue;
      Resources next = coming(job, r);
      while (left > 0 && job.request.fits_in(next) && zone_ok(r.m->zone)) {
        next -= job.request;
        take(r);  // leaves its free room below zero: a promise on what comes free
      }
    }
    // A spare is kept where it costs least.
    std::vector<std::size_t> order;
    if (spare) {
      for (std::size_t i = 0; i < rooms_.size(); ++i) order.push_back(i);
      std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
        return rooms_[a].m->price < rooms_[b].m->price;
      });
    }
    for (const std::size_t i : spare ? order : booting_) {
      if (left == 0) break;
      Room& r = rooms_[i];
      const MachineView& m = *r.m;
      if (m.price > max_price || !allowed(job, m.type, m.zone, m.spot)) continue;
      while (left > 0 && job.request.fits_in(r.free) && zone_ok(m.zone)) {
        if (spare && m.schedulable && !plan_.headroom_machines.contains(r.index)) {
          const bool idle = r.free.cpus >= m.total.cpus && r.free.gpus >= m.total.gpus;
          if (idle && m.price > budget) break;
          if (idle) budget -= m.price;
          plan_.headroom_machines.insert(r.index);
        }
        take(r);
      }
    }
    while (left > 0) {
      std::size_t best = options_.size();
      double best_cost = std::numeric_limits<double>::infinity();
      for (std::size_t i = 0; i < options_.size(); ++i) {
        const ScaleOutOption& o = options_[i];
        const std::uint32_t fit = std::min(capacity(job.request, o.total), left);
        if (fit == 0 || !allowed(job, o.type, o.zone, o.spot) || !zone_ok(o.zone)) continue;
        if (o.price > budget || o.price > max_price) continue;
        const double cost = o.price / fit;
        if (cost < best_cost) {
          best = i;
          best_cost = cost;
        }
      }
      if (best == options_.size()) break;
      const ScaleOutOption& o = options_[best];
      ++counts_[best];
      budget -= o.price;
      MachineView& m = rented_.emplace_back();
      m.type = o.type;
      m.zone = o.zone;
      m.spot = o.spot;
      m.price = o.price;
      m.total = m.free = o.total;
      booting_.push_back(rooms_.size());
      rooms_.push_back({&m, snapshot_.machines.size(), o.total});
      while (left > 0 && job.request.fits_in(rooms_.back().free) && zone_ok(o.zone))
        take(rooms_.back());
    }
  }

  const ClusterSnapshot& snapshot_;
  std::map<std::string, TeamView> teams_;
  const std::vector<ScaleOutOption>& options_;
  std::vector<int> counts_;
  std::vector<Room> rooms_;
  std::vector<std::size_t> releasing_, booting_;  // indices into rooms_
  std::deque<MachineView> rented_;
  std::map<std::string, std::vector<const MachineView*>> claimed_;
  ScalingPlan plan_;
};

}  // namespace

ScalingPlan plan_scaling(const ClusterSnapshot& snapshot,
                         const std::vector<ScaleOutOption>& options,
                         const std::vector<Headroom>& headroom) {
  return Planner(snapshot, options).run(headroom);
}

std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot, double restart_s,
                                                  double worth, std::size_t most) {
  std::vector<std::size_t> result;
  for (const JobView& j : snapshot.jobs)
    if (!j.blocked && !j.pending.empty()) return result;
  // The emptiest first: fewest tasks, then the max_price.
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < snapshot.machines.size(); ++i) {
    const MachineView& m = snapshot.machines[i];
    if (!m.schedulable || !m.nominated_job.empty() || m.tasks == 0) continue;
    order.push_back(i);
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return std::make_tuple(snapshot.machines[a].tasks, -snapshot.machines[a].price, a) <
           std::make_tuple(snapshot.machines[b].tasks, -snapshot.machines[b].price, b);
  });
  std::map<std::size_t, Resources> free;  // of machines that tasks are moved to
  const auto room = [&](std::size_t i) {
    const auto it = free.find(i);
    return it == free.end() ? snapshot.machines[i].free : it->second;
  };
  for (std::size_t at = 0; at < order.size() && result.size() < most; ++at) {
    const std::size_t i = order[at];
    const MachineView& m = snapshot.machines[i];
    if (m.preemptible_tasks.size() != m.tasks || free.contains(i)) continue;
    std::map<std::size_t, Resources> taken;
    bool all = true;
    for (const PreemptibleTask& v : m.preemptible_tasks) {
      all = v.any_zone && v.remaining_s > worth * (v.save_s + restart_s);
      if (!all) break;
      bool placed = false;
      // The fullest last in the order: looked at first.
      for (std::size_t k = order.size(); k-- > at + 1 && !placed;) {
        const std::size_t to = order[k];
        const MachineView& other = snapshot.machines[to];
        if (other.type != m.type) continue;
        if ((other.spot && !v.spot) || !other.images.contains(v.image)) continue;
        const auto before = taken.find(to);
        const Resources left = before == taken.end() ? room(to) : before->second;
        if (!v.request.fits_in(left)) continue;
        taken[to] = left;
        taken[to] -= v.request;
        placed = true;
      }
      all = placed;
      if (!all) break;
    }
    if (!all) continue;
    for (const auto& [to, left] : taken) free[to] = left;
    result.push_back(i);
  }
  return result;
}

}  // namespace seampass::sched
