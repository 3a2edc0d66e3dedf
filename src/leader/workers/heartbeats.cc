// The Controller's worker reports: which of them count, what they change, and what is answered.
#include <algorithm>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using state::Urgency;
using wire::ExitCause;
using wire::TaskState;
using wire::Verb;

namespace {
// Than the last report that was taken from this machine.
bool is_newer(const wire::Heartbeat& report, const Machine& machine) {
  return std::pair(report.incarnation, report.sequence) >
         std::pair(machine.incarnation, machine.sequence);
}
}  // namespace

HeartbeatReply Controller::handle_heartbeat(const wire::Heartbeat& report) {
  if (!term_.active() || !election_.may_answer()) return {503, "{}"};
  if (report.token > election_.epoch()) {  // another leads already
    election_.step_down(audit::StepDownReason::worker_shows_higher_epoch);
    return {503, "{}"};
  }
  if (fleet_.deleted(report.machine)) return {503, "{}"};  // only late reports come from it
  Machine& machine = fleet_.ensure(report.machine);
  if (machine.type.empty() || machine.addr.empty()) {
    machine.addr = report.addr;
    machine.type = report.type;
    machine.zone = report.zone;
    machine.spot = report.spot;
  }
  const std::pair position{report.incarnation, report.sequence};
  if (report.token < election_.epoch()) {
    // It has not heard this leader. Or it is a late copy, perhaps from a former life of the machine
    // with more sessions than this one: so it is answered, to be heard, and proves nothing.
    // A worker keeps the highest epoch that it has seen; one that shows less than before is a
    // copy, or has begun anew, and what it had is given up like that of any silent machine.
    if (report.token < machine.token || position == machine.last_unconfirmed_heartbeat)
      return {503, "{}"};
    machine.last_unconfirmed_heartbeat = position;
    machine.note_heartbeat(runtime_.now());
    return {200, wire::heartbeat_answer(election_.epoch(), {})};
  }
  if (report.incarnation < machine.incarnation) return {503, "{}"};
  // A copy that comes late is no sign of life: its worker got the answer to the first, or none. But
  // it may also be a machine that ended and was back at once, counting from the start again. So it
  // gets no answer that renews a lease: every one that does must count as heard.
  if (position <= machine.last_heartbeat) return {503, "{}"};
  machine.last_heartbeat = position;
  machine.note_heartbeat(runtime_.now());
  // (The answer to a command may have overtaken it.)
  if (!term_.recovered() || !is_newer(report, machine))
    return {200, wire::heartbeat_answer(election_.epoch(), {})};
  reconcile(machine, report, true);
  return {200, wire::heartbeat_answer(election_.epoch(), commands_for(machine, report))};
}

void Controller::reconcile(Machine& machine, const wire::Heartbeat& report, bool heartbeat) {
  if (!is_newer(report, machine) || report.token < election_.epoch()) return;
  update_machine_state(machine, report);
  std::set<TaskId> reported;
  std::vector<const wire::TaskStatus*> exited;
  machine.unknown_tasks = 0;
  machine.exited.clear();
  for (const wire::TaskStatus& task : report.tasks) {
    const AttemptId id = id_of(task);
    if (task.state == TaskState::exited) machine.exited.insert(id);
    TaskAttempt* attempt = find_on(machine, id);
    if (!attempt && task.state != TaskState::exited) attempt = adopt(machine, id);
    if (!attempt) continue;
    reported.insert(id.task_id());
    if (!attempt->seen) machine.unresponsive_since.reset();
    attempt->seen = true;
    attempt->missing = false;
    if (task.state == TaskState::exited) {
      exited.push_back(&task);
      continue;
    }
    if (task.state != TaskState::fetching && machine.images.insert(attempt->job->spec.image).second)
      machine.stale = true;
    attempts_.set_state(*attempt, task.state);
  }
  const bool any_missing = AttemptTracker::mark_missing(machine, reported, heartbeat);
  apply_exits(machine, exited);
  if (machine.draining && machine.attempts.empty() && !machine.deleting) fleet_.remove(machine);
  if (any_missing) verify_absence(machine);
}

void Controller::update_machine_state(Machine& machine, const wire::Heartbeat& report) {
  if (report.incarnation > machine.incarnation) machine.replayable_starts.clear();
  machine.incarnation = report.incarnation;
  machine.sequence = report.sequence;
  machine.token = report.token;
  if (!machine.registered) {  // it lives now, and hears us
    machine.registered = true;
    machine.idle_since = runtime_.now();
    request_pass();
  }
  machine.preemption_at.reset();
  if (report.notice_s) machine.preemption_at = runtime_.now() + net::ms(*report.notice_s);
}

// A task that should not be on this machine. If its job is open and the task free, the attempt is
// recorded again, so that the task is started nowhere else; in any case the machine takes nothing
// until it is settled.
TaskAttempt* Controller::adopt(Machine& machine, const AttemptId& id) {
  JobRecord* job = jobs_.find(id.job);
  if (!job || id.task >= job->spec.tasks || job->attempts.contains(id.task)) {
    ++machine.unknown_tasks;
    return nullptr;
  }
  TaskAttempt& attempt = attempts_.add(*job, id.task, id.attempt, machine, machine.incarnation);
  attempt.durable = attempt.sent = true;
  job->last_attempt = std::max(job->last_attempt, id.attempt);
  task_records_.record_changed(id.job, id.task, Urgency::assignment);
  if (!job->active() || job->finished[id.task] || job->gang())
    attempts_.stop(attempt, 0, audit::StopReason::not_wanted);
  return &attempt;
}

// Releasing can end jobs and move others, so this goes by name.
void Controller::apply_exits(Machine& machine, const std::vector<const wire::TaskStatus*>& exited) {
  std::set<std::string> jobs;
  for (const wire::TaskStatus* task : exited) {
    jobs.insert(task->job);
    TaskAttempt* attempt = find_on(machine, id_of(*task));
    if (attempt) task_exited(*attempt, *task);
  }
  for (const std::string& id : jobs)
    if (JobRecord* job = jobs_.find(id)) conclude_if_complete(*job);
}

// A late copy of a start finds the attempt for as long as the worker knows it, and does nothing.
// Once it is forgotten the copy would start it again: an attempt that ended without a result while
// another runs elsewhere, and any of a cancelled job. (One that is done would only say so again,
// but its job may be cancelled yet.)
bool Controller::may_forget(const Machine& machine, const wire::TaskStatus& task) const {
  if (!machine.replayable_starts.contains(id_of(task))) return true;
  if (task.cause != ExitCause::done) return false;
  const JobRecord* job = jobs_.find(task.job);
  if (job && !job->ended()) return false;
  const auto final_status = status_reader_.final_status(task.job);
  return final_status && final_status->stage == wire::Stage::done;
}

std::vector<wire::Command> Controller::commands_for(Machine& machine,
                                                    const wire::Heartbeat& report) {
  std::vector<wire::Command> commands;
  std::set<TaskId> reported;
  const Ms now = runtime_.now();
  for (const wire::TaskStatus& task : report.tasks) {
    const AttemptId id = id_of(task);
    const TaskAttempt* attempt = find_on(machine, id);
    if (task.state == TaskState::exited) {
      // Forgotten only after the record of its end is durable.
      if (!attempt && task_records_.record_settled(id.job, id.task) && may_forget(machine, task)) {
        machine.replayable_starts.erase(id);
        commands.push_back(command_for(Verb::forget, id));
      }
      continue;
    }
    if (!attempt) {
      commands.push_back(command_for(Verb::stop, id));
      continue;
    }
    reported.insert(id.task_id());
    if (!attempt->stop) continue;
    const bool overdue = now - attempt->stop_since >
                         net::ms(attempt->termination_grace_s + 2 * settings_.gang_peer_s);
    commands.push_back(command_for(Verb::stop, id, overdue ? 0 : attempt->termination_grace_s));
  }
  if (election_.holds()) append_starts(machine, reported, commands);
  return commands;
}

// Starts that the worker has not shown yet. In the answer to a heartbeat they need no guard against
// late copies: the worker takes no answer that is older than a few seconds.
void Controller::append_starts(Machine& machine, const std::set<TaskId>& reported,
                               std::vector<wire::Command>& commands) {
  for (const auto& [task, attempt] : machine.attempts) {
    if (reported.contains(task) || attempt->seen || !attempt->durable) continue;
    if (attempt->in_flight > 0 || attempt->incarnation != machine.incarnation) continue;
    if (!attempt->job->active() && !attempt->stop) continue;
    attempt->start_sent_at = runtime_.now();
    audit::start(attempt->id(), machine.name, machine.incarnation, election_.epoch(), true);
    commands.push_back(command_for(Verb::start, attempt->id()));
    if (attempt->stop) {
      // It was never seen, and its start may come at any time. Started and stopped in one go, the
      // attempt is known to the worker, the late start does nothing, and the next report has it as
      // ended.
      commands.push_back(command_for(Verb::stop, attempt->id()));
    } else {
      attempt->sent = true;
    }
  }
}

}  // namespace seampass::leader
