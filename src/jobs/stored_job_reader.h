// Reads what the state service holds of one job: its open record, or its final status. Owns no
// state; final statuses that it reads go into the cache. Used by the JobStatusReader and its
// UpstreamWalk.
#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/final_status_cache.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

// A job that was accepted and has no final status of its own.
struct OpenJob {
  state::Item record;
  std::vector<std::string> dependencies;
};
struct EndedJob {
  wire::JobStatus status;
};
// The store has no record of it: it was never accepted.
struct JobNotFound {};
// The store did not answer, or its record could not be read: nothing is known of the job.
struct JobUnavailable {};

using StoredJob = std::variant<OpenJob, EndedJob, JobNotFound, JobUnavailable>;

class StoredJobReader {
 public:
  using Done = std::function<void(StoredJob)>;

  StoredJobReader(state::Client& state, FinalStatusCache& cache) : state_(state), cache_(cache) {}

  // Reads the open record, and if there is none the final status.
  void read(const std::string& job, Done done);
  // Reads the final status alone: an open job is not found.
  void read_final_status(const std::string& job, Done done);

 private:
  StoredJob on_final_status(const std::string& job, const state::GetResult& result);

  state::Client& state_;
  FinalStatusCache& cache_;
};

}  // namespace seampass::jobs
