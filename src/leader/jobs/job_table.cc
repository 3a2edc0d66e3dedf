#include "leader/jobs/job_table.h"

#include <utility>

namespace seampass::leader {

JobRecord* JobTable::find(const std::string& id) const {
  const auto entry = jobs_.find(id);
  return entry == jobs_.end() ? nullptr : entry->second.get();
}

TaskAttempt* JobTable::find_attempt(const std::string& job, std::uint32_t task) const {
  JobRecord* record = find(job);
  if (!record) return nullptr;
  const auto attempt = record->attempts.find(task);
  return attempt == record->attempts.end() ? nullptr : &attempt->second;
}

TaskAttempt* JobTable::find_attempt(const AttemptId& id) const {
  TaskAttempt* attempt = find_attempt(id.job, id.task);
  return attempt && attempt->number == id.attempt ? attempt : nullptr;
}

JobRecord& JobTable::add(JobRecord job) {
  const std::string id = job.spec.id;
  return *jobs_.emplace(id, std::make_unique<JobRecord>(std::move(job))).first->second;
}

}  // namespace seampass::leader
