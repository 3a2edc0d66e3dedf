#include "jobs/final_status_cache.h"

namespace seampass::jobs {

std::optional<wire::JobStatus> FinalStatusCache::find(const std::string& job) {
  const auto entry = by_job_.find(job);
  if (entry == by_job_.end()) return std::nullopt;
  entries_.splice(entries_.begin(), entries_, entry->second);
  return entry->second->status;
}

bool FinalStatusCache::known_written(const std::string& job) const {
  const auto entry = by_job_.find(job);
  return entry != by_job_.end() && entry->second->source == Source::written;
}

void FinalStatusCache::remember(const wire::JobStatus& status, Source source) {
  const auto entry = by_job_.find(status.id);
  if (entry != by_job_.end()) {
    if (source == Source::written) entry->second->source = source;
    return;
  }
  entries_.push_front({status, source});
  by_job_[status.id] = entries_.begin();
  if (entries_.size() <= max_entries_) return;
  by_job_.erase(entries_.back().status.id);
  entries_.pop_back();
}

}  // namespace seampass::jobs
