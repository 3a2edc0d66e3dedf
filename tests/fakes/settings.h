// The settings of a simulated deployment.
#pragma once

#include <array>
#include <string>

#include "config/settings.h"

namespace seampass::fakes {

// The names of the nodes that run the service.
inline constexpr std::array kNodes{"n0", "n1", "n2"};

// The limits of the state service: those in force now, and those announced for later.
struct StoreLimits {
  config::StateLimits now{100, 40, 8, 10};
  config::StateLimits next = now;
};

inline config::Settings settings_for(const std::string& node, const StoreLimits& limits = {}) {
  config::Settings settings;
  settings.node = node;
  settings.zone = "a";
  settings.cloud = "cloud:1";
  settings.state = "state:1";
  settings.zones = {"a", "b"};
  settings.teams = {{"red", 0, 0, 4, 8}, {"blue", 0, 0, 4, 16}};
  settings.objectives = {{"wait", "urgent", 10, 1}};
  settings.heartbeat_interval_s = 3;
  settings.lease_s = 20;
  settings.gang_wait_s = 30;
  settings.gang_peer_s = 4;
  settings.cancel_s = 40;
  settings.state_limits = limits.now;
  settings.next_state_limits = limits.next;
  settings.cloud_rps = 4;
  settings.list_lag_s = 2;
  settings.core_share = 0.1;
  settings.memory_mb = 64;
  settings.fd_limit = 500;
  for (const char* peer : kNodes)
    if (node != peer) settings.peers.push_back({peer, "a", std::string(peer) + ":8081"});
  return settings;
}

}  // namespace seampass::fakes
