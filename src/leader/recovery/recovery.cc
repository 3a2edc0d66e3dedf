// The Controller's take-over: what the records say, then news of accepted jobs.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using state::Outcome;

void Controller::list_records(const std::string& prefix, const std::string& after, bool first) {
  const std::uint64_t term = term_;
  state_.list(prefix, after, [this, term, prefix, after, first](const state::ListResult& r) {
    if (term != term_) return;
    if (r.outcome != Outcome::ok) {
      runtime_.after(net::ms(settings_.heartbeat_interval_s / 10),
                     [this, term, prefix, after, first] {
                       if (term == term_) list_records(prefix, after, first);
                     });
      return;
    }
    const bool open = prefix == "open/";
    // Jobs accepted from here on come by the watch.
    if (open && first) {
      watched_ = r.revision;
      if (listed_ == 0) listed_ = r.revision;
    }
    for (const state::Item& item : r.items) {
      if (open)
        apply_open_record(item.key.substr(prefix.size()), item.value, item.version);
      else
        collect_record(item);
    }
    if (r.more && !r.items.empty()) return list_records(prefix, r.items.back().key, false);
    if (open && loaded_) return watch();  // listed again after the watch had fallen behind
    if (open) return list_records("work/", "", true);
    apply_collected_records();
    complete_recovery();
  });
}

// Everything is listed: what the former leader left half done is settled, and scheduling begins.
void Controller::complete_recovery() {
  loaded_ = true;
  scheduling_.allow_passes();
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) ids.push_back(id);
  for (const std::string& id : ids) {
    JobRecord* job = find_job(id);
    if (!job) continue;
    if (job->ended) {
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
                                   [](const auto& entry) { return entry.second->ended; });
  std::size_t attempts = 0;
  for (const auto& [id, job] : jobs_) attempts += job->attempts.size();
  audit::recovery_ended(election_.epoch(), listed_, jobs_.size() - static_cast<std::size_t>(ended),
                        static_cast<std::size_t>(ended), attempts, runtime_.now() - began_);
  dependencies_.complete_listing();
  watch();
  request_pass();
}

// Records come in the order of their keys, a job's chunks before its segments.
void Controller::collect_record(const state::Item& item) {
  constexpr std::string_view prefix = "work/";
  const std::string rest = item.key.substr(prefix.size());
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return;
  const std::string id = rest.substr(0, slash);
  if (id != collected_job_) apply_collected_records();
  collected_job_ = id;
  const auto record_id = record_id_from(std::string_view(rest).substr(slash + 1));
  try {
    if (!record_id) throw wire::Malformed("no record's name");
    collected_.push_back(decode_task_record(*record_id, item.value, layout_));
    records_.add_existing(id, *record_id, item.version);
  } catch (const wire::Malformed& error) {
    // It may hold attempts that are at work: not taken for none.
    spdlog::error("unreadable record {}, {} is not scheduled: {}", item.key, id, error.what());
    if (JobRecord* job = find_job(id)) job->unreadable = true;
  }
}

// A segment counts before a chunk, for all tasks in its range: it is newer, whatever the chunk
// says.
void Controller::apply_collected_records() {
  std::vector<TaskRecord> records = std::exchange(collected_, {});
  if (records.empty()) return;
  JobRecord* known = find_job(collected_job_);
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
  auto job = std::make_unique<JobRecord>();
  job->spec.id = id;
  job->spec.team = record.team;
  job->spec.cpus = record.request.cpus;
  job->spec.gpus = record.request.gpus;
  job->spec.memory_gb = record.request.memory_gb;
  job->spec.tasks = record.job_tasks;
  job->ending = job->concluding = job->ended = true;
  job->claimed.assign(job->spec.tasks, true);
  job->finished.assign(job->spec.tasks, false);
  return *jobs_.emplace(id, std::move(job)).first->second;
}

void Controller::apply_record(JobRecord& job, const TaskRecord& record,
                              const std::vector<bool>& covered) {
  const auto is_other = [&](std::uint32_t task) { return task >= job.spec.tasks || covered[task]; };
  job.last_attempt = std::max(job.last_attempt, record.last_attempt);
  for (std::uint32_t i = 0; i < record.finished.size(); ++i) {
    const std::uint32_t task = record.range.first + i;
    if (record.finished[i] && !is_other(task)) finish_task(job, task);
  }
  for (const Assignment& assigned : record.assignments) {
    if (is_other(assigned.task) || job.attempts.contains(assigned.task)) continue;
    TaskAttempt& attempt = attempts_.add(job, assigned.task, assigned.attempt,
                                         fleet_.ensure(assigned.machine), assigned.incarnation);
    attempt.durable = attempt.sent = true;
  }
}

void Controller::watch() {
  const std::uint64_t term = term_;
  state_.watch("open/", watched_, net::ms(settings_.lease_s),
               [this, term](const state::WatchResult& r) {
                 if (term != term_) return;
                 if (r.outcome == Outcome::missing) {
                   // Too far behind: list again. Jobs known already are not touched.
                   return list_records("open/", "", true);
                 }
                 if (r.outcome != Outcome::ok) {
                   runtime_.after(net::ms(settings_.heartbeat_interval_s / 10), [this, term] {
                     if (term == term_) watch();
                   });
                   return;
                 }
                 watched_ = r.revision;
                 for (const state::Event& e : r.events)
                   if (e.value) apply_open_record(e.key.substr(5), *e.value, e.version);
                 watch();
               });
}

}  // namespace seampass::leader
