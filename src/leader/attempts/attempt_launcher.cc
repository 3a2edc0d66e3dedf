#include "leader/attempts/attempt_launcher.h"

#include <cstddef>
#include <map>
#include <memory>

#include "leader/audit_log.h"

namespace seampass::leader {

using state::Urgency;
using wire::Verb;

namespace {
// Attempts on one machine that can't be forgotten, since their starts may come once more: they make
// its reports longer.
constexpr std::size_t kMostUnforgettable = 8;
}  // namespace

AttemptLauncher::AttemptLauncher(const LeaderContext& context, const JobTable& jobs,
                                 AttemptTracker& tracker, TaskRecordWriter& task_records,
                                 CommandDispatcher& commands, AttemptLifecycle& attempts)
    : context_(context),
      jobs_(jobs),
      tracker_(tracker),
      task_records_(task_records),
      commands_(commands),
      attempts_(attempts) {}

void AttemptLauncher::launch(JobRecord& job, const std::vector<PlacedTask>& tasks) {
  const std::uint64_t attempt = ++job.last_attempt;
  std::map<RecordId, std::vector<AttemptId>> by_record;
  std::vector<AttemptId> all;
  for (const PlacedTask& placed : tasks) {
    tracker_.add(job, placed.task, attempt, *placed.machine, placed.machine->incarnation);
    all.push_back({job.spec.id, placed.task, attempt});
    by_record[task_records_.record_of(placed.task)].push_back(all.back());
  }
  audit::launch(job.spec.id, attempt, all.size(),
                tasks.empty() ? "none" : tasks.front().machine->name);
  const std::string id = job.spec.id;
  const bool gang = job.gang();
  // A gang's start may span several records: nothing starts before the last is durable.
  const auto waiting = std::make_shared<std::size_t>(by_record.size());
  for (auto& [record, list] : by_record) {
    task_records_.record_changed(id, list.front().task, Urgency::assignment,
                                 [this, id, gang, waiting, all, list = list] {
                                   if (!gang) return on_assignment_durable(id, list);
                                   if (--*waiting == 0) on_assignment_durable(id, all);
                                 });
  }
}

bool AttemptLauncher::may_start(const TaskAttempt& attempt) const {
  return !attempt.stop && !attempt.sent && attempt.job->active() && context_.election.holds();
}

// The record that assigns these tasks is durable: they may be started.
void AttemptLauncher::on_assignment_durable(const std::string& id,
                                            const std::vector<AttemptId>& assigned) {
  if (!jobs_.contains(id)) return;
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  std::vector<TaskAttempt*> void_attempts;
  for (const AttemptId& attempt_id : assigned) {
    TaskAttempt* attempt = jobs_.find_attempt(attempt_id);
    if (!attempt) continue;
    attempt->durable = true;
    if (!may_start(*attempt)) continue;
    Machine& machine = *attempt->machine;
    // Each start that goes there by itself leaves an attempt that can't be forgotten for long.
    // Those beyond the bound travel in the answer to the next heartbeat, of which no copy comes
    // late.
    if (machine.replayable_starts.size() >= kMostUnforgettable) continue;
    if (machine.incarnation != attempt->incarnation) {
      void_attempts.push_back(attempt);  // never sent, and of a session that is over
      continue;
    }
    attempt->sent = true;
    attempt->start_sent_at = context_.runtime.now();
    ++attempt->in_flight;
    audit::start(attempt_id, machine.name, machine.incarnation, context_.election.epoch(),
                 audit::StartPath::command);
    append_start(machine, attempt_id, by_machine[&machine]);
  }
  for (const auto& [machine, commands] : by_machine) commands_.send(*machine, commands);
  attempts_.release_lost(void_attempts, audit::AbsenceProof::never_sent);
}

// An earlier attempt that ended there would make this one `busy`. The record that is durable now no
// longer has it, so it may be forgotten.
void AttemptLauncher::append_start(const Machine& machine, const AttemptId& id,
                                   std::vector<wire::Command>& commands) {
  for (auto ended = machine.exited.lower_bound({id.job, id.task, 0});
       ended != machine.exited.end() && ended->task_id() == id.task_id(); ++ended)
    if (!machine.replayable_starts.contains(*ended))
      commands.push_back(command_for(Verb::forget, *ended));
  commands.push_back(command_for(Verb::start, id));
}

}  // namespace seampass::leader
