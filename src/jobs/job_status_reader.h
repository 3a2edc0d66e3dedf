// Reads the status of jobs from the state service, through a bounded cache of final statuses. Each
// node has one reader; the handlers of users' requests and the components of the leader call it on
// the node's event loop. Every function that takes a `done` callback calls it exactly once,
// possibly before the function returns.
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

  // `max_cached`: the maximum number of final statuses in the cache.
  JobStatusReader(state::Client& state, std::size_t max_cached)
      : state_(state), cache_(max_cached), reader_(state, cache_) {}

  // Returns the job's final status if it is cached.
  [[nodiscard]] std::optional<wire::JobStatus> final_status(const std::string& job) {
    return cache_.find(job);
  }
  // Returns whether the job's own final status is cached and known to be in the state service. A
  // status that is derived from a cancelled dependency does not count.
  [[nodiscard]] bool known_written(const std::string& job) const {
    return cache_.known_written(job);
  }
  // Adds a final status to the cache (see FinalStatusCache::remember).
  void remember(const wire::JobStatus& status, Source source) { cache_.remember(status, source); }

  // Reads a job for a user's status query. The result is `unavailable`, without waiting, if the
  // state service has no capacity left for status queries.
  void query(const std::string& job, const Done& done);
  // Reads a job for the work of the controllers, whose reads are always admitted and wait for their
  // turn.
  void read(const std::string& job, const Done& done);
  // Reads a job that has probably ended. Reads its final status first, so that a job that has ended
  // takes a single request.
  void read_final_status_first(const std::string& job, const Done& done);

 private:
  void read_open(const std::string& job, UpstreamWalk::Budget budget, const Done& done);

  state::Client& state_;
  FinalStatusCache cache_;
  StoredJobReader reader_;
};

}  // namespace seampass::jobs
