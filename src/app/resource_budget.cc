#include "app/resource_budget.h"

namespace seampass::app {
namespace {

// The process's sockets are divided by these constants. A sixteenth each is for idle connections
// that this node opened and for commands in flight; a thirty-second is for peers, the state
// service, the cloud and files. The rest is for incoming connections: when they become scarce, the
// server closes idle connections of users before those of workers.
constexpr std::size_t kIdleClientDivisor = 16;
constexpr std::size_t kCommandDivisor = 16;
constexpr std::size_t kOutgoingDivisor = 8;  // both of the above, rounded down only once
constexpr std::size_t kOtherDivisor = 32;

// The cache of final statuses uses at most an eighth of the memory. One final status takes a few
// hundred bytes.
constexpr double kCacheDivisor = 8;
constexpr double kBytesPerFinalStatus = 512;
constexpr double kKibPerMib = 1024;
constexpr double kBytesPerKib = 1024;

// The share of the state service's rate limits that one node may use. The leader makes nearly all
// changes. The changes by other nodes, and requests that the service occasionally refuses, fit into
// the remaining share.
constexpr double kStateRequestShare = 0.7;
constexpr double kStateChangeShare = 0.8;
// The share of the state service's rate of requests that all nodes together reserve for status
// queries. It is divided evenly, because users may ask at any node.
constexpr double kStateQueryShare = 0.25;
// The share of the cloud's rate limit that one node may use. Only the leader's requests and the
// catalog refreshes of all nodes count towards this limit.
constexpr double kCloudShare = 0.7;

}  // namespace

ResourceBudget ResourceBudget::for_settings(const config::Settings& settings) {
  const auto sockets = static_cast<std::size_t>(settings.fd_limit);
  const config::StateLimits limits = settings.min_state_limits();
  ResourceBudget budget;
  budget.idle_client_connections = sockets / kIdleClientDivisor;
  budget.commands_in_flight = sockets / kCommandDivisor;
  budget.server_connections = sockets - sockets / kOutgoingDivisor - sockets / kOtherDivisor;
  budget.cached_final_statuses = static_cast<std::size_t>(
      settings.memory_mb / kCacheDivisor * kKibPerMib * kBytesPerKib / kBytesPerFinalStatus);
  const auto nodes = static_cast<double>(settings.peers.size() + 1);
  budget.state_rates = {.requests_per_s = limits.rps * kStateRequestShare,
                        .writes_per_s = limits.write_rps * kStateChangeShare,
                        .query_reads_per_s = limits.rps * kStateQueryShare / nodes};
  budget.cloud_requests_per_s = settings.cloud_rps * kCloudShare;
  return budget;
}

}  // namespace seampass::app
