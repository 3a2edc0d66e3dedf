#include "fakes/invariant_checker.h"

#include <algorithm>

namespace seampass::fakes {

void InvariantChecker::task_started(const TaskKey& task, const std::string& machine, Ms now) {
  ++starts[task];
  const auto it = running_on.find(task);
  if (it != running_on.end() && it->second != machine)
    violations.push_back("ran_twice " + task.job + "/" + std::to_string(task.index));
  running_on[task] = machine;
  check_placement(task, machine);
  check_quota(jobs[task.job].spec.team);
  // A running task has `cancel_ms` to stop. A start has no such time: it violates the invariant as
  // soon as the user has received the answer that the job is cancelled.
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
  std::string& final_stage = final_stages_[id];
  if (!final_stage.empty() && status == 200 && stage != final_stage)
    violations.push_back("went_back " + id + ": " + final_stage + " then " + stage);
  if (stage == "done" || stage == "withdrawn") final_stage = stage;
  const auto since = cancelled_since(id);
  if (status == 200 && (stage == "queued" || stage == "running") && since &&
      now > *since + cancel_ms)
    violations.push_back("orphaned " + id);
  // This check uses cancel_requested() instead of `cancelled`: the cluster sets `cancelled` only
  // after this call, so it is still false when the answer to the cancellation itself arrives.
  if (stage == "withdrawn" && !cancel_requested(id))
    violations.push_back("cancelled_unasked " + id);
  if (stage != "done") return;
  for (std::uint32_t i = 0; i < job->second.spec.tasks; ++i)
    if (!finished.contains({id, i})) violations.push_back("not_done " + id);
}

std::optional<Ms> InvariantChecker::cancelled_since(const std::string& id) const {
  std::optional<Ms> since;
  for (const JobHistory* job : with_dependencies(id))
    if (job->cancelled) since = std::min(since.value_or(job->cancelled_at), job->cancelled_at);
  return since;
}

std::vector<const JobHistory*> InvariantChecker::with_dependencies(const std::string& id) const {
  std::vector<const JobHistory*> result;
  std::set<std::string> visited{id};
  std::vector<std::string> pending{id};
  while (!pending.empty()) {
    const auto job = jobs.find(pending.back());
    pending.pop_back();
    if (job == jobs.end()) continue;
    result.push_back(&job->second);
    for (const std::string& dependency : job->second.spec.dependencies)
      if (visited.insert(dependency).second) pending.push_back(dependency);
  }
  return result;
}

bool InvariantChecker::cancel_requested(const std::string& id) const {
  const auto all = with_dependencies(id);
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

void InvariantChecker::check_placement(const TaskKey& task, const std::string& machine) {
  const wire::Job& spec = jobs[task.job].spec;
  const MachineSpec& machine_spec = machines[machine];
  bool misplaced =
      (spec.zone && *spec.zone != machine_spec.zone) || (machine_spec.spot && !spec.spot) ||
      (spec.types && std::count(spec.types->begin(), spec.types->end(), machine_spec.type) == 0);
  std::uint32_t in_zone = 0;
  std::uint32_t elsewhere = 0;
  for (const auto& [other, host] : running_on)
    if (other.job == task.job) ++(machines[host].zone == machine_spec.zone ? in_zone : elsewhere);
  misplaced = misplaced || (spec.one_zone && elsewhere > 0);
  misplaced = misplaced || (spec.spread && in_zone > (spec.tasks + 1) / 2);
  if (misplaced) violations.push_back("wrong_place " + task.job + "/" + std::to_string(task.index));
}

void InvariantChecker::check_quota(const std::string& team) {
  const auto quota = gpus_max.find(team);
  if (quota == gpus_max.end()) return;
  double used = 0;
  for (const auto& [task, machine] : running_on)
    if (jobs[task.job].spec.team == team) used += jobs[task.job].spec.gpus;
  constexpr double rounding_tolerance = 1e-6;
  if (used > quota->second + rounding_tolerance) violations.push_back("quota " + team);
}

void InvariantChecker::check_cancelled(const TaskKey& task, Ms now) {
  const JobHistory& job = jobs[task.job];
  if (job.cancelled && now > job.cancelled_at + cancel_ms)
    violations.push_back("ran_cancelled " + task.job);
}

}  // namespace seampass::fakes
