// Makes a job durable: a compare-and-swap that creates its open record if it has neither an open
// record nor a final status. A job is accepted by that alone, whichever node writes it. Owns no
// state; called for submissions at this node and at others.
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

// Whether the leader may be asked to write the record where the store does not answer this node. A
// request that another node has forwarded is not forwarded again.
enum class Forwarding { allowed, forbidden };

class JobAcceptance {
 public:
  JobAcceptance(state::Client& state, leader::Election& election, leader::LeaderTerm& leader_term,
                JobStatusFinder& finder, LeaderClient& leader_client, rpc::PeerTransport& peers);

  // Replies with `found` and `fresh` if this call has made the job durable, with what is known of
  // it if it was accepted before, and with `unavailable` if neither is known to be so.
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
