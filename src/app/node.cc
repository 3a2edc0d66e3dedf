#include "app/node.h"

#include <algorithm>
#include <utility>

namespace seampass::app {

using net::ms;

namespace {

// Each of these times is a heartbeat interval divided by the constant. The first one is the timeout
// of requests to the state service and to workers.
constexpr double kRequestTimeoutDivisor = 3;
constexpr double kCatalogRetryDivisor = 2;
constexpr double kQueryWaitDivisor = 8;
constexpr double kVersionRetryDivisor = 10;
constexpr double kExtensionMarginDivisor = 3;
// The cloud responds slowly, and the more slowly the lower its rate limit is. Its timeout is at
// least the time in which its rate limit admits this many requests.
constexpr double kCloudTimeoutRequests = 8;
// Times derived from a worker's lease: its duration divided by the first constant, or multiplied by
// the other two.
constexpr double kElectionTtlDivisor = 6;
constexpr double kResignationIntervalLeases = 2;
constexpr double kCatalogRefreshLeases = 2;

leader::ElectionTimes election_times(const config::Settings& settings) {
  // The leader's lease lasts a small part of a worker's lease, so that most of the workers' leases
  // remains after a failover. The lease extension must be shorter than cancel_s - lease_s; it ends
  // a margin before that bound (docs/safety.md, "The lease extension and its bound").
  return {.ttl = ms(settings.lease_s / kElectionTtlDivisor),
          .lease_extension = ms(settings.cancel_s - settings.lease_s -
                                settings.heartbeat_interval_s / kExtensionMarginDivisor),
          .between_resignations = ms(kResignationIntervalLeases * settings.lease_s)};
}

leader::RecordSpans record_spans(const config::Settings& settings) {
  return leader::RecordSpans::for_values(settings.state_limits.value_kb,
                                         settings.min_state_limits().value_kb);
}

net::Ms request_timeout(const config::Settings& settings) {
  return ms(settings.heartbeat_interval_s / kRequestTimeoutDivisor);
}

net::Ms query_wait(const config::Settings& settings) {
  return ms(settings.heartbeat_interval_s / kQueryWaitDivisor);
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
      state_(runtime, http, settings_.state, budget_.state_rates, request_timeout(settings_)),
      cloud_(runtime, http, settings_.cloud, budget_.cloud_requests_per_s,
             cloud_timeout(settings_)),
      catalog_(runtime, cloud_, ms(settings_.lease_s * kCatalogRefreshLeases),
               ms(settings_.heartbeat_interval_s / kCatalogRetryDivisor)),
      status_reader_(runtime, state_, budget_.cached_final_statuses, query_wait(settings_)),
      election_(runtime, state_, settings_.node, settings_.peers.size(), election_times(settings_),
                election_callbacks()),
      cluster_(runtime, state_, settings_.peers, record_spans(settings_),
               ms(settings_.heartbeat_interval_s / kVersionRetryDivisor)),
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

// The constructor passes these callbacks to the election before it has constructed the members that
// they use. This is safe because the election calls them only after start().
leader::ElectionCallbacks Node::election_callbacks() {
  return {.on_elected = [this] { leader_term_.start_term(); },
          .on_step_down = [this] { leader_term_.end_term(); },
          .announce = [this](std::uint64_t round) { announce_leadership(round); }};
}

void Node::announce_leadership(std::uint64_t round) {
  for (const config::Peer& peer : settings_.peers) {
    // A peer answers an announcement with a round other than 0, and its answer carries its version.
    // kVersionRound asks for the version only: the election never uses this number for a round.
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
