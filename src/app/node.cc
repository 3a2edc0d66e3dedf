#include "app/node.h"

#include <algorithm>
#include <utility>

namespace seampass::app {

using net::ms;

namespace {

// A node's share of the state service's limits. The leader makes nearly all
// changes; what the others make, and what is refused now and then, fits into
// the rest.
constexpr double kStoreRequests = 0.7;
constexpr double kStoreChanges = 0.8;

leader::ElectionTimes times_of(const config::Settings& s) {
  // A sixth of a worker's lease: a failover leaves workers most of theirs. The extension ends a
  // third of a heartbeat interval before its bound.
  return {.ttl = ms(s.lease_s / 6),
          .lease_extension = ms(s.cancel_s - s.lease_s - s.heartbeat_interval_s / 3),
          .between_resignations = ms(2 * s.lease_s)};
}

leader::RecordSpans spans_of(const config::Settings& s) {
  return leader::RecordSpans::for_values(s.state_limits.value_kb, s.least_state_limits().value_kb);
}

}  // namespace

Node::Node(net::Runtime& runtime, net::HttpCaller& http, rpc::PeerTransport& peers,
           config::Settings settings, config::OperatorSettings operator_settings)
    : settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      state_(runtime, http, settings_.state, settings_.least_state_limits().rps * kStoreRequests,
             settings_.least_state_limits().write_rps * kStoreChanges,
             ms(settings_.heartbeat_interval_s / 3)),
      cloud_(runtime, http, settings_.cloud, settings_.cloud_rps * 0.7,
             ms(std::max(settings_.heartbeat_interval_s, 8 / settings_.cloud_rps))),
      catalog_(runtime, cloud_, ms(settings_.lease_s * 2), ms(settings_.heartbeat_interval_s / 2)),
      // A few hundred bytes a final status: an eighth of the memory at most.
      status_reader_(state_, static_cast<std::size_t>(settings_.memory_mb / 8 * 1024 * 1024 / 512)),
      election_(runtime, state_, settings_.node, settings_.peers.size(), times_of(settings_),
                {.on_elected = [this] { leader_term_.start_term(); },
                 .on_step_down = [this] { leader_term_.end_term(); },
                 .announce = [this, &peers](std::uint64_t round) { announce(peers, round); }}),
      cluster_(runtime, state_, settings_.peers, spans_of(settings_),
               ms(settings_.heartbeat_interval_s / 10)),
      leader_term_(runtime, state_, cloud_, catalog_,
                   workers::Client(http, ms(settings_.heartbeat_interval_s / 3),
                                   static_cast<std::size_t>(settings_.fd_limit) / 16),
                   election_, status_reader_, cluster_, settings_, operator_settings_),
      leader_client_(runtime, election_, leader_term_, status_reader_, peers, settings_),
      job_status_finder_(status_reader_, leader_client_),
      acceptance_(state_, election_, leader_term_, job_status_finder_, leader_client_, peers),
      submissions_(runtime, state_, catalog_, status_reader_, job_status_finder_, acceptance_,
                   settings_),
      queries_(status_reader_, job_status_finder_, leader_client_),
      api_(catalog_, election_, leader_term_, submissions_, queries_),
      peer_messages_(peers, election_, leader_term_, cluster_, acceptance_, leader_client_) {}

void Node::announce(rpc::PeerTransport& peers, std::uint64_t round) {
  for (const config::Peer& p : settings_.peers) {
    // Its answer says its version; no round of the election has this number.
    const bool ask_version =
        round == 0 && !cluster_.finalized() && !cluster_.knows_segments(p.node);
    peers.send(p.node, rpc::LeaderAnnouncement{election_.epoch(),
                                               ask_version ? rpc::kVersionRound : round});
  }
}

void Node::start() {
  catalog_.start();
  election_.start();
}

}  // namespace seampass::app
