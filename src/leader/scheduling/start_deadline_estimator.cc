#include "leader/scheduling/start_deadline_estimator.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace seampass::leader {

namespace {
// Owners' run-time estimates are wrong by 50% and more, so the run time is assumed to be this many
// times the estimate.
constexpr double kEstimateFactor = 1.5;
}  // namespace

StartDeadlineEstimator::StartDeadlineEstimator(const SchedulingSources& sources)
    : sources_(sources) {
  for (const config::ServiceLevelObjective& objective : sources.settings.objectives)
    objectives_by_class_[objective.job_class].push_back(objective);
}

double StartDeadlineEstimator::age_s(const JobRecord& job) const {
  return static_cast<double>(sources_.runtime.unix_time_ms() - job.ready_ms) / 1000;
}

bool StartDeadlineEstimator::has_start_objective(const std::string& job_class) const {
  const auto objectives = objectives_by_class_.find(job_class);
  if (job_class.empty() || objectives == objectives_by_class_.end()) return false;
  return std::any_of(objectives->second.begin(), objectives->second.end(),
                     [](const auto& objective) { return objective.kind == "wait"; });
}

// Of the objectives of the job's class that can still be met, the earliest one determines the wait
// budget.
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
  const double min_budget_s = boot_s / 2;
  const auto objectives = objectives_by_class_.find(spec.job_class);
  if (objectives == objectives_by_class_.end()) return min_budget_s;
  double shortest_slack_s = std::numeric_limits<double>::infinity();
  for (const config::ServiceLevelObjective& objective : objectives->second) {
    double slack_s = -1;
    if (objective.kind == "wait") slack_s = objective.within_s - age;
    const double run_s = kEstimateFactor * spec.estimate_s + fetch_s;
    if (objective.kind == "finished") slack_s = objective.within_s - age - run_s;
    // An objective that can no longer be met is ignored. If the job has no other objective, it gets
    // only the minimum budget, so that it starts soon: the run-time estimates are too inaccurate to
    // rule out that it still ends in time, and late work is paid for as well.
    if (slack_s > 0) shortest_slack_s = std::min(shortest_slack_s, slack_s);
  }
  return std::isfinite(shortest_slack_s) ? std::max(min_budget_s, shortest_slack_s) : min_budget_s;
}

}  // namespace seampass::leader
