// Jobs as the state service knows them, behind a bounded cache of final statuses. One for each
// node; the handlers of users' requests and the leader's parts call it on the node's loop. `done`
// is called once, and perhaps before the call returns.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "jobs/final_status_cache.h"
#include "jobs/job_lookup.h"
#include "jobs/stored_job_reader.h"
#include "jobs/upstream_walk.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

class JobStatusReader {
 public:
  using Source = FinalStatusCache::Source;
  using Done = std::function<void(const JobLookup&)>;

  JobStatusReader(state::Client& state, std::size_t max_cached)
      : state_(state), cache_(max_cached), reader_(state, cache_) {}

  // The job's final status, if it is in the cache.
  [[nodiscard]] std::optional<wire::JobStatus> final_status(const std::string& job) {
    return cache_.find(job);
  }
  // Whether it is there, and known to be written.
  [[nodiscard]] bool written(const std::string& job) const { return cache_.written(job); }
  void remember(const wire::JobStatus& status, Source source) { cache_.remember(status, source); }

  // For a status query: `unavailable` at once if the state service has nothing left for it.
  void query(const std::string& job, const Done& done);
  void read(const std::string& job, const Done& done);
  // For a job that has probably ended: one request if it has.
  void read_ended(const std::string& job, const Done& done);

 private:
  void read_open(const std::string& job, UpstreamWalk::Budget budget, const Done& done);

  state::Client& state_;
  FinalStatusCache cache_;
  StoredJobReader reader_;
};

}  // namespace seampass::jobs
