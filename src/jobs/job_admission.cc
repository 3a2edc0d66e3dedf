#include "jobs/job_admission.h"

#include <algorithm>
#include <set>

#include "sched/sched.h"

namespace seampass::jobs {

namespace {

// A record may take up at most this share of the state service's maximum value size, because the
// service may count the bytes of a value differently than this program does.
constexpr double kMaxRecordShare = 0.9;
constexpr double kBytesPerKb = 1024;
// Resource amounts are sums of decimal fractions: an excess over the quota that is smaller than
// this is a rounding error.
constexpr double kQuotaTolerance = 1e-6;

bool depends_on_itself(const wire::Job& job) {
  return std::find(job.dependencies.begin(), job.dependencies.end(), job.id) !=
         job.dependencies.end();
}

// Returns the allowed zones in which a task of the job fits on an empty machine of an allowed type.
std::set<std::string> feasible_zones(const wire::Job& job,
                                     const JobAdmission::MachineTypes& types) {
  std::set<std::string> zones;
  for (const auto& [name, type] : types)
    for (const std::string& zone : type.zones)
      if (sched::fits_empty(type, job) && (!job.zone || *job.zone == zone)) zones.insert(zone);
  return zones;
}

// At most half of the tasks of a job with `spread` may run in one zone. All tasks of a gang or a
// service have to run at the same time, so such a job needs two zones. An array does not, because
// its tasks may run one after the other.
bool needs_two_zones(const wire::Job& job) {
  return job.kind != wire::JobKind::array && job.spread && job.tasks > 1;
}

bool exceeds_quota(const wire::Job& job, const config::Team& team) {
  // An array can run if the quota admits one task; a gang or a service needs all tasks at once.
  const double tasks = job.kind == wire::JobKind::array ? 1 : job.tasks;
  return (team.cpus_max > 0 && tasks * job.cpus > team.cpus_max + kQuotaTolerance) ||
         (team.gpus_max > 0 && tasks * job.gpus > team.gpus_max + kQuotaTolerance);
}

}  // namespace

std::optional<std::string> JobAdmission::rejection(const wire::Job& job, const wire::Json& record,
                                                   const MachineTypes& types) const {
  const config::Team* team = settings_.team(job.team);
  if (team == nullptr) return "unknown team";
  if (depends_on_itself(job)) return "it depends on itself";
  const std::set<std::string> zones = feasible_zones(job, types);
  if (zones.empty()) return "a task fits no allowed machine type";
  if (needs_two_zones(job) && (job.one_zone || zones.size() < 2))
    return "its tasks may not be in one zone, and fit no other";
  if (exceeds_quota(job, *team)) return "over the team's limit";
  if (!storable(record)) return "too large to be stored";
  return std::nullopt;
}

// A job whose record the state service would refuse as too large can't be made durable, so it can't
// be accepted.
bool JobAdmission::storable(const wire::Json& record) const {
  const double max_value_kb = settings_.min_state_limits().value_kb;
  return static_cast<double>(record.dump().size()) <= kMaxRecordShare * max_value_kb * kBytesPerKb;
}

}  // namespace seampass::jobs
