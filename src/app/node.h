// One controller: constructs all of its actors and connects them to each other. It owns the actors
// and the settings to which they refer. The caller (main(), or a test) injects the clock and the
// transports, which must outlive the node. All calls are on the loop's thread.
#pragma once

#include "app/resource_budget.h"
#include "cloud/client.h"
#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/api_handler.h"
#include "jobs/job_acceptance.h"
#include "jobs/job_queries.h"
#include "jobs/job_status_finder.h"
#include "jobs/job_status_reader.h"
#include "jobs/leader_client.h"
#include "jobs/peer_message_handler.h"
#include "jobs/submissions.h"
#include "leader/election/election.h"
#include "leader/leader_term.h"
#include "leader/records/cluster_version.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"

namespace seampass::app {

class Node {
 public:
  Node(net::Runtime& runtime, net::HttpCaller& http, rpc::PeerTransport& peers,
       config::Settings settings, config::OperatorSettings operator_settings);

  // Starts to read the machine catalog and to take part in the election. handle() may be called
  // before start().
  void start();
  // Handles one HTTP request of a user or a worker.
  void handle(const net::Request& request, const net::Answer& answer) {
    api_.handle(request, answer);
  }
  [[nodiscard]] const leader::Election& election() const { return election_; }

 private:
  leader::ElectionCallbacks election_callbacks();
  // Announces to all peers that this node leads. With a round other than 0, it also asks
  // each of them for an EpochConfirmation.
  void announce_leadership(std::uint64_t round);

  config::Settings settings_;
  config::OperatorSettings operator_settings_;
  ResourceBudget budget_;
  rpc::PeerTransport& peers_;
  state::Client state_;
  cloud::Client cloud_;
  cloud::MachineCatalog catalog_;
  jobs::JobStatusReader status_reader_;
  leader::Election election_;
  leader::ClusterVersion cluster_;
  leader::LeaderTerm leader_term_;
  jobs::LeaderClient leader_client_;
  jobs::JobStatusFinder job_status_finder_;
  jobs::JobAcceptance acceptance_;
  jobs::Submissions submissions_;
  jobs::JobQueries queries_;
  jobs::ApiHandler api_;
  jobs::PeerMessageHandler peer_messages_;
};

}  // namespace seampass::app
