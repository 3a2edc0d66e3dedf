#include "leader/workers/heartbeat_handler.h"

#include <utility>

#include "leader/audit_log.h"
#include "wire/codec.h"

namespace seampass::leader {

using net::Ms;
using wire::ExitCause;
using wire::TaskState;
using wire::Verb;

namespace {

HeartbeatReply refusal() { return {503, "{}"}; }

// What the machine is, as far as the list of the cloud has not said it yet.
void describe(Machine& machine, const wire::Heartbeat& report) {
  if (!machine.type.empty() && !machine.addr.empty()) return;
  machine.addr = report.addr;
  machine.type = report.type;
  machine.zone = report.zone;
  machine.spot = report.spot;
}

}  // namespace

HeartbeatHandler::HeartbeatHandler(const LeaderContext& context, const JobTable& jobs, Fleet& fleet,
                                   const TaskRecordWriter& task_records,
                                   jobs::JobStatusReader& status_reader,
                                   HeartbeatReconciler& reconciler)
    : context_(context),
      jobs_(jobs),
      fleet_(fleet),
      task_records_(task_records),
      status_reader_(status_reader),
      reconciler_(reconciler) {}

HeartbeatReply HeartbeatHandler::handle(const wire::Heartbeat& report) {
  Election& election = context_.election;
  if (!context_.term.active() || !election.may_answer()) return refusal();
  if (report.token > election.epoch()) {  // another leads already
    election.step_down(audit::StepDownReason::worker_shows_higher_epoch);
    return refusal();
  }
  if (fleet_.deleted(report.machine)) return refusal();  // only late reports come from it
  Machine& machine = fleet_.ensure(report.machine);
  describe(machine, report);
  if (report.token < election.epoch()) return answer_unconfirmed(machine, report);
  if (report.incarnation < machine.incarnation) return refusal();
  // A copy that comes late is no sign of life: its worker got the answer to the first, or none. But
  // it may also be a machine that ended and was back at once, counting from the start again. So it
  // gets no answer that renews a lease: every report that does must count as a sign of life.
  const std::pair position{report.incarnation, report.sequence};
  if (position <= machine.last_heartbeat) return refusal();
  machine.last_heartbeat = position;
  machine.note_heartbeat(context_.runtime.now());
  // (The answer to a command may have overtaken it.)
  if (!context_.term.recovered() || !is_newer(report, machine))
    return {200, wire::heartbeat_answer(election.epoch(), {})};
  reconciler_.reconcile(machine, report, ReportSource::heartbeat);
  return {200, wire::heartbeat_answer(election.epoch(), commands_for(machine, report))};
}

// The worker has seen no message of this leader yet. Or the report is a late copy, perhaps from an
// earlier session of the machine with more sessions than this one: so it is answered, for the
// worker to learn the epoch, and proves nothing. A worker keeps the highest epoch that it has seen;
// a report that shows less than before is a copy, or comes from a worker that began a new session,
// and what that one had is released like that of any silent machine.
HeartbeatReply HeartbeatHandler::answer_unconfirmed(Machine& machine,
                                                    const wire::Heartbeat& report) const {
  const std::pair position{report.incarnation, report.sequence};
  if (report.token < machine.token || position == machine.last_unconfirmed_heartbeat)
    return refusal();
  machine.last_unconfirmed_heartbeat = position;
  machine.note_heartbeat(context_.runtime.now());
  return {200, wire::heartbeat_answer(context_.election.epoch(), {})};
}

// A late copy of a start finds the attempt for as long as the worker knows it, and does nothing.
// Once it is forgotten the copy would start it again: an attempt that ended without a result while
// another runs elsewhere, and any of a cancelled job. (One that is done would only say so again,
// but its job may be cancelled yet.)
bool HeartbeatHandler::may_forget(const Machine& machine, const wire::TaskStatus& task) const {
  if (!machine.replayable_starts.contains(id_of(task))) return true;
  if (task.cause != ExitCause::done) return false;
  const JobRecord* job = jobs_.find(task.job);
  if (job && !job->ended()) return false;
  const auto final_status = status_reader_.final_status(task.job);
  return final_status && final_status->stage == wire::Stage::done;
}

std::vector<wire::Command> HeartbeatHandler::commands_for(Machine& machine,
                                                          const wire::Heartbeat& report) const {
  std::vector<wire::Command> commands;
  std::set<TaskId> reported;
  const Ms now = context_.runtime.now();
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
    if (attempt->stop) commands.push_back(stop_command(*attempt, now));
  }
  if (context_.election.holds()) append_starts(machine, reported, commands);
  return commands;
}

// Said again with each report until it is off; without grace once it should have been long since.
wire::Command HeartbeatHandler::stop_command(const TaskAttempt& attempt, Ms now) const {
  const Ms allowed = net::ms(attempt.termination_grace_s + 2 * context_.settings.gang_peer_s);
  const bool overdue = now - attempt.stop_since > allowed;
  return command_for(Verb::stop, attempt.id(), overdue ? 0 : attempt.termination_grace_s);
}

// Starts that the worker has not shown yet. In the answer to a heartbeat they need no guard against
// late copies: the worker takes no answer that is older than a few seconds.
void HeartbeatHandler::append_starts(Machine& machine, const std::set<TaskId>& reported,
                                     std::vector<wire::Command>& commands) const {
  for (const auto& [task, attempt] : machine.attempts) {
    if (reported.contains(task) || attempt->seen || !attempt->durable) continue;
    if (attempt->in_flight > 0 || attempt->incarnation != machine.incarnation) continue;
    if (!attempt->job->active() && !attempt->stop) continue;
    attempt->start_sent_at = context_.runtime.now();
    audit::start(attempt->id(), machine.name, machine.incarnation, context_.election.epoch(),
                 audit::StartPath::heartbeat);
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
