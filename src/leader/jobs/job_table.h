// The table of the leader's jobs: all open jobs, and each ended job until none of its attempts and
// task records is left.
//
// The class owns the JobRecords. A JobRecord keeps its address until it is erased, so attempts and
// other parts of the leader may point to it. A call that can end a job can also erase its
// JobRecord, so a caller must find the job again by its id afterwards. Only the leader's event loop
// uses it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "leader/ids.h"
#include "leader/jobs/job_record.h"

namespace seampass::leader {

class JobTable {
 public:
  using Map = std::map<std::string, std::unique_ptr<JobRecord>>;  // by the job's id

  // Null if there is no such job.
  [[nodiscard]] JobRecord* find(const std::string& id) const;
  [[nodiscard]] bool contains(const std::string& id) const { return jobs_.contains(id); }
  // Null if the task has no attempt; with an AttemptId, also if its attempt has another number.
  [[nodiscard]] TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) const;
  [[nodiscard]] TaskAttempt* find_attempt(const AttemptId& id) const;

  // Adds a job under the id in its specification. The job must not be in the table yet.
  JobRecord& add(JobRecord job);
  void erase(const std::string& id) { jobs_.erase(id); }
  void clear() { jobs_.clear(); }

  // Iterates over the jobs in the order of their ids. Scheduling decisions are made in this order.
  [[nodiscard]] Map::const_iterator begin() const { return jobs_.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return jobs_.end(); }
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

 private:
  Map jobs_;
};

}  // namespace seampass::leader
