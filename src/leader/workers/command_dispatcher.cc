#include "leader/workers/command_dispatcher.h"

#include <algorithm>
#include <map>
#include <utility>

#include "leader/audit_log.h"
#include "leader/jobs/job_record.h"

namespace seampass::leader {

using net::Ms;
using wire::Verb;

CommandDispatcher::CommandDispatcher(const LeaderContext& context, workers::Client& workers,
                                     Fleet& fleet, OnReport on_report)
    : context_(context), workers_(workers), fleet_(fleet), on_report_(std::move(on_report)) {}

void CommandDispatcher::send_stops(const std::vector<TaskAttempt*>& attempts) {
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  for (const TaskAttempt* attempt : attempts) {
    by_machine[attempt->machine].push_back(
        command_for(Verb::stop, attempt->id(), attempt->termination_grace_s));
  }
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
}

// A worker sends a heartbeat when its list of tasks changes. The command is the start of a task
// that the job does not have: the worker refuses it and lists it as exited, until the reply to that
// heartbeat makes the worker forget it. Each request names another such task, because a task that
// the worker still lists would change nothing. A job of the largest size has no such task, since
// every index has to be one that heartbeats may contain; its starts wait for the next heartbeat.
void CommandDispatcher::request_heartbeat(Machine& machine, const wire::Job& job) {
  if (machine.heartbeat_requested || !accepts_commands(machine) || job.tasks >= wire::kMaxTasks)
    return;
  machine.heartbeat_requested = true;
  const std::uint32_t nonexistent_task =
      job.tasks + heartbeat_requests_++ % (wire::kMaxTasks - job.tasks);
  send(machine, {command_for(Verb::start, {job.id, nonexistent_task, context_.election.epoch()})});
}

bool CommandDispatcher::accepts_commands(const Machine& machine) {
  return !machine.addr.empty() && machine.registered;
}

void CommandDispatcher::send(Machine& machine, const std::vector<wire::Command>& commands) {
  if (!accepts_commands(machine)) return;
  workers_.send(machine.addr, context_.election.epoch(), machine.incarnation, commands,
                context_.term.callbacks().wrap(
                    [this, name = machine.name](workers::CommandResult outcome,
                                                const std::optional<wire::Heartbeat>& report) {
                      on_reply(name, outcome, report);
                    }));
}

void CommandDispatcher::on_reply(const std::string& name, workers::CommandResult outcome,
                                 const std::optional<wire::Heartbeat>& report) {
  Machine* machine = fleet_.find(name);
  if (!machine) return;
  if (outcome != workers::CommandResult::executed) machine->heartbeat_requested = false;
  if (outcome == workers::CommandResult::unknown || outcome == workers::CommandResult::not_sent) {
    on_unanswered(*machine);
  } else {
    machine->unresponsive_since.reset();
  }
  if (!report || report->machine != name) return;
  if (report->token > context_.election.epoch())
    return context_.election.step_down(audit::StepDownReason::worker_shows_higher_epoch);
  on_report_(*machine, *report);
}

// A network fault can let a machine's heartbeats through while no request reaches the machine. The
// machine is quarantined for half a lease, so that no new attempts are placed on it. If it is still
// unresponsive after that time, it is drained, and it is returned to the cloud once no attempt is
// known to run on it.
void CommandDispatcher::on_unanswered(Machine& machine) {
  const Ms now = context_.runtime.now();
  const Ms half_lease = net::ms(context_.settings.lease_s) / 2;
  machine.quarantined_until = std::max(machine.quarantined_until, now + half_lease);
  if (!machine.unresponsive_since) machine.unresponsive_since = now;
  if (now - *machine.unresponsive_since < half_lease || machine.deleting) return;
  machine.draining = true;
  const bool idle = std::none_of(
      machine.attempts.begin(), machine.attempts.end(),
      [](const auto& entry) { return entry.second->reported && !entry.second->missing; });
  if (idle) fleet_.request_deletion(machine);
}

}  // namespace seampass::leader
