// Answers users' status queries and cancellations. It owns no state; the ApiHandler calls it.
#pragma once

#include <string>

#include "jobs/job_status_finder.h"
#include "jobs/job_status_reader.h"
#include "jobs/leader_client.h"
#include "net/http_server.h"

namespace seampass::jobs {

class JobQueries {
 public:
  JobQueries(JobStatusReader& status_reader, JobStatusFinder& finder, LeaderClient& leader)
      : status_reader_(status_reader), finder_(finder), leader_(leader) {}

  void answer_status(const std::string& job, const net::Answer& answer);
  // Answers 200 only once the job has a final status: cancelled, or done if it completed before.
  void cancel(const std::string& job, const net::Answer& answer);

 private:
  JobStatusReader& status_reader_;
  JobStatusFinder& finder_;
  LeaderClient& leader_;
};

}  // namespace seampass::jobs
