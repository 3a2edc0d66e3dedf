#include "leader/workers/heartbeat_reconciler.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "leader/audit_log.h"

namespace seampass::leader {

using state::Urgency;
using wire::TaskState;

bool is_newer(const wire::Heartbeat& report, const Machine& machine) {
  return std::pair(report.incarnation, report.sequence) >
         std::pair(machine.incarnation, machine.sequence);
}

HeartbeatReconciler::HeartbeatReconciler(const LeaderContext& context, const Parts& parts,
                                         Hooks hooks)
    : context_(context), parts_(parts), hooks_(std::move(hooks)) {}

void HeartbeatReconciler::reconcile(Machine& machine, const wire::Heartbeat& report,
                                    ReportSource source) {
  if (!is_newer(report, machine) || report.token < context_.election.epoch()) return;
  update_machine(machine, report);
  std::set<TaskId> reported;
  std::vector<const wire::TaskStatus*> exited;
  machine.unknown_tasks = 0;
  machine.exited.clear();
  for (const wire::TaskStatus& task : report.tasks) {
    const AttemptId id = id_of(task);
    if (task.state == TaskState::exited) machine.exited.insert(id);
    TaskAttempt* attempt = find_attempt_on(machine, id);
    if (!attempt && task.state != TaskState::exited) attempt = adopt(machine, id);
    if (!attempt) continue;
    reported.insert(id.task_id());
    if (!attempt->reported) machine.unresponsive_since.reset();
    attempt->reported = true;
    attempt->missing = false;
    if (task.state == TaskState::exited) {
      exited.push_back(&task);
      continue;
    }
    if (task.state != TaskState::fetching && machine.images.insert(attempt->job->spec.image).second)
      machine.view_stale = true;
    parts_.tracker.set_state(*attempt, task.state);
  }
  const bool any_missing = AttemptTracker::mark_missing(machine, reported, source);
  apply_exits(machine, exited);
  if (machine.draining && machine.attempts.empty() && !machine.deleting)
    parts_.fleet.request_deletion(machine);
  if (any_missing) parts_.absence.verify(machine);
}

void HeartbeatReconciler::update_machine(Machine& machine, const wire::Heartbeat& report) const {
  machine.incarnation = report.incarnation;
  machine.sequence = report.sequence;
  machine.shown_epoch = report.token;
  if (!machine.registered) {  // the worker is alive and has received a message of this leader
    machine.registered = true;
    machine.idle_since = context_.runtime.now();
    hooks_.request_scheduling_pass();
  }
  machine.preemption_at.reset();
  if (report.preemption_notice_s)
    machine.preemption_at = context_.runtime.now() + net::ms(*report.preemption_notice_s);
}

// Handles a reported task for which the leader has no attempt on this machine. If the job is in the
// table and the task has no attempt, the reported attempt is added and recorded again, so that the
// task is started nowhere else. Otherwise the task is counted in Machine::unknown_tasks, and no new
// attempts are placed on the machine while that count is not zero.
TaskAttempt* HeartbeatReconciler::adopt(Machine& machine, const AttemptId& id) {
  JobRecord* job = parts_.jobs.find(id.job);
  if (!job || id.task >= job->spec.tasks || job->attempts.contains(id.task)) {
    ++machine.unknown_tasks;
    return nullptr;
  }
  TaskAttempt& attempt =
      parts_.tracker.add(*job, id.task, id.attempt, machine, machine.incarnation);
  attempt.durable = attempt.start_sent = true;
  job->last_attempt = std::max(job->last_attempt, id.attempt);
  parts_.task_records.record_changed(id.job, id.task, Urgency::assignment);
  if (!job->active() || job->finished[id.task] || job->gang())
    parts_.tracker.mark_for_stop(attempt, 0, audit::StopReason::not_wanted);
  return &attempt;
}

// Handles the attempts that the report lists as exited. Releasing an attempt can end and erase jobs
// and change other attempts, so both loops find attempts and jobs again by their ids.
void HeartbeatReconciler::apply_exits(Machine& machine,
                                      const std::vector<const wire::TaskStatus*>& exited) {
  std::set<std::string> jobs;
  for (const wire::TaskStatus* task : exited) {
    jobs.insert(task->job);
    TaskAttempt* attempt = find_attempt_on(machine, id_of(*task));
    if (attempt) parts_.attempts.on_task_exited(*attempt, *task);
  }
  for (const std::string& id : jobs)
    if (JobRecord* job = parts_.jobs.find(id)) hooks_.conclude_if_complete(*job);
}

}  // namespace seampass::leader
