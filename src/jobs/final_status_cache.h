// A bounded cache of final statuses, which never change: the least recently used goes first. It
// belongs to the JobStatusReader and is used on this node's loop alone.
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
  // Whether the job's own final status is known to be in the store, or only that of a job which it
  // depends on, from which its own follows.
  enum class Source { written, derived };

  explicit FinalStatusCache(std::size_t max_entries) : max_entries_(max_entries) {}

  // The job's final status, if it is cached. Counts as a use.
  [[nodiscard]] std::optional<wire::JobStatus> find(const std::string& job);
  // Whether it is cached and known to be written.
  [[nodiscard]] bool written(const std::string& job) const;
  // Of a job that is cached already, only the source can change: from derived to written.
  void remember(const wire::JobStatus& status, Source source);

 private:
  struct Entry {
    wire::JobStatus status;
    Source source = Source::written;
  };

  std::size_t max_entries_;
  std::list<Entry> entries_;  // the least recently used last
  std::unordered_map<std::string, std::list<Entry>::iterator> by_job_;
};

}  // namespace seampass::jobs
