#include "leader/jobs/job_lifecycle.h"

#include <exception>
#include <utility>

#include "leader/audit_log.h"
#include "leader/jobs/open_record.h"

namespace seampass::leader {

using state::Urgency;

JobLifecycle::JobLifecycle(const LeaderContext& context, const Parts& parts, Hooks hooks)
    : context_(context), parts_(parts), hooks_(std::move(hooks)) {}

void JobLifecycle::end_term() {
  for (const auto& [id, job] : parts_.jobs)
    for (const auto& waiter : job->waiters) waiter({});
  parts_.jobs.clear();
}

// ---- Acceptance ----

void JobLifecycle::apply_open_record(const std::string& id, const wire::Json& record,
                                     state::Version version) {
  if (!context_.term.active() || parts_.jobs.contains(id)) return;
  // A message about an accepted job can arrive after the job has ended, so a job whose final status
  // is known to be written is ignored. If the cache no longer has that final status, the job is
  // added here, but none of its tasks can start: the transaction that would assign them compares
  // ends/<id> and so finds the final status. The check asks for a written status, since a job that
  // depends on a cancelled job may be in the cache as cancelled before its own final status is
  // written.
  if (parts_.status_reader.known_written(id)) return;
  JobRecord job;
  try {
    OpenRecord open = decode_open_record(record);
    job.spec = std::move(open.job);
    job.created_ms = open.created_ms;
  } catch (const std::exception& error) {
    audit::unreadable_job(id, error.what());
    return;
  }
  if (job.spec.id != id) return;
  job.open_version = version;
  job.claimed.assign(job.spec.tasks, false);
  job.finished.assign(job.spec.tasks, false);
  job.ready_ms = job.created_ms;
  audit::queued(job.spec);
  const JobRecord& added = parts_.jobs.add(std::move(job));
  // A job with dependencies is submitted only after all controllers run the new version, so it
  // shows that the upgrade is complete.
  if (!added.spec.dependencies.empty()) parts_.cluster.finalize();
  parts_.dependencies.add(added.spec);
  if (parts_.dependencies.graph().ready(id)) hooks_.record_arrival(added);
  hooks_.request_scheduling_pass();
}

// ---- Dependencies ----

void JobLifecycle::on_ready(const std::string& id, const std::string& last_dependency) const {
  JobRecord* job = parts_.jobs.find(id);
  if (!job) return;
  job->ready_ms = context_.runtime.unix_time_ms();
  audit::ready(id, last_dependency);
  hooks_.record_arrival(*job);
  hooks_.request_scheduling_pass();
}

// A job whose dependencies are not all done has no attempts, so there is nothing to stop. It counts
// as cancelled from now on, even if its own final status can't be written, because the records of
// its dependencies imply the cancellation.
void JobLifecycle::cancel_dependent(const std::string& id) {
  JobRecord* job = parts_.jobs.find(id);
  if (!job || job->ended()) return;
  job->advance_to(Lifecycle::stopping);
  job->reservations.clear();
  audit::cancelled_with_dependency(id);
  answer_waiters(*job, status_of(*job));
  erase_if_settled(id);
}

bool JobLifecycle::upstream_cancelled(const JobRecord& job) const {
  return parts_.dependencies.graph().cancelled(job.spec.id);
}

// ---- Ending a job ----

// Stops all attempts of the job. Clients see the cancellation only once every attempt is proven
// absent. After a failover, the next leader therefore has no task of a cancelled job to stop and no
// late start to prevent, even if messages are refused, lost or delayed at that time
// (docs/safety.md, "Cancellations").
void JobLifecycle::cancel(JobRecord& job) {
  job.advance_to(Lifecycle::stopping);
  job.reservations.clear();
  const std::string id = job.spec.id;
  parts_.attempts.stop_all(job, 0, audit::StopReason::job_over, StopScope::all);
  erase_if_settled(id);
}

void JobLifecycle::conclude_if_complete(JobRecord& job) {
  if (!job.final_status_decided() && job.all_finished()) conclude(job);
}

void JobLifecycle::conclude(JobRecord& job) {
  job.advance_to(Lifecycle::writing_final_status);
  job.reservations.clear();
  const std::string id = job.spec.id;
  const wire::Stage stage = job.all_finished() ? wire::Stage::done : wire::Stage::cancelled;
  // If the job is cancelled because of a dependency, its cancellation follows from the final status
  // of that dependency. No client waits for its own final status, so the write is less urgent.
  const Urgency urgency = upstream_cancelled(job) ? Urgency::progress : Urgency::final_status;
  parts_.records.write_final_status(
      id, job.open_version, stage, job.finished_count, urgency,
      [this, id](wire::Stage stored_stage) { on_final_status_durable(id, stored_stage); });
}

void JobLifecycle::on_final_status_durable(const std::string& id, wire::Stage stage) {
  JobRecord* job = parts_.jobs.find(id);
  if (!job) return;
  job->advance_to(Lifecycle::ended);
  job->stage = stage;
  const rpc::JobReply answer = status_of(*job);
  parts_.status_reader.remember(answer.status, jobs::JobStatusReader::Source::written);
  answer_waiters(*job, answer);
  parts_.attempts.stop_all(*job, 0, audit::StopReason::job_over);
  erase_if_settled(id);
  // The dependents are updated only now that the final status is durable. Otherwise the next leader
  // could find a dependent running although it does not know that the dependency is done, or find a
  // dependent queued although the dependency is cancelled.
  parts_.dependencies.on_final_status(id, stage);
  hooks_.request_scheduling_pass();
}

// A cancelled job ends once every attempt is proven absent. An ended job stays in the table until
// every attempt is proven absent and its task records are deleted.
void JobLifecycle::erase_if_settled(const std::string& id) {
  JobRecord* job = parts_.jobs.find(id);
  // An unreadable task record may contain attempts that are running.
  if (!job || !job->attempts.empty() || job->has_unreadable_record) return;
  if (job->lifecycle() == Lifecycle::stopping) conclude(*job);
  if (!job->ended()) return;
  const auto erase = [this, id] {
    if (!parts_.jobs.contains(id) || !parts_.records.no_task_records_left(id)) return;
    parts_.records.forget(id);
    parts_.jobs.erase(id);
  };
  for (const RecordId& record : parts_.records.records(id))
    parts_.records.write(id, record, Urgency::progress, erase);
  erase();
}

// ---- Answers to clients ----

rpc::JobReply JobLifecycle::status_of(const JobRecord& job) const {
  rpc::JobReply reply;
  reply.lookup = rpc::Lookup::found;
  reply.status.id = job.spec.id;
  reply.status.done = job.finished_count;
  reply.status.running = job.ended() ? 0 : job.running_attempts;
  reply.status.stage = job.ended()                ? job.stage
                       : upstream_cancelled(job)  ? wire::Stage::cancelled
                       : job.running_attempts > 0 ? wire::Stage::running
                                                  : wire::Stage::queued;
  return reply;
}

void JobLifecycle::answer_waiters(JobRecord& job, const rpc::JobReply& answer) {
  for (const auto& waiter : std::exchange(job.waiters, {})) waiter(answer);
}

}  // namespace seampass::leader
