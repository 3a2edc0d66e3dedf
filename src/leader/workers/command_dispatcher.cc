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
  std::vector<AttemptId> starts;
  for (const wire::Command& command : commands)
    if (command.verb == Verb::start) starts.push_back(id_of(command));
  machine.replayable_starts.insert(starts.begin(), starts.end());
  // A worker that began a new session just now runs what it is told until its own lease is over,
  // whether its answer comes or not.
  if (!starts.empty()) machine.last_command_ack_at = context_.runtime.now();
  workers_.send(machine.addr, context_.election.epoch(), machine.incarnation, commands,
                context_.term.callbacks().wrap(
                    [this, name = machine.name, starts](
                        workers::Sent sent, const std::optional<wire::Heartbeat>& report) {
                      on_answer(name, starts, sent, report);
                    }));
}

void CommandDispatcher::on_answer(const std::string& name, const std::vector<AttemptId>& starts,
                                  workers::Sent sent,
                                  const std::optional<wire::Heartbeat>& report) {
  for (const AttemptId& id : starts)
    if (TaskAttempt* attempt = jobs_.find_attempt(id)) --attempt->in_flight;
  Machine* machine = fleet_.find(name);
  if (!machine) return;
  // Certainly not executed, and no copy of it ever will be.
  if (sent == workers::Sent::not_sent || sent == workers::Sent::rejected)
    for (const AttemptId& id : starts) machine->replayable_starts.erase(id);
  const bool may_run = sent == workers::Sent::unknown && !starts.empty();
  if (sent == workers::Sent::executed || may_run)
    machine->last_command_ack_at = context_.runtime.now();
  if (sent == workers::Sent::unknown || sent == workers::Sent::not_sent) {
    on_unanswered(*machine);
  } else {
    machine->unresponsive_since.reset();
  }
  if (!report || report->machine != name) return;
  if (report->token > context_.election.epoch())
    return context_.election.step_down(audit::StepDownReason::worker_shows_higher_epoch);
  on_report_(*machine, *report);
}

// A machine's reports can arrive while nothing that is sent to it does. New starts avoid it for a
// while; if it is the same then, it takes nothing more, and is returned once nothing is known to
// run on it.
void CommandDispatcher::on_unanswered(Machine& machine) {
  const Ms now = context_.runtime.now();
  const Ms pause = net::ms(context_.settings.lease_s) / 2;
  machine.quarantined_until = std::max(machine.quarantined_until, now + pause);
  if (!machine.unresponsive_since) machine.unresponsive_since = now;
  if (now - *machine.unresponsive_since < pause || machine.deleting) return;
  machine.draining = true;
  const bool idle =
      std::none_of(machine.attempts.begin(), machine.attempts.end(),
                   [](const auto& entry) { return entry.second->seen && !entry.second->missing; });
  if (idle) fleet_.remove(machine);
}

}  // namespace seampass::leader
