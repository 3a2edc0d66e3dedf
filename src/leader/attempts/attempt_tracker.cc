#include "leader/attempts/attempt_tracker.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;
using sched::request_of;
using wire::TaskState;

namespace {
// For so long a worker may take the answer to a heartbeat (by the protocol).
constexpr Ms kAnswerLife = 4000;
}  // namespace

TaskAttempt& AttemptTracker::add(JobRecord& job, std::uint32_t task, std::uint64_t number,
                                 Machine& machine, std::uint64_t incarnation) {
  TaskAttempt& attempt = job.attempts[task];
  attempt.job = &job;
  attempt.task = task;
  attempt.number = number;
  attempt.machine = &machine;
  attempt.incarnation = incarnation;
  job.claimed[task] = true;
  machine.attempts[{job.spec.id, task}] = &attempt;
  usage_[job.spec.team] += request_of(job.spec);
  machine.stale = true;
  return attempt;
}

void AttemptTracker::remove(TaskAttempt& attempt) {
  JobRecord& job = *attempt.job;
  Machine& machine = *attempt.machine;
  const std::uint32_t task = attempt.task;
  set_state(attempt, TaskState::exited);
  machine.attempts.erase({job.spec.id, task});
  machine.idle_since = runtime_.now();
  machine.stale = true;
  usage_[job.spec.team] -= request_of(job.spec);
  job.attempts.erase(task);
  if (!job.ended()) job.claimed[task] = job.finished[task];
  job.first_unclaimed_task = std::min(job.first_unclaimed_task, task);
}

void AttemptTracker::set_state(TaskAttempt& attempt, TaskState state) {
  if (attempt.state == state) return;
  JobRecord& job = *attempt.job;
  if (attempt.state == TaskState::running) --job.running;
  attempt.state = state;
  attempt.machine->stale = true;
  if (state != TaskState::running) return;
  ++job.running;
  if (attempt.running_since == 0) attempt.running_since = runtime_.now();
  if (job.running == job.spec.tasks) audit::all_running(job.spec.id);
}

void AttemptTracker::stop(TaskAttempt& attempt, double termination_grace_s, audit::StopReason why) {
  if (attempt.stop) return;
  audit::stop(attempt.id(), attempt.machine->name, why);
  attempt.stop = true;
  attempt.machine->stale = true;
  attempt.termination_grace_s = termination_grace_s;
  attempt.stop_since = runtime_.now();
}

sched::Resources AttemptTracker::usage(const std::string& team) const {
  const auto it = usage_.find(team);
  return it == usage_.end() ? sched::Resources{} : it->second;
}

bool AttemptTracker::mark_missing(Machine& machine, const std::set<TaskId>& reported,
                                  ReportSource source) {
  bool any = false;
  for (const auto& [task, attempt] : machine.attempts) {
    if (reported.contains(task)) continue;
    const bool session_over = attempt->incarnation != machine.incarnation;
    const bool disappeared = source == ReportSource::heartbeat && attempt->seen;
    attempt->missing = attempt->missing || session_over || disappeared;
    any = any || attempt->missing;
  }
  return any;
}

// A report that lacks a task proves nothing by itself: it may have been held up since before the
// machine ended and was back, and its incarnation and count may be above those of the machine's
// present life, in which the task runs. (That a report has the attempt as ended does prove it:
// attempts are numbered once.) So the machine is asked what is on it now, by a request whose answer
// can come from nobody else.
std::vector<AttemptId> AttemptTracker::to_inspect(const Machine& machine) const {
  std::vector<AttemptId> ids;
  for (const auto& [task, attempt] : machine.attempts) {
    // A start that was never seen may be on its way, in the answer to a heartbeat; the worker takes
    // no answer that is older than this.
    const bool settled = attempt->seen || runtime_.now() - attempt->start_sent_at > kAnswerLife;
    if (attempt->missing && attempt->in_flight == 0 && settled) ids.push_back(attempt->id());
  }
  return ids;
}

bool AttemptTracker::lease_expired(const Machine& machine, Ms began, bool confirmed,
                                   const ExpiryTimes& times) const {
  // A worker that ended and was back at once began a lease of its own; what it was told to start
  // since may run for as long.
  const Ms now = runtime_.now();
  if (now - std::max(machine.last_heartbeat_at, machine.last_command_ack_at) <= times.silence)
    return false;
  const bool in_flight = std::any_of(machine.attempts.begin(), machine.attempts.end(),
                                     [](const auto& entry) { return entry.second->in_flight > 0; });
  if (in_flight) return false;
  // Until a worker has shown this leader's epoch, the former leader may have answered it last.
  return confirmed || now - began > times.after_begin;
}

TaskAttempt* find_on(const Machine& machine, const AttemptId& id) {
  const auto it = machine.attempts.find(id.task_id());
  if (it == machine.attempts.end() || it->second->number != id.attempt) return nullptr;
  return it->second;
}

}  // namespace seampass::leader
