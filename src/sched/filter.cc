#include "sched/filter.h"

#include <algorithm>

namespace seampass::sched {

bool allowed(const JobView& job, const std::string& type, const std::string& zone, bool spot) {
  if (spot && !job.spot) return false;
  if (job.zone && *job.zone != zone) return false;
  if (job.types && *job.types &&
      std::find((*job.types)->begin(), (*job.types)->end(), type) == (*job.types)->end())
    return false;
  return true;
}

bool spread_allows(const JobView& job, const ZoneCounts& placed, const std::string& zone) {
  if (!job.spread) return true;
  const auto in_zone = placed.find(zone);
  return in_zone == placed.end() || in_zone->second < (job.task_count + 1) / 2;
}

bool zone_allows(const JobView& job, const ZoneCounts& placed, const std::string& zone) {
  if (job.one_zone)
    for (const auto& [other, count] : placed)
      if (count > 0 && other != zone) return false;
  return spread_allows(job, placed, zone);
}

ZoneCounts placed_or_reserved(const JobView& job, const ClusterSnapshot& snapshot) {
  ZoneCounts counts = job.placed;
  for (const Placement& reservation : job.reservations)
    ++counts[snapshot.machines[reservation.machine].zone];
  return counts;
}

}  // namespace seampass::sched
