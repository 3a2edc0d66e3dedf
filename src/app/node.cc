#include "app/node.h"

#include <algorithm>
#include <utility>

namespace seampass::app {

using net::ms;

namespace {

// Parts of a heartbeat interval, as divisors.
constexpr double kRequestTimeoutPart = 3;  // for the state service and workers
constexpr double kCatalogRetryPart = 2;
constexpr double kVersionRetryPart = 10;
constexpr double kExtensionMarginPart = 3;
// The cloud is slow to answer, and slower the lower its rate: so many requests' time at least.
constexpr double kCloudTimeoutRequests = 8;
// Parts and multiples of a worker's lease.
constexpr double kElectionTtlPart = 6;
constexpr double kBetweenResignations = 2;
constexpr double kCatalogRefresh = 2;

leader::ElectionTimes election_times(const config::Settings& settings) {
  // A small part of a worker's lease: a failover leaves workers most of theirs. The extension ends
  // a margin before its bound.
  return {.ttl = ms(settings.lease_s / kElectionTtlPart),
          .lease_extension = ms(settings.cancel_s - settings.lease_s -
                                settings.heartbeat_interval_s / kExtensionMarginPart),
          .between_resignations = ms(kBetweenResignations * settings.lease_s)};
}

leader::RecordSpans record_spans(const config::Settings& settings) {
  return leader::RecordSpans::for_values(settings.state_limits.value_kb,
                                         settings.least_state_limits().value_kb);
}

net::Ms request_timeout(const config::Settings& settings) {
  return ms(settings.heartbeat_interval_s / kRequestTimeoutPart);
}

net::Ms cloud_timeout(const config::Settings& settings) {
  return ms(std::max(settings.heartbeat_interval_s, kCloudTimeoutRequests / settings.cloud_rps));
}

}  // namespace

Node::Node(net::Runtime& runtime, net::HttpCaller& http, rpc::PeerTransport& peers,
           config::Settings settings, config::OperatorSettings operator_settings)
    : settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      budget_(ResourceBudget::for_settings(settings_)),
      peers_(peers),
      state_(runtime, http, settings_.state, budget_.state_requests, budget_.state_changes,
             request_timeout(settings_)),
      cloud_(runtime, http, settings_.cloud, budget_.cloud_requests, cloud_timeout(settings_)),
      catalog_(runtime, cloud_, ms(settings_.lease_s * kCatalogRefresh),
               ms(settings_.heartbeat_interval_s / kCatalogRetryPart)),
      status_reader_(state_, budget_.cached_final_statuses),
      election_(runtime, state_, settings_.node, settings_.peers.size(), election_times(settings_),
                election_callbacks()),
      cluster_(runtime, state_, settings_.peers, record_spans(settings_),
               ms(settings_.heartbeat_interval_s / kVersionRetryPart)),
      leader_term_(runtime, state_, cloud_, catalog_,
                   workers::Client(http, request_timeout(settings_), budget_.commands_in_flight),
                   election_, status_reader_, cluster_, settings_, operator_settings_),
      leader_client_(runtime, election_, leader_term_, status_reader_, peers, settings_),
      job_status_finder_(status_reader_, leader_client_),
      acceptance_(state_, election_, leader_term_, job_status_finder_, leader_client_, peers),
      submissions_(runtime, state_, catalog_, status_reader_, job_status_finder_, acceptance_,
                   settings_),
      queries_(status_reader_, job_status_finder_, leader_client_),
      api_(catalog_, election_, leader_term_, submissions_, queries_),
      peer_messages_(peers, election_, leader_term_, cluster_, acceptance_, leader_client_) {}

// They are called only after start(), when all parts are there.
leader::ElectionCallbacks Node::election_callbacks() {
  return {.on_elected = [this] { leader_term_.start_term(); },
          .on_step_down = [this] { leader_term_.end_term(); },
          .announce = [this](std::uint64_t round) { announce_leadership(round); }};
}

void Node::announce_leadership(std::uint64_t round) {
  for (const config::Peer& peer : settings_.peers) {
    // The answer to any round states the peer's version; no round of the election has this number.
    const bool ask_version =
        round == 0 && !cluster_.finalized() && !cluster_.reads_segments(peer.node);
    peers_.send(peer.node, rpc::LeaderAnnouncement{election_.epoch(),
                                                   ask_version ? rpc::kVersionRound : round});
  }
}

void Node::start() {
  catalog_.start();
  election_.start();
}

}  // namespace seampass::app
