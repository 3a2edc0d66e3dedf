// Makes a submitted job durable: a compare-and-swap creates the job's open record if the state
// service holds neither an open record nor a final status of the job. The job is accepted once that
// transaction succeeds, whichever node sends it; nothing else is needed. The class owns no state.
// It is called for submissions that arrive at this node and for those that other nodes forward.
#pragma once

#include <memory>
#include <string>

#include "jobs/job_status_finder.h"
#include "jobs/leader_client.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "rpc/peer.h"
#include "state/client.h"
#include "wire/json_fields.h"

namespace seampass::jobs {

// Whether this node may ask the leader to write the record if the state service does not answer
// this node. A request that another node has forwarded must not be forwarded again.
enum class Forwarding { allowed, forbidden };

class JobAcceptance {
 public:
  JobAcceptance(state::Client& state, leader::Election& election, leader::LeaderTerm& leader_term,
                JobStatusFinder& finder, LeaderClient& leader_client, rpc::PeerTransport& peers);

  // Calls `on_reply` exactly once, possibly before this function returns. The reply is `found` and
  // `created` if this call made the job durable, the job's known status if the job was accepted
  // before, and `unavailable` if neither could be established.
  void accept(const std::string& job, const wire::Json& record, Forwarding forwarding,
              const JobReplyHandler& on_reply);

 private:
  struct Request {
    std::string job;
    wire::Json record;
    Forwarding forwarding = Forwarding::allowed;
    JobReplyHandler on_reply;
  };

  void on_transaction(const Request& request, const state::TxnResult& result);
  void forward(const Request& request);
  void announce(const Request& request, state::Version version);

  state::Client& state_;
  leader::Election& election_;
  leader::LeaderTerm& leader_term_;
  JobStatusFinder& finder_;
  LeaderClient& leader_client_;
  rpc::PeerTransport& peers_;
};

}  // namespace seampass::jobs
