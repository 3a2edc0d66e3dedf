#include "leader/scheduling/zone_reservations.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace seampass::leader {

using net::Ms;

namespace {

// A gang keeps its reserved zone for this many times the longest boot time.
constexpr double kReservationTimeoutBoots = 3;

bool needs_zone(const JobRecord& job, const sched::JobView& view) {
  return job.gang() && view.one_zone && job.all_or_nothing && !view.blocked;
}

// Returns the zone with the most machines that could run a task of the job if they were empty.
// Zones in `reserved_zones` and the zone `excluded` are not considered. Empty if there is no such
// zone.
std::string best_zone(const sched::ClusterSnapshot& snapshot, const sched::JobView& view,
                      const std::set<std::string>& reserved_zones, const std::string& excluded) {
  std::map<std::string, std::uint32_t> candidates;
  for (const sched::MachineView& machine : snapshot.machines)
    if ((machine.schedulable || machine.booting) && !reserved_zones.contains(machine.zone) &&
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
  const Ms timeout = net::ms(kReservationTimeoutBoots * longest_boot_s);
  std::set<std::string> reserved_zones;
  for (const std::size_t index : sched::queue_order(snapshot.jobs)) {
    JobRecord& job = *jobs[index];
    sched::JobView& view = snapshot.jobs[index];
    if (!needs_zone(job, view)) continue;
    const bool timed_out = now - job.zone_reserved_since > timeout;
    if (job.reserved_zone.empty() || timed_out || reserved_zones.contains(job.reserved_zone)) {
      const std::string best =
          best_zone(snapshot, view, reserved_zones, timed_out ? job.reserved_zone : "");
      if (best.empty()) continue;
      job.reserved_zone = best;
      job.zone_reserved_since = now;
    }
    reserved_zones.insert(job.reserved_zone);
    view.reserved_zone = job.reserved_zone;
    view.all_or_nothing = false;
  }
}

}  // namespace seampass::leader
