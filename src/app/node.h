// One controller, wired: every actor over an injected clock and injected transports.
#pragma once

#include "cloud/client.h"
#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/api_handler.h"
#include "jobs/job_status_reader.h"
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

  void start();
  void handle(const net::Request& request, net::Answer answer) {
    api_.handle(request, std::move(answer));
  }
  const leader::Election& election() const { return election_; }

 private:
  // Tells all peers that this node leads.
  void announce(rpc::PeerTransport& peers, std::uint64_t round);

  config::Settings settings_;
  config::OperatorSettings operator_settings_;
  state::Client state_;
  cloud::Client cloud_;
  cloud::MachineCatalog catalog_;
  jobs::JobStatusReader status_reader_;
  leader::Election election_;
  leader::ClusterVersion cluster_;
  leader::LeaderTerm leader_term_;
  jobs::ApiHandler api_;
};

}  // namespace seampass::app
