// Reads the record of one job from the state service: its open record or its final status. It owns
// no state and adds the final statuses that it reads to the cache. The JobStatusReader and its
// UpstreamWalk use it.
#pragma once

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "jobs/final_status_cache.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

// A job that was accepted and has no final status of its own. It counts as cancelled all the same
// if a job that it depends on is cancelled (see UpstreamWalk).
struct OpenJob {
  state::Item record;
  std::vector<std::string> dependencies;
};
// A job that has a final status.
struct EndedJob {
  wire::JobStatus status;
};
// The state service has no record of the job: it was never accepted.
struct JobNotFound {};
// The state service did not answer, or the job's record could not be decoded: the job's status is
// unknown.
struct JobUnavailable {};

using StoredJob = std::variant<OpenJob, EndedJob, JobNotFound, JobUnavailable>;

class StoredJobReader {
 public:
  using Done = std::function<void(StoredJob)>;

  StoredJobReader(state::Client& state, FinalStatusCache& cache) : state_(state), cache_(cache) {}

  // Both functions call `done` exactly once. This one reads the open record and, if there is none,
  // the final status.
  void read(const std::string& job, state::Urgency urgency, Done done);
  // Reads the final status only, so the result for an open job is JobNotFound.
  void read_final_status(const std::string& job, state::Urgency urgency, Done done);

 private:
  StoredJob on_final_status(const std::string& job, const state::GetResult& result);

  state::Client& state_;
  FinalStatusCache& cache_;
};

}  // namespace seampass::jobs
