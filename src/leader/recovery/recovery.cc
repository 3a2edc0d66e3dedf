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
  collected_.clear();
  collected_job_.clear();
}

void Recovery::complete() {
  hooks_.records_read();
  settle_unfinished();
  log_outcome();
  parts_.dependencies.complete_listing();
  parts_.watcher.watch();
  hooks_.request_pass();
}

// What the former leader left half done. Each step can erase jobs, so this goes by name.
void Recovery::settle_unfinished() {
  std::vector<std::string> ids;
  for (const auto& [id, job] : parts_.jobs) ids.push_back(id);
  for (const std::string& id : ids) {
    JobRecord* job = parts_.jobs.find(id);
    if (!job) continue;
    if (job->ended()) {
      for (auto& [task, attempt] : job->attempts) attempt.stop = true;
      parts_.lifecycle.erase_if_settled(id);
      continue;
    }
    // Half an attempt in the records: the former leader did not get to start it all.
    if (job->gang() && !job->attempts.empty() &&
        job->attempts.size() + job->finished_count < job->spec.tasks)
      parts_.attempts.stop_incomplete_gang(*job);
    parts_.lifecycle.conclude_if_complete(*job);
  }
}

void Recovery::log_outcome() const {
  std::size_t ended = 0;
  std::size_t attempts = 0;
  for (const auto& [id, job] : parts_.jobs) {
    ended += job->ended() ? 1 : 0;
    attempts += job->attempts.size();
  }
  audit::recovery_ended(context_.election.epoch(), parts_.watcher.first_listed(),
                        parts_.jobs.size() - ended, ended, attempts,
                        context_.runtime.now() - context_.term.began());
}

// Records come in the order of their keys, a job's chunks before its segments.
void Recovery::collect_record(const state::Item& item) {
  const auto key = parse_work_key(item.key);
  if (!key) return;
  const std::string& id = key->job;
  if (id != collected_job_) apply_collected_records();
  collected_job_ = id;
  try {
    if (!key->record) throw wire::Malformed("no record's name");
    collected_.push_back(
        decode_task_record(*key->record, item.value, parts_.task_records.layout()));
    parts_.records.add_existing(id, *key->record, item.version);
  } catch (const wire::Malformed& error) {
    // It may hold attempts that are at work: not taken for none.
    audit::unreadable_task_record(item.key, id, error.what());
    if (JobRecord* job = parts_.jobs.find(id)) job->unreadable = true;
  }
}

// A segment counts before a chunk, for all tasks in its range: it is newer, whatever the chunk
// says.
void Recovery::apply_collected_records() {
  std::vector<TaskRecord> records = std::exchange(collected_, {});
  if (records.empty()) return;
  JobRecord* known = parts_.jobs.find(collected_job_);
  JobRecord& job = known ? *known : add_ended_job(collected_job_, records.front());
  const auto chunks = std::stable_partition(
      records.begin(), records.end(),
      [](const TaskRecord& record) { return record.id.layout == Layout::segments; });
  std::vector<bool> covered(job.spec.tasks, false);
  const auto apply = [&](const TaskRecord& record) { apply_record(job, record, covered); };
  std::for_each(records.begin(), chunks, apply);
  std::for_each(records.begin(), chunks, [&](const TaskRecord& record) {
    for (std::uint32_t task = record.range.first; task < record.range.end; ++task)
      if (task < job.spec.tasks) covered[task] = true;
  });
  std::for_each(chunks, records.end(), apply);
}

// Ended, but some of its tasks were not known to be off their machines.
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
  const auto is_other = [&](std::uint32_t task) { return task >= job.spec.tasks || covered[task]; };
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (std::uint32_t i = 0; i < record.finished.size(); ++i) {
    const std::uint32_t task = record.range.first + i;
    if (record.finished[i] && !is_other(task)) job.finish_task(task);
  }
  for (const Assignment& assigned : record.assignments) {
    if (is_other(assigned.task) || job.attempts.contains(assigned.task)) continue;
    TaskAttempt& attempt =
        parts_.tracker.add(job, assigned.task, assigned.attempt,
                           parts_.fleet.ensure(assigned.machine), assigned.incarnation);
    attempt.durable = attempt.sent = true;
  }
}

}  // namespace seampass::leader
