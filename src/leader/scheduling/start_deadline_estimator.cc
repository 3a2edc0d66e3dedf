#include "leader/scheduling/start_deadline_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace seampass::leader {

namespace {
// Owners' estimates err by half and more.
constexpr double kEstimateFactor = 1.5;
}  // namespace

StartDeadlineEstimator::StartDeadlineEstimator(const SchedulingSources& sources)
    : sources_(sources) {
  for (const config::ServiceLevelObjective& objective : sources.settings.objectives)
    objectives_by_class_[objective.job_class].push_back(objective);
}

double StartDeadlineEstimator::age_s(const JobRecord& job) const {
  return static_cast<double>(sources_.runtime.wall() - job.ready_ms) / 1000;
}

bool StartDeadlineEstimator::has_start_objective(const std::string& job_class) const {
  const auto found = objectives_by_class_.find(job_class);
  if (job_class.empty() || found == objectives_by_class_.end()) return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [](const auto& objective) { return objective.kind == "wait"; });
}

// The start meets the first of its class's aims that can be met.
double StartDeadlineEstimator::wait_budget_s(const JobRecord& job) const {
  const wire::Job& spec = job.spec;
  double boot_s = 0;
  double fetch_s = 0;
  for (const auto& [name, type] : sources_.catalog.types()) {
    if (!sched::fits_empty(type, spec)) continue;
    boot_s = std::max(boot_s, type.boot_s);
    if (type.fetch_gb_per_s > 0) fetch_s = std::max(fetch_s, spec.image_gb / type.fetch_gb_per_s);
  }
  const double age = age_s(job);
  const double least = boot_s / 2;
  const auto objectives = objectives_by_class_.find(spec.job_class);
  if (objectives == objectives_by_class_.end()) return least;
  double first = std::numeric_limits<double>::infinity();
  for (const config::ServiceLevelObjective& objective : objectives->second) {
    double slack = -1;
    if (objective.kind == "wait") slack = objective.within_s - age;
    const double run_s = kEstimateFactor * spec.estimate_s + fetch_s;
    if (objective.kind == "finished") slack = objective.within_s - age - run_s;
    // (A deadline's slack is not waited out: estimates are too poor, and late work is paid for.)
    if (slack > 0) first = std::min(first, slack);
  }
  return std::isfinite(first) ? std::max(least, first) : least;
}

}  // namespace seampass::leader
