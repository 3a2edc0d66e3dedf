// The Controller's take-over: what the records say, then news of accepted jobs.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/controller.h"
#include "leader/records/keys.h"

namespace seampass::leader {

using net::Ms;
using state::Outcome;

void Controller::list_records(const std::string& prefix, const std::string& after, bool first) {
  state_.list(prefix, after,
              term_.callbacks().wrap([this, prefix, after, first](const state::ListResult& r) {
                if (r.outcome != Outcome::ok) {
                  runtime_.after(net::ms(settings_.heartbeat_interval_s / 10),
                                 term_.callbacks().wrap([this, prefix, after, first] {
                                   list_records(prefix, after, first);
                                 }));
                  return;
                }
                const bool open = prefix == kOpenPrefix;
                // Jobs accepted from here on come by the watch.
                if (open && first) {
                  watched_ = r.revision;
                  if (listed_ == 0) listed_ = r.revision;
                }
                for (const state::Item& item : r.items) {
                  if (!open)
                    collect_record(item);
                  else if (const auto job = job_from_open_key(item.key))
                    apply_open_record(*job, item.value, item.version);
                }
                if (r.more && !r.items.empty())
                  return list_records(prefix, r.items.back().key, false);
                if (open && term_.recovered())
                  return watch();  // listed again after the watch had fallen behind
                if (open) return list_records(kWorkPrefix, "", true);
                apply_collected_records();
                complete_recovery();
              }));
}

// Everything is listed: what the former leader left half done is settled, and scheduling begins.
void Controller::complete_recovery() {
  term_.complete_recovery();
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) ids.push_back(id);
  for (const std::string& id : ids) {
    JobRecord* job = jobs_.find(id);
    if (!job) continue;
    if (job->ended()) {
      for (auto& [task, attempt] : job->attempts) attempt.stop = true;
      erase_if_settled(id);
      continue;
    }
    // Half an attempt in the records: the former leader did not get to start it all.
    if (job->gang() && !job->attempts.empty() &&
        job->attempts.size() + job->finished_count < job->spec.tasks)
      lost_attempt(*job);
    conclude_if_complete(*job);
  }
  const auto ended = std::count_if(jobs_.begin(), jobs_.end(),
                                   [](const auto& entry) { return entry.second->ended(); });
  std::size_t attempts = 0;
  for (const auto& [id, job] : jobs_) attempts += job->attempts.size();
  audit::recovery_ended(election_.epoch(), listed_, jobs_.size() - static_cast<std::size_t>(ended),
                        static_cast<std::size_t>(ended), attempts, runtime_.now() - term_.began());
  dependencies_.complete_listing();
  watch();
  request_pass();
}

// Records come in the order of their keys, a job's chunks before its segments.
void Controller::collect_record(const state::Item& item) {
  const auto key = parse_work_key(item.key);
  if (!key) return;
  const std::string& id = key->job;
  if (id != collected_job_) apply_collected_records();
  collected_job_ = id;
  try {
    if (!key->record) throw wire::Malformed("no record's name");
    collected_.push_back(decode_task_record(*key->record, item.value, task_records_.layout()));
    records_.add_existing(id, *key->record, item.version);
  } catch (const wire::Malformed& error) {
    // It may hold attempts that are at work: not taken for none.
    spdlog::error("unreadable record {}, {} is not scheduled: {}", item.key, id, error.what());
    if (JobRecord* job = jobs_.find(id)) job->unreadable = true;
  }
}

// A segment counts before a chunk, for all tasks in its range: it is newer, whatever the chunk
// says.
void Controller::apply_collected_records() {
  std::vector<TaskRecord> records = std::exchange(collected_, {});
  if (records.empty()) return;
  JobRecord* known = jobs_.find(collected_job_);
  JobRecord& job = known ? *known : ended_job(collected_job_, records.front());
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

// Ended, but some of its tasks were not known to be gone.
JobRecord& Controller::ended_job(const std::string& id, const TaskRecord& record) {
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
  return jobs_.add(std::move(job));
}

void Controller::apply_record(JobRecord& job, const TaskRecord& record,
                              const std::vector<bool>& covered) {
  const auto is_other = [&](std::uint32_t task) { return task >= job.spec.tasks || covered[task]; };
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (std::uint32_t i = 0; i < record.finished.size(); ++i) {
    const std::uint32_t task = record.range.first + i;
    if (record.finished[i] && !is_other(task)) job.finish_task(task);
  }
  for (const Assignment& assigned : record.assignments) {
    if (is_other(assigned.task) || job.attempts.contains(assigned.task)) continue;
    TaskAttempt& attempt = attempts_.add(job, assigned.task, assigned.attempt,
                                         fleet_.ensure(assigned.machine), assigned.incarnation);
    attempt.durable = attempt.sent = true;
  }
}

void Controller::watch() {
  state_.watch(kOpenPrefix, watched_, net::ms(settings_.lease_s),
               term_.callbacks().wrap([this](const state::WatchResult& r) {
                 if (r.outcome == Outcome::missing) {
                   // Too far behind: list again. Jobs known already are not touched.
                   return list_records(kOpenPrefix, "", true);
                 }
                 if (r.outcome != Outcome::ok) {
                   runtime_.after(net::ms(settings_.heartbeat_interval_s / 10),
                                  term_.callbacks().wrap([this] { watch(); }));
                   return;
                 }
                 watched_ = r.revision;
                 for (const state::Event& event : r.events) {
                   const auto job = job_from_open_key(event.key);
                   if (job && event.value) apply_open_record(*job, *event.value, event.version);
                 }
                 watch();
               }));
}

}  // namespace seampass::leader
