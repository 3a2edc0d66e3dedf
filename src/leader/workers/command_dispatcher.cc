#include "leader/workers/command_dispatcher.h"

#include <algorithm>
#include <map>
#include <utility>

#include "leader/audit_log.h"

namespace seampass::leader {

using net::Ms;
using wire::Verb;

CommandDispatcher::CommandDispatcher(const LeaderContext& context, workers::Client& workers,
                                     Fleet& fleet, const JobTable& jobs, OnReport on_report)
    : context_(context),
      workers_(workers),
      fleet_(fleet),
      jobs_(jobs),
      on_report_(std::move(on_report)) {}

void CommandDispatcher::send_stops(const std::vector<TaskAttempt*>& attempts) {
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  for (const TaskAttempt* attempt : attempts) {
    by_machine[attempt->machine].push_back(
        command_for(Verb::stop, attempt->id(), attempt->termination_grace_s));
  }
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
}

void CommandDispatcher::send(Machine& machine, const std::vector<wire::Command>& commands) {
  if (machine.addr.empty() || !machine.registered) return;
  std::vector<AttemptId> start_ids;
  for (const wire::Command& command : commands)
    if (command.verb == Verb::start) start_ids.push_back(id_of(command));
  machine.replayable_starts.insert(start_ids.begin(), start_ids.end());
  // A worker that has just begun a new incarnation runs the tasks that it is commanded to start
  // until its own lease expires, whether or not its reply arrives. Sending a start therefore counts
  // as contact with the worker (AttemptTracker::lease_expired).
  if (!start_ids.empty()) machine.last_command_at = context_.runtime.now();
  workers_.send(machine.addr, context_.election.epoch(), machine.incarnation, commands,
                context_.term.callbacks().wrap([this, name = machine.name, start_ids](
                                                   workers::CommandResult outcome,
                                                   const std::optional<wire::Heartbeat>& report) {
                  on_reply(name, start_ids, outcome, report);
                }));
}

void CommandDispatcher::on_reply(const std::string& name, const std::vector<AttemptId>& start_ids,
                                 workers::CommandResult outcome,
                                 const std::optional<wire::Heartbeat>& report) {
  for (const AttemptId& id : start_ids)
    if (TaskAttempt* attempt = jobs_.find_attempt(id)) --attempt->starts_in_flight;
  Machine* machine = fleet_.find(name);
  if (!machine) return;
  // The commands were certainly not executed, and no late copy of them will be executed.
  if (outcome == workers::CommandResult::not_sent || outcome == workers::CommandResult::rejected)
    for (const AttemptId& id : start_ids) machine->replayable_starts.erase(id);
  const bool may_be_executed = outcome == workers::CommandResult::unknown && !start_ids.empty();
  if (outcome == workers::CommandResult::executed || may_be_executed)
    machine->last_command_at = context_.runtime.now();
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
