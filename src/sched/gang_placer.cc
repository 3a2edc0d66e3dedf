#include "sched/gang_placer.h"

#include <limits>
#include <utility>

namespace seampass::sched {

GangPlacer::Result GangPlacer::place(JobView& job) {
  release_reservations(job);
  std::vector<Placement> best = best_placements(job);
  if (best.empty()) return {};
  const bool is_whole = best.size() == job.pending.size();
  if (!is_whole && job.all_or_nothing) return {};
  for (const Placement& placement : best) placer_.reserve(job, placement.machine);
  if (is_whole) {
    job.pending.clear();
    return {Permit::start, std::move(best)};
  }
  job.reservations = best;
  return {Permit::wait, std::move(best)};
}

// Every pass places the reserved tasks anew. The released resources are still free at this point,
// and a placement of more tasks may exist by now.
void GangPlacer::release_reservations(JobView& job) {
  if (job.reservations.empty()) return;
  placer_.unreserve(job, job.reservations);
  job.reservations.clear();
  pools_.clear_infeasible_requests();
}

std::set<std::string> GangPlacer::zones_to_try(const JobView& job) const {
  if (!job.one_zone || job.reserved_zone) return {job.reserved_zone.value_or("")};
  std::set<std::string> zones;
  for (const MachinePool& pool : pools_.all()) zones.insert(pool.sample->zone);
  return zones;
}

std::vector<Placement> GangPlacer::best_placements(const JobView& job) {
  std::vector<Placement> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const std::string& zone : zones_to_try(job)) {
    std::vector<Placement> in_this_zone = placer_.place(job, zone.empty() ? nullptr : &zone);
    const double cost = cost_of(job, in_this_zone);
    placer_.unreserve(job, in_this_zone);
    if (in_this_zone.size() > best.size() ||
        (in_this_zone.size() == best.size() && cost < best_cost)) {
      best = std::move(in_this_zone);
      best_cost = cost;
    }
  }
  return best;
}

// Returns the sum of the machines' prices, one per task. The price counts twice where the image has
// to be fetched.
double GangPlacer::cost_of(const JobView& job, const std::vector<Placement>& placements) const {
  double cost = 0;
  for (const Placement& placement : placements) {
    const MachineView& machine = snapshot_.machines[placement.machine];
    cost += machine.price * (machine.images.contains(job.image) ? 1 : 2);
  }
  return cost;
}

}  // namespace seampass::sched
