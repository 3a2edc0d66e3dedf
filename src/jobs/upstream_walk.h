// Finds out whether an open job counts as cancelled: walks its chain of dependencies upwards, one
// job at a time. A walk owns itself and lives until it has called `done`, once.
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

  // What the reads of a walk are charged to: what the state service has left for status queries,
  // which may be nothing, or what the work of controllers needs.
  enum class Budget { queries, work };

  struct Context {
    state::Client& state;
    FinalStatusCache& cache;
    StoredJobReader& reader;
  };

  // The answer is `open` only once every job upstream was seen, and none was cancelled.
  static void start(const Context& context, const std::string& job, OpenJob open, Budget budget,
                    Done done);

  // For `start` alone.
  UpstreamWalk(const Context& context, const std::string& job, OpenJob open, Budget budget,
               Done done);

 private:
  void add(const std::vector<std::string>& jobs);
  void run();
  bool may_read();
  void on_read(const std::string& job, const StoredJob& stored);
  void finish(Lookup lookup);

  Context context_;
  Budget budget_;
  Done done_;
  JobLookup result_;
  std::vector<std::string> next_;
  std::unordered_set<std::string> seen_;
  int reads_ = 0;
};

}  // namespace seampass::jobs
