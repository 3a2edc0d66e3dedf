// Answers what users, the load balancer and workers ask of this node over HTTP, whether it leads or
// not: finds the handler of each request by its path and method. Owns no state; the HTTP server
// calls it on this node's loop.
#pragma once

#include <string>

#include "cloud/machine_catalog.h"
#include "jobs/job_queries.h"
#include "jobs/submissions.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "net/http_server.h"

namespace seampass::jobs {

class ApiHandler {
 public:
  ApiHandler(const cloud::MachineCatalog& catalog, leader::Election& election,
             leader::LeaderTerm& leader_term, Submissions& submissions, JobQueries& queries);

  // Each request is answered once, perhaps after the call has returned.
  void handle(const net::Request& request, const net::Answer& answer);

 private:
  void answer_health(const net::Answer& answer) const;
  void handle_heartbeat(const std::string& body, const net::Answer& answer);

  const cloud::MachineCatalog& catalog_;
  leader::Election& election_;
  leader::LeaderTerm& leader_term_;
  Submissions& submissions_;
  JobQueries& queries_;
};

}  // namespace seampass::jobs
