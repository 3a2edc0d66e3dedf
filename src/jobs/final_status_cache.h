// A bounded cache of the final statuses of jobs. A final status never changes, so no entry becomes
// stale; a full cache evicts the least recently used entry. The JobStatusReader owns the cache,
// which is used on this node's event loop only.
#pragma once

#include <cstddef>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "wire/types.h"

namespace seampass::jobs {

class FinalStatusCache {
 public:
  // How a final status is known. `written`: the job's own final status is known to be in the state
  // service. `derived`: it follows from the final status of a job that this job depends on, and the
  // job's own final status may not be written yet.
  enum class Source { written, derived };

  explicit FinalStatusCache(std::size_t max_entries) : max_entries_(max_entries) {}

  // Returns the job's final status if it is cached, and marks the entry as the most recently used.
  [[nodiscard]] std::optional<wire::JobStatus> find(const std::string& job);
  // Returns whether the job's final status is cached with the source `written`.
  [[nodiscard]] bool known_written(const std::string& job) const;
  // Adds a final status. If the job is cached already, only the source of its entry can change, and
  // only from `derived` to `written`.
  void remember(const wire::JobStatus& status, Source source);

 private:
  struct Entry {
    wire::JobStatus status;
    Source source = Source::written;
  };

  std::size_t max_entries_;
  std::list<Entry> entries_;  // ordered from the most to the least recently used
  std::unordered_map<std::string, std::list<Entry>::iterator> by_job_;
};

}  // namespace seampass::jobs
