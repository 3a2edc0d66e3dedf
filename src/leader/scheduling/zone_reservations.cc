#include "leader/scheduling/zone_reservations.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace seampass::leader {

using net::Ms;

namespace {

// A gang's room is kept in one zone for so many of the longest boots.
constexpr double kReservationBoots = 3;

bool needs_zone(const JobRecord& job, const sched::JobView& view) {
  return job.gang() && view.one_zone && job.all_or_nothing && !view.blocked;
}

// The zone with the most machines that could take a task of the job, were they empty; neither one
// of those that are taken nor `excluded`. Empty if there is none.
std::string best_zone(const sched::ClusterSnapshot& snapshot, const sched::JobView& view,
                      const std::set<std::string>& taken, const std::string& excluded) {
  std::map<std::string, std::uint32_t> candidates;
  for (const sched::MachineView& machine : snapshot.machines)
    if ((machine.open || machine.booting) && !taken.contains(machine.zone) &&
        sched::allowed(view, machine.type, machine.zone, machine.spot) &&
        sched::capacity(view.request, machine.total) > 0)
      ++candidates[machine.zone];
  candidates.erase(excluded);
  std::string best;
  for (const auto& [zone, count] : candidates)
    if (best.empty() || count > candidates[best]) best = zone;
  return best;
}

}  // namespace

void reserve_zones(sched::ClusterSnapshot& snapshot, const std::vector<JobRecord*>& jobs, Ms now,
                   double longest_boot_s) {
  const Ms patience = net::ms(kReservationBoots * longest_boot_s);
  std::set<std::string> taken;
  for (const std::size_t index : sched::queue_order(snapshot.jobs)) {
    JobRecord& job = *jobs[index];
    sched::JobView& view = snapshot.jobs[index];
    if (!needs_zone(job, view)) continue;
    const bool late = now - job.zone_reserved_since > patience;
    if (job.reserved_zone.empty() || late || taken.contains(job.reserved_zone)) {
      const std::string best = best_zone(snapshot, view, taken, late ? job.reserved_zone : "");
      if (best.empty()) continue;
      job.reserved_zone = best;
      job.zone_reserved_since = now;
    }
    taken.insert(job.reserved_zone);
    view.reserved_zone = job.reserved_zone;
    view.all_or_nothing = false;
  }
}

}  // namespace seampass::leader
