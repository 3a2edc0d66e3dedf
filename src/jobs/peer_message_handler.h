// Handles the messages that other controllers send to this one: it passes each kind of message to
// the component that handles it, and sends the replies. A node that does not lead ignores
// JobAccepted messages and answers each JobRequest with `unavailable`; the leader does the same if
// the record in the message is not JSON. The class owns no state; the peer transport calls it on
// this node's event loop.
#pragma once

#include <string>

#include "jobs/job_acceptance.h"
#include "jobs/leader_client.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "leader/records/cluster_version.h"
#include "rpc/peer.h"

namespace seampass::jobs {

class PeerMessageHandler {
 public:
  // Registers this handler as the receiver of all messages that arrive through `peers`.
  PeerMessageHandler(rpc::PeerTransport& peers, leader::Election& election,
                     leader::LeaderTerm& leader_term, leader::ClusterVersion& cluster,
                     JobAcceptance& acceptance, LeaderClient& leader_client);

 private:
  void receive(const std::string& from, const rpc::JobAccepted& accepted);
  void receive(const std::string& from, const rpc::JobRequest& request);
  void receive(const std::string& from, const rpc::JobReply& reply);
  void receive(const std::string& from, const rpc::LeaderAnnouncement& announcement);
  void receive(const std::string& from, const rpc::EpochConfirmation& confirmation);

  rpc::PeerTransport& peers_;
  leader::Election& election_;
  leader::LeaderTerm& leader_term_;
  leader::ClusterVersion& cluster_;
  JobAcceptance& acceptance_;
  LeaderClient& leader_client_;
};

}  // namespace seampass::jobs
