// Determines whether an open job counts as cancelled: it walks upstream through the job's direct
// and indirect dependencies, one job at a time. Its pending read keeps the walk alive until it has
// called `done`, exactly once.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "jobs/final_status_cache.h"
#include "jobs/job_lookup.h"
#include "jobs/stored_job_reader.h"
#include "state/client.h"

namespace seampass::jobs {

class UpstreamWalk : public std::enable_shared_from_this<UpstreamWalk> {
 public:
  using Done = std::function<void(const JobLookup&)>;

  // The budget that a walk's reads are charged to. `status_queries` is the capacity of the state
  // service that is left for status queries; it may be used up, and the walk then ends with
  // `unavailable`. The reads of the others are always admitted: `controller_work` is work that a
  // user waits for, `dependencies` is what the leader has to know of jobs that others depend on.
  enum class Budget { status_queries, controller_work, dependencies };
  [[nodiscard]] static state::Urgency urgency_of(Budget budget);

  struct Context {
    state::Client& state;
    FinalStatusCache& cache;
    StoredJobReader& reader;
  };

  // Starts a walk for an open job. The result is `ended` if a job upstream is cancelled, `open`
  // only if every job upstream was checked and none is cancelled, and otherwise `unavailable`.
  static void start(const Context& context, const std::string& job, OpenJob open_job, Budget budget,
                    Done done);

  // Called by `start` only; public because std::make_shared needs it.
  UpstreamWalk(const Context& context, const std::string& job, OpenJob open_job, Budget budget,
               Done done);

 private:
  void enqueue_unseen(const std::vector<std::string>& jobs);
  void run();
  bool admit_read();
  void on_read(const std::string& job, const StoredJob& stored);
  void finish(Lookup lookup);

  Context context_;
  Budget budget_;
  Done done_;
  JobLookup result_;
  std::vector<std::string> to_visit_;
  std::unordered_set<std::string> seen_;
  int reads_ = 0;
};

}  // namespace seampass::jobs
