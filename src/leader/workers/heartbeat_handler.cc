#include "leader/workers/heartbeat_handler.h"

#include <utility>

#include "leader/audit_log.h"
#include "leader/jobs/job_record.h"
#include "wire/codec.h"

namespace seampass::leader {

using net::Ms;
using wire::TaskState;
using wire::Verb;

namespace {

// The maximum number of starts in one reply. A start takes up to 100 bytes, and the protocol limits
// a line of a response to 64 KiB. The worker reports its new tasks at once, and the next reply
// contains further starts.
constexpr std::size_t kMaxStartsPerReply = 500;

HeartbeatReply service_unavailable() { return {503, "{}"}; }

// Copies the machine's address, type, zone and spot flag from the heartbeat, if the cloud's list of
// machines has not provided both its type and its address yet.
void copy_description(Machine& machine, const wire::Heartbeat& heartbeat) {
  if (!machine.type.empty() && !machine.addr.empty()) return;
  machine.addr = heartbeat.addr;
  machine.type = heartbeat.type;
  machine.zone = heartbeat.zone;
  machine.spot = heartbeat.spot;
}

// Appends the start, preceded by commands to forget earlier attempts of the same task that exited
// on this machine. A worker that still knows one of them would end the new attempt with `busy`.
// Forgetting them loses nothing: the task record that is durable now no longer contains them.
void append_start(const Machine& machine, const AttemptId& id,
                  std::vector<wire::Command>& commands) {
  for (auto exited = machine.exited.lower_bound({id.job, id.task, 0});
       exited != machine.exited.end() && exited->task_id() == id.task_id(); ++exited)
    commands.push_back(command_for(Verb::forget, *exited));
  commands.push_back(command_for(Verb::start, id));
}

}  // namespace

HeartbeatHandler::HeartbeatHandler(const LeaderContext& context, Fleet& fleet,
                                   const TaskRecordWriter& task_records,
                                   HeartbeatReconciler& reconciler)
    : context_(context), fleet_(fleet), task_records_(task_records), reconciler_(reconciler) {}

HeartbeatReply HeartbeatHandler::handle(const wire::Heartbeat& heartbeat) {
  Election& election = context_.election;
  if (!context_.term.active() || !election.may_answer_heartbeats()) return service_unavailable();
  if (heartbeat.token > election.epoch()) {  // a newer leader has been elected
    election.step_down(audit::StepDownReason::worker_shows_higher_epoch);
    return service_unavailable();
  }
  if (fleet_.is_deleted(heartbeat.machine))
    return service_unavailable();  // can only be a late copy
  Machine& machine = fleet_.ensure(heartbeat.machine);
  copy_description(machine, heartbeat);
  if (heartbeat.token < election.epoch()) return reply_to_unconfirmed(machine, heartbeat);
  if (heartbeat.incarnation < machine.incarnation) return service_unavailable();
  // A heartbeat that is not newer than the last one may be a late copy, which does not show that
  // the worker is alive: the worker has received the reply to the first copy, or none. It may also
  // come from a machine that restarted at once and counts its incarnation and sequence from the
  // start again. The leader can't tell these two cases apart, so it does not count the heartbeat as
  // contact with the worker. It must not send a reply that renews the lease either, since every
  // heartbeat that gets such a reply must count as contact.
  const std::pair position{heartbeat.incarnation, heartbeat.sequence};
  if (position <= machine.last_heartbeat) return service_unavailable();
  machine.last_heartbeat = position;
  machine.note_heartbeat(context_.runtime.now());
  // The reply to a command may already have brought a newer report than this heartbeat.
  if (!context_.term.recovered() || !is_newer(heartbeat, machine))
    return {200, wire::heartbeat_answer(election.epoch(), {})};
  reconciler_.reconcile(machine, heartbeat, ReportSource::heartbeat);
  return {200, wire::heartbeat_answer(election.epoch(), commands_for(machine, heartbeat))};
}

// Replies to a heartbeat that shows a lower epoch than this leader's. Either the worker has
// received no message of this leader yet, or the heartbeat is a late copy, perhaps from before
// a restart of the machine, when its incarnation was higher than it is now. The leader replies so
// that the worker learns the epoch, but the heartbeat proves nothing about attempts.
//
// A worker keeps the highest epoch that it has seen. A heartbeat that shows a lower epoch than an
// earlier one is therefore a late copy, or comes from a worker that has begun a new incarnation. It
// gets no reply with the epoch. The attempts of the earlier incarnation are then released when the
// lease expires, as on any machine that sends no heartbeats (docs/safety.md, "Only reports that
// show our epoch prove anything").
HeartbeatReply HeartbeatHandler::reply_to_unconfirmed(Machine& machine,
                                                      const wire::Heartbeat& heartbeat) const {
  const std::pair position{heartbeat.incarnation, heartbeat.sequence};
  if (heartbeat.token < machine.shown_epoch || position == machine.last_unconfirmed_heartbeat)
    return service_unavailable();
  machine.last_unconfirmed_heartbeat = position;
  machine.note_heartbeat(context_.runtime.now());
  return {200, wire::heartbeat_answer(context_.election.epoch(), {})};
}

std::vector<wire::Command> HeartbeatHandler::commands_for(Machine& machine,
                                                          const wire::Heartbeat& heartbeat) const {
  std::vector<wire::Command> commands;
  std::set<TaskId> reported;
  const Ms now = context_.runtime.now();
  for (const wire::TaskStatus& task : heartbeat.tasks) {
    const AttemptId id = id_of(task);
    const TaskAttempt* attempt = find_attempt_on(machine, id);
    if (task.state == TaskState::exited) {
      // The worker may forget the attempt only once the task record without it is durable.
      if (!attempt && task_records_.record_settled(id.job, id.task))
        commands.push_back(command_for(Verb::forget, id));
      continue;
    }
    if (!attempt) {
      commands.push_back(command_for(Verb::stop, id));
      continue;
    }
    reported.insert(id.task_id());
    if (attempt->stop_requested) commands.push_back(stop_command(*attempt, now));
  }
  machine.heartbeat_requested = false;
  if (context_.election.lease_valid()) append_starts(machine, reported, commands);
  return commands;
}

// The stop command is repeated in the reply to each heartbeat until the attempt is absent. Its
// grace period is 0 once the attempt should have ended already.
wire::Command HeartbeatHandler::stop_command(const TaskAttempt& attempt, Ms now) const {
  const Ms max_stop_time = net::ms(attempt.termination_grace_s + 2 * context_.settings.gang_peer_s);
  const bool overdue = now - attempt.stop_requested_at > max_stop_time;
  return command_for(Verb::stop, attempt.id(), overdue ? 0 : attempt.termination_grace_s);
}

// Appends the starts of attempts that no report has listed yet. No copy of these starts is executed
// late: the worker discards a reply that is older than a few seconds. No attempt of a job that has
// ended is started, not even to be stopped at once: its user may have been told of the
// cancellation. Such an attempt is inspected instead (AttemptTracker::mark_missing).
void HeartbeatHandler::append_starts(Machine& machine, const std::set<TaskId>& reported,
                                     std::vector<wire::Command>& commands) const {
  std::size_t starts = 0;
  for (const auto& [task, attempt] : machine.attempts) {
    if (reported.contains(task) || attempt->reported || !attempt->durable) continue;
    if (attempt->incarnation != machine.incarnation) continue;
    if (attempt->job->ended() || attempt->revoked) continue;
    if (!attempt->job->active() && !attempt->stop_requested) continue;
    if (++starts > kMaxStartsPerReply) return;
    attempt->start_sent_at = context_.runtime.now();
    audit::start(attempt->id(), machine.name, machine.incarnation, context_.election.epoch());
    append_start(machine, attempt->id(), commands);
    if (attempt->stop_requested) {
      // No report has listed this attempt yet, and its start may be on its way in the reply to the
      // previous heartbeat. This reply therefore starts and stops the attempt in one message. The
      // next heartbeat then lists the attempt as exited.
      commands.push_back(command_for(Verb::stop, attempt->id()));
    } else {
      attempt->start_sent = true;
    }
  }
}

}  // namespace seampass::leader
