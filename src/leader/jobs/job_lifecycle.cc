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
  // News of an acceptance can be older than the job's end. (A final status that has left this cache
  // is still found: the transaction that would assign its tasks compares ends/<id>. One that
  // depends on a cancelled job may be known as cancelled before its end is written.)
  if (parts_.status_reader.written(id)) return;
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
  // Nobody submits such a job before all controllers are new.
  if (!added.spec.dependencies.empty()) parts_.cluster.finalize();
  parts_.dependencies.add(added.spec);
  if (parts_.dependencies.graph().ready(id)) hooks_.record_arrival(added);
  hooks_.request_pass();
}

// ---- Dependencies ----

void JobLifecycle::on_ready(const std::string& id, const std::string& last_dependency) const {
  JobRecord* job = parts_.jobs.find(id);
  if (!job) return;
  job->ready_ms = context_.runtime.wall();
  audit::ready(id, last_dependency);
  hooks_.record_arrival(*job);
  hooks_.request_pass();
}

// It never began, so there is nothing to stop. It counts as cancelled from now on, whether its own
// end can be written or not: that follows from the records of what it depends on.
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

// ---- The end ----

// All of it is stopped, and nobody is told of a cancellation before it is off everywhere. So
// whoever leads next, whatever is refused, lost or late then: no task is left that would have to be
// stopped, and no start that would have to be caught.
void JobLifecycle::cancel(JobRecord& job) {
  job.advance_to(Lifecycle::stopping);
  job.reservations.clear();
  const std::string id = job.spec.id;
  parts_.attempts.stop_all(job, 0, audit::StopReason::job_over, StopScope::all);
  erase_if_settled(id);
}

void JobLifecycle::conclude_if_complete(JobRecord& job) {
  if (!job.final_status_written() && job.all_finished()) conclude(job);
}

void JobLifecycle::conclude(JobRecord& job) {
  job.advance_to(Lifecycle::writing_final_status);
  job.reservations.clear();
  const std::string id = job.spec.id;
  const wire::Stage stage = job.all_finished() ? wire::Stage::done : wire::Stage::cancelled;
  // What is cancelled with another follows from that one's end: nobody waits for its own.
  const Urgency urgency = upstream_cancelled(job) ? Urgency::progress : Urgency::final_status;
  parts_.records.write_final_status(id, job.open_version, stage, job.finished_count, urgency,
                                    [this, id](wire::Stage actual) { on_ended(id, actual); });
}

void JobLifecycle::on_ended(const std::string& id, wire::Stage stage) {
  JobRecord* job = parts_.jobs.find(id);
  if (!job) return;
  job->advance_to(Lifecycle::ended);
  job->stage = stage;
  const rpc::JobReply answer = status_of(*job);
  parts_.status_reader.remember(answer.status, jobs::JobStatusReader::Source::written);
  answer_waiters(*job, answer);
  parts_.attempts.stop_all(*job, 0, audit::StopReason::job_over);
  erase_if_settled(id);
  // Only now that it is durable: the next leader must not find a dependent at work on a job that it
  // does not know to be done, or queued behind one that is cancelled.
  parts_.dependencies.on_final_status(id, stage);
  hooks_.request_pass();
}

// A cancelled job ends once every task is off; an ended one stays until then, and until its records
// are gone.
void JobLifecycle::erase_if_settled(const std::string& id) {
  JobRecord* job = parts_.jobs.find(id);
  // (An unreadable record may hold attempts that are at work.)
  if (!job || !job->attempts.empty() || job->unreadable) return;
  if (job->lifecycle() == Lifecycle::stopping) conclude(*job);
  if (!job->ended()) return;
  const auto erase = [this, id] {
    if (!parts_.jobs.contains(id) || !parts_.records.settled(id)) return;
    parts_.records.forget(id);
    parts_.jobs.erase(id);
  };
  for (const RecordId& record : parts_.records.records(id))
    parts_.records.write(id, record, Urgency::progress, erase);
  erase();
}

// ---- Answers ----

rpc::JobReply JobLifecycle::status_of(const JobRecord& job) const {
  rpc::JobReply reply;
  reply.lookup = rpc::Lookup::found;
  reply.status.id = job.spec.id;
  reply.status.done = job.finished_count;
  reply.status.running = job.ended() ? 0 : job.running;
  reply.status.stage = job.ended()               ? job.stage
                       : upstream_cancelled(job) ? wire::Stage::cancelled
                       : job.running > 0         ? wire::Stage::running
                                                 : wire::Stage::queued;
  return reply;
}

void JobLifecycle::answer_waiters(JobRecord& job, const rpc::JobReply& answer) {
  for (const auto& waiter : std::exchange(job.waiters, {})) waiter(answer);
}

}  // namespace seampass::leader
