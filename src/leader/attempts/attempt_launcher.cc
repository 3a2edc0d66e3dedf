#include "leader/attempts/attempt_launcher.h"

#include <cstddef>
#include <map>
#include <memory>
#include <utility>

#include "leader/audit_log.h"

namespace seampass::leader {

using state::Urgency;
using wire::Verb;

namespace {
// Maximum number of attempts on one machine whose start a delayed copy of the command may execute
// once more. The worker must not forget such an attempt, so each of them makes the worker's reports
// longer.
constexpr std::size_t kMaxReplayableStarts = 8;
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
  for (const PlacedTask& placed : tasks) {
    tracker_.add(job, placed.task, attempt, *placed.machine, placed.machine->incarnation);
    by_record[task_records_.record_of(placed.task)].push_back({job.spec.id, placed.task, attempt});
  }
  audit::launch(job.spec.id, attempt, tasks.size(),
                tasks.empty() ? "none" : tasks.front().machine->name);
  const std::string id = job.spec.id;
  const bool gang = job.gang();
  // The attempts of a gang may be in several task records. No task of the gang starts before the
  // last of these records is durable.
  const auto records_pending = std::make_shared<std::size_t>(by_record.size());
  for (auto& [record, record_ids] : by_record) {
    const std::uint32_t first_task = record_ids.front().task;
    if (gang) {
      task_records_.record_changed(id, first_task, Urgency::assignment,
                                   [this, id, attempt, records_pending] {
                                     if (--*records_pending == 0)
                                       on_assignment_durable(id, ids_of_attempt(id, attempt));
                                   });
    } else {
      task_records_.record_changed(id, first_task, Urgency::assignment,
                                   [this, id, record_ids = std::move(record_ids)] {
                                     on_assignment_durable(id, record_ids);
                                   });
    }
  }
}

std::vector<AttemptId> AttemptLauncher::ids_of_attempt(const std::string& id,
                                                       std::uint64_t number) const {
  std::vector<AttemptId> ids;
  const JobRecord* job = jobs_.find(id);
  if (!job) return ids;
  for (const auto& [task, attempt] : job->attempts)
    if (attempt.number == number) ids.push_back(attempt.id());
  return ids;
}

bool AttemptLauncher::may_start(const TaskAttempt& attempt) const {
  return !attempt.stop_requested && !attempt.start_sent && attempt.job->active() &&
         context_.election.lease_valid();
}

// Starts these attempts, whose task records are durable now.
void AttemptLauncher::on_assignment_durable(const std::string& id,
                                            const std::vector<AttemptId>& assigned) {
  if (!jobs_.contains(id)) return;
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  std::vector<TaskAttempt*> unsent;
  for (const AttemptId& attempt_id : assigned) {
    TaskAttempt* attempt = jobs_.find_attempt(attempt_id);
    if (!attempt) continue;
    attempt->durable = true;
    if (!may_start(*attempt)) continue;
    Machine& machine = *attempt->machine;
    // A delayed copy of a start that is sent through /commands may execute it once more, so the
    // worker must remember the attempt for a long time. Starts beyond the maximum are sent in the
    // reply to the next heartbeat instead: the worker discards an old reply, so no copy of it is
    // executed late.
    if (machine.replayable_starts.size() >= kMaxReplayableStarts) continue;
    if (machine.incarnation != attempt->incarnation) {
      // No start was sent, and the incarnation that the attempt was assigned to is over.
      unsent.push_back(attempt);
      continue;
    }
    attempt->start_sent = true;
    attempt->start_sent_at = context_.runtime.now();
    ++attempt->starts_in_flight;
    audit::start(attempt_id, machine.name, machine.incarnation, context_.election.epoch(),
                 audit::StartPath::command);
    append_start(machine, attempt_id, by_machine[&machine]);
  }
  for (const auto& [machine, commands] : by_machine) commands_.send(*machine, commands);
  attempts_.release_lost(unsent, audit::AbsenceProof::never_sent);
}

// Appends the start, preceded by commands to forget earlier attempts of the same task that exited
// on this machine. A worker that still knows one of them would end the new attempt with `busy`.
// Forgetting them loses nothing: the task record that is durable now no longer contains them. An
// attempt whose start a delayed copy may still execute is not forgotten.
void AttemptLauncher::append_start(const Machine& machine, const AttemptId& id,
                                   std::vector<wire::Command>& commands) {
  for (auto exited = machine.exited.lower_bound({id.job, id.task, 0});
       exited != machine.exited.end() && exited->task_id() == id.task_id(); ++exited)
    if (!machine.replayable_starts.contains(*exited))
      commands.push_back(command_for(Verb::forget, *exited));
  commands.push_back(command_for(Verb::start, id));
}

}  // namespace seampass::leader
