#include "jobs/job_admission.h"

#include <algorithm>
#include <set>

#include "sched/snapshot.h"

namespace seampass::jobs {

namespace {

// Of the largest value that the state service takes: it may count bytes in another way than we do.
constexpr double kValueShare = 0.9;
constexpr double kBytesPerKb = 1024;
// Resources are sums of decimal fractions: what is over a limit by less is a rounding error.
constexpr double kQuotaSlack = 1e-6;

bool depends_on_itself(const wire::Job& job) {
  return std::find(job.dependencies.begin(), job.dependencies.end(), job.id) !=
         job.dependencies.end();
}

// The zones in which a task fits an allowed machine type.
std::set<std::string> zones_for(const wire::Job& job, const JobAdmission::MachineTypes& types) {
  std::set<std::string> zones;
  for (const auto& [name, type] : types)
    for (const std::string& zone : type.zones)
      if (sched::fits_empty(type, job) && (!job.zone || *job.zone == zone)) zones.insert(zone);
  return zones;
}

// At most half of the tasks may run in one zone, and all have to run at once: so two zones are
// needed. (The tasks of an array may run one after the other.)
bool needs_two_zones(const wire::Job& job) {
  return job.kind != wire::JobKind::array && job.spread && job.tasks > 1;
}

bool exceeds_quota(const wire::Job& job, const config::Team& team) {
  // An array runs if one task does; gangs and services need all at once.
  const double tasks = job.kind == wire::JobKind::array ? 1 : job.tasks;
  return (team.cpus_max > 0 && tasks * job.cpus > team.cpus_max + kQuotaSlack) ||
         (team.gpus_max > 0 && tasks * job.gpus > team.gpus_max + kQuotaSlack);
}

}  // namespace

std::optional<std::string> JobAdmission::rejection(const wire::Job& job, const wire::Json& record,
                                                   const MachineTypes& types) const {
  const config::Team* team = settings_.team(job.team);
  if (team == nullptr) return "unknown team";
  if (depends_on_itself(job)) return "it depends on itself";
  const std::set<std::string> zones = zones_for(job, types);
  if (zones.empty()) return "a task fits no allowed machine type";
  if (needs_two_zones(job) && (job.one_zone || zones.size() < 2))
    return "its tasks may not be in one zone, and fit no other";
  if (exceeds_quota(job, *team)) return "over the team's limit";
  if (!storable(record)) return "too large to be stored";
  return std::nullopt;
}

// What the state service refuses for its size can't be made durable, and so can't be accepted.
bool JobAdmission::storable(const wire::Json& record) const {
  const double limit_kb = settings_.least_state_limits().value_kb;
  return static_cast<double>(record.dump().size()) <= kValueShare * limit_kb * kBytesPerKb;
}

}  // namespace seampass::jobs
