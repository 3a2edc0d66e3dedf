// Finds out what is known of a job: from the cache, else from the leader, else from the store. Owns
// no state; any handler of requests may call it. Writes what the answer rests on to the audit log.
#pragma once

#include <string>

#include "jobs/job_status_reader.h"
#include "jobs/leader_client.h"

namespace seampass::jobs {

class JobStatusFinder {
 public:
  // Whoever polls can be told to come again, so that the store may be too busy for it; an
  // acceptance has to know.
  enum class Purpose { poll, acceptance };

  JobStatusFinder(JobStatusReader& status_reader, LeaderClient& leader)
      : status_reader_(status_reader), leader_(leader) {}

  // Replied to once, perhaps before the call returns.
  void find(const std::string& job, Purpose purpose, const JobReplyHandler& on_found);

 private:
  void read_store(const std::string& job, Purpose purpose, const JobReplyHandler& on_found);

  JobStatusReader& status_reader_;
  LeaderClient& leader_;
};

}  // namespace seampass::jobs
