// How a node divides what it has: the platform's limits for its process (sockets, memory) and its
// share of the limits of the state service and the cloud. The only place where these ratios stand.
#pragma once

#include <cstddef>

#include "config/settings.h"

namespace seampass::app {

struct ResourceBudget {
  // Sockets. What is not named here is left for peers, the state service, the cloud and files.
  std::size_t idle_client_connections = 0;  // that this node opened and keeps for the next request
  std::size_t commands_in_flight = 0;       // each of which may need a socket
  std::size_t server_connections = 0;       // of users and workers

  // Final statuses in the cache.
  std::size_t cached_final_statuses = 0;

  // Requests a second. Those of the state service are below the limits now and after the announced
  // change of them.
  double state_requests = 0;
  double state_changes = 0;
  double cloud_requests = 0;

  [[nodiscard]] static ResourceBudget for_settings(const config::Settings& settings);
};

}  // namespace seampass::app
