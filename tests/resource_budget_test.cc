// Tests app::ResourceBudget, which divides a node's sockets, memory and request rates among their
// uses.
#include "app/resource_budget.h"

#include <gtest/gtest.h>

namespace seampass::app {
namespace {

config::Settings settings_with_sockets(int fd_limit) {
  config::Settings settings;
  settings.fd_limit = fd_limit;
  settings.memory_mb = 64;
  settings.state_limits = {100, 50, 8, 16};
  settings.next_state_limits = {60, 80, 8, 16};
  settings.cloud_rps = 10;
  return settings;
}

TEST(ResourceBudget, LeavesMostSocketsToIncomingConnections) {
  const auto budget = ResourceBudget::for_settings(settings_with_sockets(1024));
  EXPECT_EQ(budget.idle_client_connections, 64U);
  EXPECT_EQ(budget.commands_in_flight, 64U);
  EXPECT_EQ(budget.server_connections, 1024U - 128U - 32U);
}

TEST(ResourceBudget, AssignsFewerSocketsThanTheLimit) {
  for (int sockets = 32; sockets < 2000; ++sockets) {
    const auto budget = ResourceBudget::for_settings(settings_with_sockets(sockets));
    EXPECT_LT(
        budget.idle_client_connections + budget.commands_in_flight + budget.server_connections,
        static_cast<std::size_t>(sockets));
  }
}

TEST(ResourceBudget, RatesAreSharesOfTheLowerOfCurrentAndNextLimits) {
  const auto budget = ResourceBudget::for_settings(settings_with_sockets(1024));
  EXPECT_DOUBLE_EQ(budget.state_rates.requests_per_s, 42);
  EXPECT_DOUBLE_EQ(budget.state_rates.writes_per_s, 40);
  EXPECT_DOUBLE_EQ(budget.cloud_requests_per_s, 7);
}

TEST(ResourceBudget, NodesShareTheReservedRateOfStatusQueries) {
  config::Settings settings = settings_with_sockets(1024);
  EXPECT_DOUBLE_EQ(ResourceBudget::for_settings(settings).state_rates.query_reads_per_s, 15);
  settings.peers.resize(2);
  EXPECT_DOUBLE_EQ(ResourceBudget::for_settings(settings).state_rates.query_reads_per_s, 5);
}

TEST(ResourceBudget, CacheOfFinalStatusesFitsAnEighthOfTheMemory) {
  const auto budget = ResourceBudget::for_settings(settings_with_sockets(1024));
  EXPECT_EQ(budget.cached_final_statuses, 16384U);
}

}  // namespace
}  // namespace seampass::app
