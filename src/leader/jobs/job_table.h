// The jobs that the leader knows: open ones, and ended ones until none of their attempts and
// records is left.
//
// Owns the JobRecords. A record stays where it is in memory until it is erased, so that attempts
// and parts of the leader may point to it; whatever can end a job can erase it, so that a caller
// finds it again by name after that. Used by the leader's loop only.
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
  // Null if the task has no attempt, or another than this one.
  [[nodiscard]] TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) const;
  [[nodiscard]] TaskAttempt* find_attempt(const AttemptId& id) const;

  // Takes a job that is not in the table yet, under the id in its specification.
  JobRecord& add(JobRecord job);
  void erase(const std::string& id) { jobs_.erase(id); }
  void clear() { jobs_.clear(); }

  // In the order of their ids: decisions are made in this order.
  [[nodiscard]] Map::const_iterator begin() const { return jobs_.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return jobs_.end(); }
  [[nodiscard]] std::size_t size() const { return jobs_.size(); }

 private:
  Map jobs_;
};

}  // namespace seampass::leader
