#include "fakes/invariant_checker.h"

#include <algorithm>

namespace seampass::fakes {

void InvariantChecker::task_started(const TaskKey& task, const std::string& machine, Ms now) {
  ++starts[task];
  const auto it = running_on.find(task);
  if (it != running_on.end() && it->second != machine)
    violations.push_back("ran_twice " + task.job + "/" + std::to_string(task.index));
  running_on[task] = machine;
  check_place(task, machine);
  check_quota(jobs[task.job].spec.team);
  // A start has no time to stop in: it is late as soon as the user was told.
  if (jobs[task.job].cancelled) violations.push_back("started_cancelled " + task.job);
  check_cancelled(task, now);
  check_dependencies(task.job);
}

void InvariantChecker::task_stopped(const TaskKey& task, const std::string& machine, Ms now) {
  check_cancelled(task, now);
  const auto it = running_on.find(task);
  if (it != running_on.end() && it->second == machine) running_on.erase(it);
}

void InvariantChecker::check_deadlines(Ms now) {
  for (const auto& [task, machine] : running_on) check_cancelled(task, now);
}

void InvariantChecker::job_answered(const std::string& id, int status, const std::string& stage,
                                    Ms now) {
  const auto job = jobs.find(id);
  if (status == 200 && job == jobs.end()) violations.push_back("invented " + id);
  if (job == jobs.end()) return;
  if (status == 404 && job->second.accepted) violations.push_back("forgotten " + id);
  std::string& last = final_stages_[id];
  if (!last.empty() && status == 200 && stage != last)
    violations.push_back("went_back " + id + ": " + last + " then " + stage);
  if (stage == "done" || stage == "withdrawn") last = stage;
  const auto since = cancelled_since(id);
  if (status == 200 && (stage == "queued" || stage == "running") && since &&
      now > *since + cancel_ms)
    violations.push_back("orphaned " + id);
  // (The answer to a cancellation itself is counted after this.)
  if (stage == "withdrawn" && !cancel_requested(id))
    violations.push_back("cancelled_unasked " + id);
  if (stage != "done") return;
  for (std::uint32_t i = 0; i < job->second.spec.tasks; ++i)
    if (!finished.contains({id, i})) violations.push_back("not_done " + id);
}

std::optional<Ms> InvariantChecker::cancelled_since(const std::string& id) const {
  std::optional<Ms> since;
  for (const JobHistory* job : with_upstream(id))
    if (job->cancelled) since = std::min(since.value_or(job->cancelled_at), job->cancelled_at);
  return since;
}

std::vector<const JobHistory*> InvariantChecker::with_upstream(const std::string& id) const {
  std::vector<const JobHistory*> found;
  std::set<std::string> seen{id};
  std::vector<std::string> next{id};
  while (!next.empty()) {
    const auto job = jobs.find(next.back());
    next.pop_back();
    if (job == jobs.end()) continue;
    found.push_back(&job->second);
    for (const std::string& dependency : job->second.spec.dependencies)
      if (seen.insert(dependency).second) next.push_back(dependency);
  }
  return found;
}

bool InvariantChecker::cancel_requested(const std::string& id) const {
  const auto all = with_upstream(id);
  return std::any_of(all.begin(), all.end(), [](const auto* job) { return job->cancel_requested; });
}

void InvariantChecker::check_dependencies(const std::string& id) {
  for (const std::string& dependency : jobs[id].spec.dependencies)
    for (std::uint32_t i = 0; i < jobs[dependency].spec.tasks; ++i)
      if (!finished.contains({dependency, i})) {
        violations.push_back("too_early " + id);
        return;
      }
}

void InvariantChecker::check_place(const TaskKey& task, const std::string& machine) {
  const wire::Job& spec = jobs[task.job].spec;
  const MachineSpec& place = machines[machine];
  bool wrong = (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot) ||
               (spec.types && std::count(spec.types->begin(), spec.types->end(), place.type) == 0);
  std::uint32_t in_zone = 0;
  std::uint32_t elsewhere = 0;
  for (const auto& [other, host] : running_on)
    if (other.job == task.job) ++(machines[host].zone == place.zone ? in_zone : elsewhere);
  wrong = wrong || (spec.one_zone && elsewhere > 0);
  wrong = wrong || (spec.spread && in_zone > (spec.tasks + 1) / 2);
  if (wrong) violations.push_back("wrong_place " + task.job + "/" + std::to_string(task.index));
}

void InvariantChecker::check_quota(const std::string& team) {
  const auto limit = gpus_max.find(team);
  if (limit == gpus_max.end()) return;
  double used = 0;
  for (const auto& [task, machine] : running_on)
    if (jobs[task.job].spec.team == team) used += jobs[task.job].spec.gpus;
  constexpr double slack = 1e-6;
  if (used > limit->second + slack) violations.push_back("quota " + team);
}

void InvariantChecker::check_cancelled(const TaskKey& task, Ms now) {
  const JobHistory& job = jobs[task.job];
  if (job.cancelled && now > job.cancelled_at + cancel_ms)
    violations.push_back("ran_cancelled " + task.job);
}

}  // namespace seampass::fakes
