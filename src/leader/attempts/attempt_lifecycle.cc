#include "leader/attempts/attempt_lifecycle.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

namespace seampass::leader {

using net::Ms;
using state::Urgency;
using wire::ExitCause;

namespace {
// A machine on which so many jobs failed that do not fail elsewhere is returned.
constexpr std::size_t kMostFailed = 3;
// Retries of a failing job wait for report intervals, doubled with each failure up to this many
// times.
constexpr int kMostDoublings = 5;
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

// ---- Stops ----

// Long enough to save, and for the order to arrive.
void AttemptLifecycle::stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why) {
  const double grace_s = attempt.job->spec.save_s + context_.settings.heartbeat_interval_s / 3;
  tracker_.stop(attempt, grace_s, why);
}

void AttemptLifecycle::stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why,
                                StopScope scope) {
  std::vector<TaskAttempt*> sent;
  std::vector<TaskAttempt*> unsent;
  for (auto& [task, attempt] : job.attempts) {
    if (attempt.stop && scope == StopScope::not_stopping_yet) continue;
    tracker_.stop(attempt, termination_grace_s, why);
    attempt.termination_grace_s = termination_grace_s;
    (attempt.sent ? sent : unsent).push_back(&attempt);
  }
  commands_.send_stops(sent);
  // No worker was ever told of these: they are off already.
  for (TaskAttempt* attempt : unsent) {
    audit::absent(attempt->id(), attempt->machine->name, audit::AbsenceProof::never_sent);
    release(*attempt);
  }
}

void AttemptLifecycle::stop_incomplete_gang(JobRecord& job) {
  if (!job.gang() || job.ended() || job.attempts.empty()) return;
  stop_all(job, 0, audit::StopReason::gang_incomplete);
}

// ---- Ends ----

void AttemptLifecycle::release(TaskAttempt& attempt) {
  const std::string id = attempt.job->spec.id;
  const std::uint32_t task = attempt.task;
  tracker_.remove(attempt);
  task_records_.record_changed(id, task, Urgency::progress);
  hooks_.erase_if_settled(id);
  hooks_.request_pass();
}

// Releasing the last attempt of a job can end and erase it, so that what follows goes by name.
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

void AttemptLifecycle::on_task_exited(TaskAttempt& attempt, const wire::TaskStatus& report) {
  audit::exited(attempt.id(), attempt.machine->name, report.cause, attempt.stop);
  audit::absent(attempt.id(), attempt.machine->name, audit::AbsenceProof::reported_ended);
  if (report.cause == ExitCause::done) return on_task_done(attempt);
  JobRecord& job = *attempt.job;
  Machine& machine = *attempt.machine;
  delay_retry(job, machine, report.cause);
  const std::string id = job.spec.id;
  if (machine.replayable_starts.contains(attempt.id()))
    job.unreaped_attempts.insert({attempt.task, machine.name});
  release(attempt);
  if (JobRecord* remaining = jobs_.find(id)) stop_incomplete_gang(*remaining);
}

void AttemptLifecycle::delay_retry(JobRecord& job, Machine& machine, ExitCause cause) {
  const Ms now = context_.runtime.now();
  const Ms pause = net::ms(context_.settings.heartbeat_interval_s);
  switch (cause) {
    case ExitCause::error:
      ++job.failures;
      record_failure(job, machine);
      job.retry_at = now + std::min(pause * (1 << std::min(job.failures, kMostDoublings)),
                                    net::ms(context_.settings.lease_s));
      break;
    case ExitCause::unknown:
    case ExitCause::busy:
      job.retry_at = now + pause;
      break;
    case ExitCause::no_room:
      machine.quarantined_until = now + pause;
      break;
    default:
      break;
  }
}

// The machine is the likelier culprit, unless the job fails elsewhere as well, with nothing of it
// done in between: then nothing is held against any machine that it failed on.
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
  if (machine.failed_jobs.size() >= kMostFailed) machine.draining = true;
}

void AttemptLifecycle::on_task_done(TaskAttempt& attempt) {
  JobRecord& job = *attempt.job;
  attempt.machine->images.insert(job.spec.image);
  attempt.machine->failed_jobs.clear();
  job.failures = 0;
  job.failed_on.clear();
  if (job.gang()) {
    // They complete together: one that is done says so of all.
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.finish_task(task);
  } else if (job.spec.kind != wire::JobKind::service) {
    job.finish_task(attempt.task);
  }
  hooks_.conclude_if_complete(job);
  release(attempt);
}

}  // namespace seampass::leader
