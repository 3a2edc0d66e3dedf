// Handles the HTTP requests that users, workers and the load balancer send to this node, whether it
// leads or not: it selects the handler of each request by path and method. It answers an unknown
// path with 404, a wrong method with 405 and a malformed heartbeat with 400. It owns no state; the
// HTTP server calls it on this node's event loop.
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

  // Calls `answer` exactly once, possibly after this function has returned.
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
