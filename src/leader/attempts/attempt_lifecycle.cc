#include "leader/attempts/attempt_lifecycle.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

namespace seampass::leader {

using net::Ms;
using state::Urgency;
using wire::ExitCause;

namespace {
// A machine is drained, and then returned to the cloud, once this many jobs have failed on it
// without having failed on other machines.
constexpr std::size_t kMaxFailedJobs = 3;
// The retry delay of a failing job is the heartbeat interval, doubled with each failure; it
// never exceeds the lease. This is the maximum number of doublings.
constexpr int kMaxRetryDoublings = 5;
}  // namespace

AttemptLifecycle::AttemptLifecycle(const LeaderContext& context, const JobTable& jobs,
                                   AttemptTracker& tracker, TaskRecordWriter& task_records,
                                   Fleet& fleet, CommandDispatcher& commands, Hooks hooks)
    : context_(context),
      jobs_(jobs),
      tracker_(tracker),
      task_records_(task_records),
      fleet_(fleet),
      commands_(commands),
      hooks_(std::move(hooks)) {}

// ---- Stopping attempts ----

// The grace period covers the time to save a checkpoint and the time until the stop command
// arrives.
void AttemptLifecycle::stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason reason) {
  const double grace_s = attempt.job->spec.save_s + context_.settings.heartbeat_interval_s / 3;
  tracker_.mark_for_stop(attempt, grace_s, reason);
}

void AttemptLifecycle::stop_all(JobRecord& job, double termination_grace_s,
                                audit::StopReason reason, StopScope scope) {
  std::vector<TaskAttempt*> sent;
  std::vector<AttemptId> unsent;
  for (auto& [task, attempt] : job.attempts) {
    if (attempt.stop_requested && scope == StopScope::not_stopping_yet) continue;
    tracker_.mark_for_stop(attempt, termination_grace_s, reason);
    attempt.termination_grace_s = termination_grace_s;
    if (attempt.start_sent)
      sent.push_back(&attempt);
    else
      unsent.push_back(attempt.id());
  }
  commands_.send_stops(sent);
  revoke(job, unsent);
}

// Only this leader knows that no start of these attempts was sent. The next leader would start what
// the records assign. So the attempts keep their resources, and a cancellation is not confirmed,
// until no stored record contains them.
void AttemptLifecycle::revoke(JobRecord& job, const std::vector<AttemptId>& unsent) {
  std::map<RecordId, std::vector<AttemptId>> by_record;
  for (const AttemptId& id : unsent) {
    job.attempts.at(id.task).revoked = true;
    by_record[task_records_.record_of(id.task)].push_back(id);
  }
  const std::string job_id = job.spec.id;
  const Urgency urgency = job.active() ? Urgency::assignment : Urgency::final_status;
  for (const auto& [record, ids] : by_record)
    task_records_.record_changed(job_id, ids.front().task, urgency, [this, job_id, revoked = ids] {
      on_revocation_durable(job_id, revoked);
    });
}

void AttemptLifecycle::on_revocation_durable(const std::string& job,
                                             const std::vector<AttemptId>& revoked) {
  for (const AttemptId& id : revoked) {
    TaskAttempt* attempt = jobs_.find_attempt(id);
    if (!attempt) continue;
    audit::absent(id, attempt->machine->name, audit::AbsenceProof::never_sent);
    tracker_.remove(*attempt);
  }
  hooks_.erase_if_settled(job);
  hooks_.request_scheduling_pass();
}

void AttemptLifecycle::stop_incomplete_gang(JobRecord& job) {
  if (!job.gang() || job.ended() || job.attempts.empty()) return;
  stop_all(job, 0, audit::StopReason::gang_incomplete);
}

// ---- Attempts that have ended ----

void AttemptLifecycle::release(TaskAttempt& attempt) {
  const std::string id = attempt.job->spec.id;
  const std::uint32_t task = attempt.task;
  tracker_.remove(attempt);
  task_records_.record_changed(id, task, Urgency::progress);
  hooks_.erase_if_settled(id);
  hooks_.request_scheduling_pass();
}

// Releasing the last attempt of a job can end the job and erase its JobRecord. The second loop
// therefore finds each job again by its id.
void AttemptLifecycle::release_lost(const std::vector<TaskAttempt*>& lost,
                                    audit::AbsenceProof proof) {
  std::set<std::string> jobs;
  for (TaskAttempt* attempt : lost) {
    jobs.insert(attempt->job->spec.id);
    audit::absent(attempt->id(), attempt->machine->name, proof);
    release(*attempt);
  }
  for (const std::string& id : jobs) {
    if (JobRecord* job = jobs_.find(id)) stop_incomplete_gang(*job);
    if (JobRecord* job = jobs_.find(id)) hooks_.conclude_if_complete(*job);
  }
}

void AttemptLifecycle::release_machine(Machine& machine, audit::AbsenceProof proof) {
  std::vector<TaskAttempt*> lost;
  for (const auto& [task, attempt] : machine.attempts) lost.push_back(attempt);
  release_lost(lost, proof);
}

void AttemptLifecycle::on_task_exited(TaskAttempt& attempt, const wire::TaskStatus& status) {
  audit::exited(attempt.id(), attempt.machine->name, status.cause, attempt.stop_requested);
  audit::absent(attempt.id(), attempt.machine->name, audit::AbsenceProof::reported_ended);
  if (status.cause == ExitCause::done) return on_task_done(attempt);
  JobRecord& job = *attempt.job;
  Machine& machine = *attempt.machine;
  delay_retry(job, machine, status.cause);
  const std::string id = job.spec.id;
  release(attempt);
  if (JobRecord* remaining = jobs_.find(id)) stop_incomplete_gang(*remaining);
}

void AttemptLifecycle::delay_retry(JobRecord& job, Machine& machine, ExitCause cause) {
  const Ms now = context_.runtime.now();
  const Ms heartbeat_interval = net::ms(context_.settings.heartbeat_interval_s);
  switch (cause) {
    case ExitCause::error:
      ++job.failures;
      record_failure(job, machine);
      job.retry_at =
          now + std::min(heartbeat_interval * (1 << std::min(job.failures, kMaxRetryDoublings)),
                         net::ms(context_.settings.lease_s));
      break;
    case ExitCause::unknown:
    case ExitCause::busy:
      job.retry_at = now + heartbeat_interval;
      break;
    case ExitCause::no_room:
      machine.quarantined_until = now + heartbeat_interval;
      break;
    default:
      break;
  }
}

// Counts the failure against the machine and quarantines it, since the machine is the likelier
// cause. If the job has failed on another machine as well, with none of its tasks done in between,
// the job is the likelier cause. The failure is then no longer counted against any machine on which
// the job failed.
void AttemptLifecycle::record_failure(JobRecord& job, Machine& machine) {
  job.failed_on.insert(machine.name);
  if (job.fails_everywhere()) {
    for (const std::string& name : job.failed_on) {
      Machine* other = fleet_.find(name);
      if (other && other->failed_jobs.erase(job.spec.id) != 0 && other->failed_jobs.empty())
        other->quarantined_until = 0;
    }
    return;
  }
  machine.failed_jobs.insert(job.spec.id);
  machine.quarantined_until = context_.runtime.now() + net::ms(context_.settings.lease_s);
  if (machine.failed_jobs.size() >= kMaxFailedJobs) machine.draining = true;
}

void AttemptLifecycle::on_task_done(TaskAttempt& attempt) {
  JobRecord& job = *attempt.job;
  attempt.machine->images.insert(job.spec.image);
  attempt.machine->failed_jobs.clear();
  job.failures = 0;
  job.failed_on.clear();
  if (job.gang()) {
    // All tasks of a gang complete together, so all of them are done when one is.
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.finish_task(task);
  } else if (job.spec.kind != wire::JobKind::service) {
    job.finish_task(attempt.task);
  }
  hooks_.conclude_if_complete(job);
  release(attempt);
}

}  // namespace seampass::leader
