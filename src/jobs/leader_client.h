// Sends requests about jobs to the leader, which may be this node or another one. It owns the
// requests that wait for another node's reply, and their timeouts. The handlers of users' requests
// call it on this node's event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "config/settings.h"
#include "jobs/job_status_reader.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "net/runtime.h"
#include "rpc/peer.h"

namespace seampass::jobs {

using JobReplyHandler = std::function<void(const rpc::JobReply&)>;

class LeaderClient {
 public:
  LeaderClient(net::Runtime& runtime, leader::Election& election, leader::LeaderTerm& leader_term,
               JobStatusReader& status_reader, rpc::PeerTransport& peers,
               const config::Settings& settings);

  // Each of these calls `on_reply` exactly once, possibly before it returns. The reply is
  // `unavailable` if no leader is known, if too many requests are pending, if the leader can't
  // answer, or if it does not reply before the timeout.
  void request_status(const std::string& job, JobReplyHandler on_reply);
  void request_cancellation(const std::string& job, JobReplyHandler on_reply);
  // Asks the leader to write the job's record in place of this node. It must not be called while
  // this node leads.
  void request_acceptance(const std::string& job, std::string record, JobReplyHandler on_reply);

  // Handles a reply from another node. Ignores it unless the request with its number was sent to
  // that node and is still pending.
  void on_reply(const std::string& from, const rpc::JobReply& reply);

 private:
  struct PendingRequest {
    std::string job;
    std::string node;
    JobReplyHandler on_reply;
    net::TimerId timer = 0;
  };

  static std::uint64_t random_first_number();
  void request(rpc::JobRequest request, net::Ms timeout, JobReplyHandler on_reply);
  void on_timeout(std::uint64_t number);
  void remember_if_final(const rpc::JobReply& reply);

  net::Runtime& runtime_;
  leader::Election& election_;
  leader::LeaderTerm& leader_term_;
  JobStatusReader& status_reader_;
  rpc::PeerTransport& peers_;
  net::Ms timeout_;
  net::Ms cancellation_timeout_;
  // Starts at a random number rather than at 1: a late reply to a request that this node sent
  // before it restarted must not match a request sent after the restart.
  std::uint64_t next_number_ = random_first_number();
  std::map<std::uint64_t, PendingRequest> pending_;
};

}  // namespace seampass::jobs
