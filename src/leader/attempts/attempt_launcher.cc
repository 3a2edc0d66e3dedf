#include "leader/attempts/attempt_launcher.h"

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "leader/audit_log.h"

namespace seampass::leader {

using state::Urgency;

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

// The task records of these attempts are durable now, so the reply to the next heartbeat of each
// machine contains their starts. The machine's worker is asked to send that heartbeat at once.
void AttemptLauncher::on_assignment_durable(const std::string& id,
                                            const std::vector<AttemptId>& assigned) {
  const JobRecord* job = jobs_.find(id);
  if (!job) return;
  std::set<Machine*, ByName> machines;
  std::vector<TaskAttempt*> unsent;
  for (const AttemptId& attempt_id : assigned) {
    TaskAttempt* attempt = jobs_.find_attempt(attempt_id);
    if (!attempt) continue;
    attempt->durable = true;
    if (!may_start(*attempt)) continue;
    if (attempt->machine->incarnation == attempt->incarnation) {
      machines.insert(attempt->machine);
    } else {
      // No start was sent, and the incarnation that the attempt was assigned to is over.
      unsent.push_back(attempt);
    }
  }
  for (Machine* machine : machines) commands_.request_heartbeat(*machine, job->spec);
  attempts_.release_lost(unsent, audit::AbsenceProof::never_sent);
}

}  // namespace seampass::leader
