#include "leader/attempts/attempt_tracker.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;
using sched::request_of;
using wire::TaskState;

namespace {
// Maximum age in milliseconds at which a worker accepts the reply to a heartbeat, as the protocol
// defines it.
constexpr Ms kMaxReplyAge = 4000;
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
  machine.view_stale = true;
  return attempt;
}

void AttemptTracker::remove(TaskAttempt& attempt) {
  JobRecord& job = *attempt.job;
  Machine& machine = *attempt.machine;
  const std::uint32_t task = attempt.task;
  set_state(attempt, TaskState::exited);
  machine.attempts.erase({job.spec.id, task});
  machine.idle_since = runtime_.now();
  machine.view_stale = true;
  usage_[job.spec.team] -= request_of(job.spec);
  job.attempts.erase(task);
  if (!job.ended()) job.claimed[task] = job.finished[task];
  job.first_unclaimed_task = std::min(job.first_unclaimed_task, task);
}

void AttemptTracker::set_state(TaskAttempt& attempt, TaskState state) {
  if (attempt.state == state) return;
  JobRecord& job = *attempt.job;
  if (attempt.state == TaskState::running) --job.running_attempts;
  attempt.state = state;
  attempt.machine->view_stale = true;
  if (state != TaskState::running) return;
  ++job.running_attempts;
  if (attempt.running_since == 0) attempt.running_since = runtime_.now();
  if (job.running_attempts == job.spec.tasks) audit::all_running(job.spec.id);
}

void AttemptTracker::mark_for_stop(TaskAttempt& attempt, double termination_grace_s,
                                   audit::StopReason reason) {
  if (attempt.stop_requested) return;
  audit::stop(attempt.id(), attempt.machine->name, reason);
  attempt.stop_requested = true;
  attempt.machine->view_stale = true;
  attempt.termination_grace_s = termination_grace_s;
  attempt.stop_requested_at = runtime_.now();
}

sched::Resources AttemptTracker::usage(const std::string& team) const {
  const auto it = usage_.find(team);
  return it == usage_.end() ? sched::Resources{} : it->second;
}

bool AttemptTracker::mark_missing(Machine& machine, const std::set<TaskId>& reported,
                                  ReportSource source) {
  bool any_missing = false;
  for (const auto& [task, attempt] : machine.attempts) {
    if (reported.contains(task)) continue;
    const bool incarnation_over = attempt->incarnation != machine.incarnation;
    // Starts of a job that has ended are never sent, so such an attempt need not have been listed
    // before: it is in a record that a former leader left behind.
    const bool expected = attempt->reported || attempt->job->ended();
    const bool disappeared = source == ReportSource::heartbeat && expected;
    attempt->missing = attempt->missing || incarnation_over || disappeared;
    any_missing = any_missing || attempt->missing;
  }
  return any_missing;
}

// A report that does not list an attempt is no proof of its absence. The report may have been sent
// before a restart of the machine and delayed since. Its incarnation and sequence may nevertheless
// be higher than the present ones, while the task has been started since the restart and is
// running. The leader therefore sends an inspection request, to which only the worker that runs on
// the machine now can reply. A report that lists the attempt as exited does prove its absence,
// since no attempt number is used twice (docs/safety.md, "Why a report alone never proves
// absence").
std::vector<AttemptId> AttemptTracker::to_inspect(const Machine& machine) const {
  std::vector<AttemptId> ids;
  for (const auto& [task, attempt] : machine.attempts) {
    // If no report has listed the attempt yet, its start may still be in flight in the reply to a
    // heartbeat. The worker discards a reply that is older than kMaxReplyAge.
    const bool no_start_in_reply =
        attempt->reported || runtime_.now() - attempt->start_sent_at > kMaxReplyAge;
    if (attempt->missing && no_start_in_reply) ids.push_back(attempt->id());
  }
  return ids;
}

bool AttemptTracker::lease_expired(const Machine& machine, Ms term_start, bool epoch_confirmed,
                                   const ExpiryTimes& times) const {
  const Ms now = runtime_.now();
  if (now - machine.last_heartbeat_at <= times.since_last_contact) return false;
  // Until a worker has shown this leader's epoch, the previous leader may have been the last to
  // renew the worker's lease, and this leader does not know when.
  return epoch_confirmed || now - term_start > times.since_term_start;
}

TaskAttempt* find_attempt_on(const Machine& machine, const AttemptId& id) {
  const auto it = machine.attempts.find(id.task_id());
  if (it == machine.attempts.end() || it->second->number != id.attempt) return nullptr;
  return it->second;
}

}  // namespace seampass::leader
