// Reads the status of jobs from the state service, through a bounded cache of final statuses. Each
// node has one reader; the handlers of users' requests and the components of the leader call it on
// the node's event loop. Every function that takes a `done` callback calls it exactly once,
// possibly before the function returns.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobs/final_status_cache.h"
#include "jobs/job_lookup.h"
#include "jobs/query_queue.h"
#include "jobs/stored_job_reader.h"
#include "jobs/upstream_walk.h"
#include "net/runtime.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

class JobStatusReader {
 public:
  using Source = FinalStatusCache::Source;
  using Done = std::function<void(const JobLookup&)>;

  // `max_cached`: the maximum number of final statuses in the cache. `max_query_wait`: the longest
  // time in ms that a status query waits for its turn to read the state service.
  JobStatusReader(net::Runtime& runtime, state::Client& state, std::size_t max_cached,
                  net::Ms max_query_wait)
      : state_(state),
        cache_(max_cached),
        reader_(state, cache_),
        queries_(runtime, state, max_query_wait) {}

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

  // Reads a job for a user's status query, which may have to wait for its turn. The result is
  // `unavailable` if it has none in time.
  void query(const std::string& job, const Done& done);
  // Like query(), but the result is `unavailable` if the query would have to wait.
  void query_without_waiting(const std::string& job, const Done& done);
  // Reads a job for the work of the controllers, whose reads are always admitted and wait for their
  // turn.
  void read(const std::string& job, const Done& done);
  // Reads a dependency, which has probably ended. Reads its final status first, so that a job that
  // has ended takes a single request. A new leader may have thousands of dependencies to read, so
  // these reads come after those that a user waits for.
  void read_final_status_first(const std::string& job, const Done& done);

 private:
  void on_turn(const std::string& job, QueryQueue::Turn turn);
  void read_open(const std::string& job, UpstreamWalk::Budget budget, const Done& done);

  state::Client& state_;
  FinalStatusCache cache_;
  StoredJobReader reader_;
  QueryQueue queries_;
  std::map<std::string, std::vector<Done>> waiting_queries_;  // by job
};

}  // namespace seampass::jobs
