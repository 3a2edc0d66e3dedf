// The Controller's attempts: how they are stopped, how they end, and what follows for their jobs.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/controller.h"

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

TaskAttempt* Controller::find_attempt(const std::string& job, std::uint32_t task) {
  JobRecord* record = find_job(job);
  if (!record) return nullptr;
  const auto attempt = record->attempts.find(task);
  return attempt == record->attempts.end() ? nullptr : &attempt->second;
}

TaskAttempt* Controller::find_attempt(const AttemptId& id) {
  TaskAttempt* attempt = find_attempt(id.job, id.task);
  return attempt && attempt->number == id.attempt ? attempt : nullptr;
}

void Controller::release(TaskAttempt& attempt) {
  const std::string id = attempt.job->spec.id;
  const std::uint32_t task = attempt.task;
  attempts_.remove(attempt);
  record_changed(id, task, Urgency::progress);
  erase_if_settled(id);
  request_pass();
}

// Releasing the last attempt of a job can end and erase it, so that what follows goes by name.
void Controller::release_lost(const std::vector<TaskAttempt*>& lost, audit::AbsenceProof proof) {
  std::set<std::string> jobs;
  for (TaskAttempt* attempt : lost) {
    jobs.insert(attempt->job->spec.id);
    audit::absent(attempt->id(), attempt->machine->name, proof);
    release(*attempt);
  }
  for (const std::string& id : jobs) {
    if (JobRecord* job = find_job(id)) lost_attempt(*job);
    if (JobRecord* job = find_job(id)) conclude_if_complete(*job);
  }
}

// A gang's attempt is over for all its tasks once it is for one.
void Controller::lost_attempt(JobRecord& job) {
  if (!job.gang() || job.ended || job.attempts.empty()) return;
  stop_all(job, 0, audit::StopReason::gang_incomplete);
}

// Long enough to save, and for the order to arrive.
void Controller::stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why) {
  attempts_.stop(attempt, attempt.job->spec.save_s + settings_.heartbeat_interval_s / 3, why);
}

void Controller::stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why) {
  stop_all(job, termination_grace_s, why, false);
}

// `again`: also what was told to stop before, with this grace now.
void Controller::stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why,
                          bool again) {
  std::vector<TaskAttempt*> sent;
  std::vector<TaskAttempt*> unsent;
  for (auto& [task, attempt] : job.attempts) {
    if (attempt.stop && !again) continue;
    attempts_.stop(attempt, termination_grace_s, why);
    attempt.termination_grace_s = termination_grace_s;
    (attempt.sent ? sent : unsent).push_back(&attempt);
  }
  send_stops(sent);
  // Never told to any worker: off already.
  for (TaskAttempt* attempt : unsent) {
    audit::absent(attempt->id(), attempt->machine->name, audit::AbsenceProof::never_sent);
    release(*attempt);
  }
}

void Controller::release_machine(Machine& machine, audit::AbsenceProof proof) {
  std::vector<TaskAttempt*> lost;
  for (const auto& [task, attempt] : machine.attempts) lost.push_back(attempt);
  release_lost(lost, proof);
}

// Its place in the snapshot is free for another.
void Controller::forget_machine(Machine& machine) {
  release_machine(machine, audit::AbsenceProof::machine_deleted);
  scheduling_.forget_machine(machine);
}

// The machine is the likelier culprit, unless the job fails elsewhere as well, with nothing of it
// done in between: then nothing is held against any machine that it failed on.
void Controller::record_failure(JobRecord& job, Machine& machine) {
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
  machine.quarantined_until = runtime_.now() + net::ms(settings_.lease_s);
  if (machine.failed_jobs.size() >= kMostFailed) machine.draining = true;
}

void Controller::task_exited(TaskAttempt& attempt, const wire::TaskStatus& report) {
  spdlog::debug("{}/{} try {} on {} ended, cause {} told {}", report.job, report.index,
                attempt.number, attempt.machine->name, static_cast<int>(report.cause),
                attempt.stop);
  audit::absent(attempt.id(), attempt.machine->name, audit::AbsenceProof::reported_ended);
  if (report.cause == ExitCause::done) return task_done(attempt);
  JobRecord& job = *attempt.job;
  Machine& machine = *attempt.machine;
  const Ms now = runtime_.now();
  const Ms pause = net::ms(settings_.heartbeat_interval_s);
  switch (report.cause) {
    case ExitCause::error:
      ++job.failures;
      record_failure(job, machine);
      job.retry_at = now + std::min(pause * (1 << std::min(job.failures, kMostDoublings)),
                                    net::ms(settings_.lease_s));
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
  const std::string id = job.spec.id;
  if (machine.replayable_starts.contains(attempt.id()))
    job.unreaped_attempts.insert({attempt.task, machine.name});
  release(attempt);
  if (JobRecord* left = find_job(id)) lost_attempt(*left);
}

void Controller::task_done(TaskAttempt& attempt) {
  JobRecord& job = *attempt.job;
  attempt.machine->images.insert(job.spec.image);
  attempt.machine->failed_jobs.clear();
  job.failures = 0;
  job.failed_on.clear();
  if (job.gang()) {
    // They complete together: one that is done says so of all.
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) finish_task(job, task);
  } else if (job.spec.kind != wire::JobKind::service) {
    finish_task(job, attempt.task);
  }
  conclude_if_complete(job);
  release(attempt);
}

}  // namespace seampass::leader
