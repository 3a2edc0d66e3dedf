#include "leader/recovery/recovery.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "leader/audit_log.h"
#include "leader/records/keys.h"

namespace seampass::leader {

Recovery::Recovery(const LeaderContext& context, state::Client& state, const Parts& parts,
                   Hooks hooks)
    : context_(context),
      parts_(parts),
      hooks_(std::move(hooks)),
      listing_(context, state, kWorkPrefix,
               {[this](const state::ListResult& page, PrefixListing::PagePosition) {
                  for (const state::Item& item : page.items) collect_record(item);
                },
                [this] {
                  apply_collected_records();
                  complete();
                }}) {}

void Recovery::end_term() {
  collected_records_.clear();
  collected_job_.clear();
}

void Recovery::complete() {
  hooks_.on_records_read();
  finish_interrupted_steps();
  log_recovery();
  parts_.dependencies.complete_listing();
  parts_.watcher.watch();
  hooks_.request_scheduling_pass();
}

// Completes the steps that the former leader left unfinished. Each step can erase jobs from the job
// table, so the loop runs over a copy of the job ids and looks up each job again.
void Recovery::finish_interrupted_steps() {
  std::vector<std::string> ids;
  for (const auto& [id, job] : parts_.jobs) ids.push_back(id);
  for (const std::string& id : ids) {
    JobRecord* job = parts_.jobs.find(id);
    if (!job) continue;
    if (job->ended()) {
      for (auto& [task, attempt] : job->attempts) attempt.stop_requested = true;
      parts_.job_lifecycle.erase_if_settled(id);
      continue;
    }
    // The records contain only a part of the gang's attempt: the former leader stopped leading
    // before it had started the whole attempt.
    if (job->gang() && !job->attempts.empty() &&
        job->attempts.size() + job->finished_count < job->spec.tasks)
      parts_.attempt_lifecycle.stop_incomplete_gang(*job);
    parts_.job_lifecycle.conclude_if_complete(*job);
  }
}

void Recovery::log_recovery() const {
  std::size_t ended_jobs = 0;
  std::size_t attempts = 0;
  for (const auto& [id, job] : parts_.jobs) {
    ended_jobs += job->ended() ? 1 : 0;
    attempts += job->attempts.size();
  }
  audit::recovery_ended(context_.election.epoch(), parts_.watcher.first_listing_revision(),
                        parts_.jobs.size() - ended_jobs, ended_jobs, attempts,
                        context_.runtime.now() - context_.term.began_at());
}

// Decodes one task record and collects it until all records of its job are read. Records arrive in
// the order of their keys: all records of one job follow one another, its chunks before its
// segments.
void Recovery::collect_record(const state::Item& item) {
  const auto key = parse_work_key(item.key);
  if (!key) return;
  const std::string& id = key->job;
  if (id != collected_job_) apply_collected_records();
  collected_job_ = id;
  try {
    if (!key->record) throw wire::Malformed("no record's name");
    collected_records_.push_back(
        decode_task_record(*key->record, item.value, parts_.task_records.layout()));
    parts_.records.add_existing(id, *key->record, item.version);
  } catch (const wire::Malformed& error) {
    // The record may contain attempts that are still running. Therefore the job is marked as
    // unreadable and is not treated as a job without attempts.
    audit::unreadable_task_record(item.key, id, error.what());
    if (JobRecord* job = parts_.jobs.find(id)) job->has_unreadable_record = true;
  }
}

// Applies the collected records of one job. For every task in its range, a segment takes precedence
// over a chunk, whatever the chunk contains, because the segment is newer.
void Recovery::apply_collected_records() {
  std::vector<TaskRecord> records = std::exchange(collected_records_, {});
  if (records.empty()) return;
  JobRecord* existing_job = parts_.jobs.find(collected_job_);
  JobRecord& job = existing_job ? *existing_job : add_ended_job(collected_job_, records.front());
  const auto first_chunk = std::stable_partition(
      records.begin(), records.end(),
      [](const TaskRecord& record) { return record.id.layout == Layout::segments; });
  std::vector<bool> covered(job.spec.tasks, false);
  const auto apply = [&](const TaskRecord& record) { apply_record(job, record, covered); };
  std::for_each(records.begin(), first_chunk, apply);
  std::for_each(records.begin(), first_chunk, [&](const TaskRecord& record) {
    for (std::uint32_t task = record.range.first; task < record.range.end; ++task)
      if (task < job.spec.tasks) covered[task] = true;
  });
  std::for_each(first_chunk, records.end(), apply);
  audit::recovered_job(job.spec.id, {job.ended(), records.size(), job.attempts.size()});
}

// Adds a job that has task records but is not open: the job has ended, but some of its attempts
// were not yet proven absent from their machines.
JobRecord& Recovery::add_ended_job(const std::string& id, const TaskRecord& record) {
  JobRecord job;
  job.spec.id = id;
  job.spec.team = record.team;
  job.spec.cpus = record.request.cpus;
  job.spec.gpus = record.request.gpus;
  job.spec.memory_gb = record.request.memory_gb;
  job.spec.tasks = record.job_tasks;
  job.advance_to(Lifecycle::ended);
  job.claimed.assign(job.spec.tasks, true);
  job.finished.assign(job.spec.tasks, false);
  return parts_.jobs.add(std::move(job));
}

void Recovery::apply_record(JobRecord& job, const TaskRecord& record,
                            const std::vector<bool>& covered) {
  const auto must_skip = [&](std::uint32_t task) {
    return task >= job.spec.tasks || covered[task];
  };
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (std::uint32_t i = 0; i < record.finished.size(); ++i) {
    const std::uint32_t task = record.range.first + i;
    if (record.finished[i] && !must_skip(task)) job.finish_task(task);
  }
  for (const Assignment& assignment : record.assignments) {
    if (must_skip(assignment.task) || job.attempts.contains(assignment.task)) continue;
    TaskAttempt& attempt =
        parts_.attempt_tracker.add(job, assignment.task, assignment.attempt,
                                   parts_.fleet.ensure(assignment.machine), assignment.incarnation);
    attempt.durable = attempt.start_sent = true;
  }
}

}  // namespace seampass::leader
