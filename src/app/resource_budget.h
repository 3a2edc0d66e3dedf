// How a node divides its resources: the sockets and the memory that the platform grants its
// process, and its share of the rate limits of the state service and the cloud. These ratios are
// defined only here. The node and main() read the budget once, at the start.
#pragma once

#include <cstddef>

#include "config/settings.h"
#include "state/request_queue.h"

namespace seampass::app {

struct ResourceBudget {
  // Numbers of sockets. The sockets that these members do not use are left for peers, the state
  // service, the cloud and files.
  // Connections that this node opened and keeps open, while idle, for its next request.
  std::size_t idle_client_connections = 0;
  // Concurrent requests to workers; each of them may need a socket.
  std::size_t commands_in_flight = 0;
  // Connections opened by users and workers.
  std::size_t server_connections = 0;

  // Maximum number of final statuses in the cache.
  std::size_t cached_final_statuses = 0;

  // Maximum rates of requests and of changes, per second. Those for the state service are below its
  // current limits and also below the limits that are announced as the next ones.
  state::RequestRates state_rates;
  double cloud_requests_per_s = 0;

  [[nodiscard]] static ResourceBudget for_settings(const config::Settings& settings);
};

}  // namespace seampass::app
