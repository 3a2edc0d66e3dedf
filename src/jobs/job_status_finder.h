// Finds the status of a job: in the cache, else by asking the leader, else by reading the state
// service. It writes each answer other than `unavailable`, and its source, to the audit log. It
// owns no state; any handler of requests may call it.
#pragma once

#include <string>

#include "jobs/job_status_reader.h"
#include "jobs/leader_client.h"

namespace seampass::jobs {

class JobStatusFinder {
 public:
  // A status query may fail if the state service is busy, because the user can retry it. An
  // acceptance needs the status, so its read waits for its turn instead.
  enum class Purpose { status_query, acceptance };

  JobStatusFinder(JobStatusReader& status_reader, LeaderClient& leader)
      : status_reader_(status_reader), leader_(leader) {}

  // Calls `on_found` exactly once, possibly before this function returns.
  void find(const std::string& job, Purpose purpose, const JobReplyHandler& on_found);

 private:
  void read_store(const std::string& job, Purpose purpose, const JobReplyHandler& on_found);

  JobStatusReader& status_reader_;
  LeaderClient& leader_;
};

}  // namespace seampass::jobs
