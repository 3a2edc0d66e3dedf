// The Controller's commands to workers, and what their answers and their silence mean.
#include <algorithm>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using wire::Verb;

namespace {
// Attempts on one machine that can't be forgotten, since their starts may come once more: they make
// its reports longer.
constexpr std::size_t kMostUnforgettable = 8;
}  // namespace

void Controller::send_stops(const std::vector<TaskAttempt*>& attempts) {
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  for (const TaskAttempt* attempt : attempts) {
    by_machine[attempt->machine].push_back(
        command_for(Verb::stop, attempt->id(), attempt->termination_grace_s));
  }
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
}

void Controller::send(Machine& machine, const std::vector<wire::Command>& commands) {
  if (machine.addr.empty() || !machine.registered)
    return;  // the next heartbeat's answer carries them
  std::vector<AttemptId> starts;
  for (const wire::Command& command : commands)
    if (command.verb == Verb::start) starts.push_back(id_of(command));
  machine.replayable_starts.insert(starts.begin(), starts.end());
  // A worker that began anew just now runs what it is told until its own lease is over, whether its
  // answer comes or not.
  if (!starts.empty()) machine.last_command_ack_at = runtime_.now();
  workers_.send(
      machine.addr, election_.epoch(), machine.incarnation, commands,
      term_.callbacks().wrap([this, name = machine.name, starts](
                                 workers::Sent sent, const std::optional<wire::Heartbeat>& report) {
        on_command_answer(name, starts, sent, report);
      }));
}

void Controller::on_command_answer(const std::string& name, const std::vector<AttemptId>& starts,
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
  if (sent == workers::Sent::executed || may_run) machine->last_command_ack_at = runtime_.now();
  if (sent == workers::Sent::unknown || sent == workers::Sent::not_sent) {
    on_command_unanswered(*machine);
  } else {
    machine->unresponsive_since.reset();
  }
  if (!report || report->machine != name) return;
  if (report->token > election_.epoch())
    return election_.step_down(audit::StepDownReason::worker_shows_higher_epoch);
  reconcile(*machine, *report, false);
}

// A machine can be heard and yet not hear us. New starts avoid it for a while; if it is the same
// then, it takes nothing more, and is returned once nothing is known to run on it.
void Controller::on_command_unanswered(Machine& machine) {
  const Ms now = runtime_.now();
  const Ms pause = net::ms(settings_.lease_s) / 2;
  machine.quarantined_until = std::max(machine.quarantined_until, now + pause);
  if (!machine.unresponsive_since) machine.unresponsive_since = now;
  if (now - *machine.unresponsive_since < pause || machine.deleting) return;
  machine.draining = true;
  const bool idle =
      std::none_of(machine.attempts.begin(), machine.attempts.end(),
                   [](const auto& entry) { return entry.second->seen && !entry.second->missing; });
  if (idle) fleet_.remove(machine);
}

// The record that assigns these tasks is durable: they may be started.
void Controller::on_assignment_durable(const std::string& id,
                                       const std::vector<AttemptId>& assigned) {
  JobRecord* job = jobs_.find(id);
  if (!job) return;
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  std::vector<TaskAttempt*> off;
  for (const AttemptId& name : assigned) {
    TaskAttempt* attempt = jobs_.find_attempt(name);
    if (!attempt) continue;
    attempt->durable = true;
    if (attempt->stop || attempt->sent || !job->active() || !election_.holds()) continue;
    Machine& machine = *attempt->machine;
    // Each start that goes there by itself leaves an attempt that can't be forgotten for long.
    // Those beyond the bound travel in the answer to the next heartbeat, of which no copy comes
    // late.
    if (machine.replayable_starts.size() >= kMostUnforgettable) continue;
    if (machine.incarnation != attempt->incarnation) {
      off.push_back(attempt);  // never sent, and void now
      continue;
    }
    attempt->sent = true;
    attempt->start_sent_at = runtime_.now();
    ++attempt->in_flight;
    audit::start(name, machine.name, machine.incarnation, election_.epoch(), false);
    append_start(machine, name, by_machine[&machine]);
  }
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
  release_lost(off, audit::AbsenceProof::never_sent);
}

// An earlier attempt that ended there would make this one `busy`. The record that is durable now no
// longer has it, so it may be forgotten.
void Controller::append_start(const Machine& machine, const AttemptId& id,
                              std::vector<wire::Command>& commands) {
  for (auto ended = machine.exited.lower_bound({id.job, id.task, 0});
       ended != machine.exited.end() && ended->task_id() == id.task_id(); ++ended)
    if (!machine.replayable_starts.contains(*ended))
      commands.push_back(command_for(Verb::forget, *ended));
  commands.push_back(command_for(Verb::start, id));
}

}  // namespace seampass::leader
