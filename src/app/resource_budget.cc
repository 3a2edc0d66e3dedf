#include "app/resource_budget.h"

namespace seampass::app {
namespace {

// Parts of the process's sockets, as divisors: a sixteenth each for idle connections that this node
// opened and for commands on their way, a thirty-second for peers, state service, cloud and files.
// The rest is for those who connect to it, of whom workers stay and idle users make room.
constexpr std::size_t kIdleClientPart = 16;
constexpr std::size_t kCommandPart = 16;
constexpr std::size_t kClientPart = 8;  // both of these, rounded down together
constexpr std::size_t kOtherPart = 32;

// A final status takes a few hundred bytes. The cache takes an eighth of the memory at most.
constexpr double kCachePart = 8;
constexpr double kBytesPerFinalStatus = 512;
constexpr double kKibPerMib = 1024;
constexpr double kBytesPerKib = 1024;

// A node's share of the state service's limits. The leader makes nearly all changes; what the
// others make, and what is refused now and then, fits into the rest.
constexpr double kStateRequestShare = 0.7;
constexpr double kStateChangeShare = 0.8;
// Likewise of the cloud's, which only the leader and refreshed catalogs draw on.
constexpr double kCloudShare = 0.7;

}  // namespace

ResourceBudget ResourceBudget::for_settings(const config::Settings& settings) {
  const auto sockets = static_cast<std::size_t>(settings.fd_limit);
  const config::StateLimits limits = settings.least_state_limits();
  ResourceBudget budget;
  budget.idle_client_connections = sockets / kIdleClientPart;
  budget.commands_in_flight = sockets / kCommandPart;
  budget.server_connections = sockets - sockets / kClientPart - sockets / kOtherPart;
  budget.cached_final_statuses = static_cast<std::size_t>(
      settings.memory_mb / kCachePart * kKibPerMib * kBytesPerKib / kBytesPerFinalStatus);
  budget.state_requests = limits.rps * kStateRequestShare;
  budget.state_changes = limits.write_rps * kStateChangeShare;
  budget.cloud_requests = settings.cloud_rps * kCloudShare;
  return budget;
}

}  // namespace seampass::app
