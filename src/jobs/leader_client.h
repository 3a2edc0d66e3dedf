// Requests to the leader, be it this node or another: owns those that wait for another node's
// reply, with their timeouts. Used on this node's loop, by whatever answers users.
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

  // Each is replied to once, perhaps before the call returns; with `unavailable` if no leader is
  // known, too many requests are waiting, or the leader has not replied in time.
  void request_status(const std::string& job, JobReplyHandler on_reply);
  void request_cancellation(const std::string& job, JobReplyHandler on_reply);
  // Asks another node to write the job's record in our place.
  void request_acceptance(const std::string& job, std::string record, JobReplyHandler on_reply);

  // A node has replied. Dropped unless that node was asked, and in time.
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
  // Not from 1: a late reply to a request of this node before its restart must match no request of
  // now.
  std::uint64_t next_number_ = random_first_number();
  std::map<std::uint64_t, PendingRequest> pending_;
};

}  // namespace seampass::jobs
