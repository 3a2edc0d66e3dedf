// Dependencies in submissions: which are taken, and how each node answers.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

std::string body_with(const wire::Json& dependencies) {
  wire::Json body = wire::Json::parse(wire::to_json(array_job("wk-7", 1)).dump());
  body["waits_on"] = dependencies;
  return body.dump();
}

TEST(Dependencies, AreReadWithChecks) {
  const auto read = [](const wire::Json& list) {
    return wire::job_from(wire::Json::parse(body_with(list))).dependencies;
  };
  using Ids = std::vector<std::string>;
  EXPECT_EQ(read({"wk-2", "wk-1", "wk-2"}), (Ids{"wk-2", "wk-1"}));
  EXPECT_EQ(read(nullptr), Ids{});
  EXPECT_EQ(read(wire::Json::array()), Ids{});
  EXPECT_THROW(read("wk-1"), wire::Malformed);
  EXPECT_THROW(read({"wk-1", 2}), wire::Malformed);
  EXPECT_THROW(read({"job-1"}), wire::Malformed);
  EXPECT_FALSE(wire::to_json(array_job("wk-1", 1)).contains("waits_on"));
}

TEST(Dependencies, BadOnesAreRefused) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  for (const char* node : {"n0", "n1", "n2"}) {
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", body_with("wk-1")).status, 400);
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", body_with({"wk-7"})).status, 422);
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", body_with({"wk-404"})).status, 422);
  }
  EXPECT_EQ(cluster.state.count("open/"), 0u);
  // More than one record holds can't be stored.
  wire::Json many = wire::Json::array();
  for (int i = 0; i < 5000; ++i) many.push_back("wk-" + std::to_string(1000 + i));
  EXPECT_EQ(cluster.request("n0", "POST", "/api/jobs", body_with(many)).status, 422);
}

TEST(Dependencies, UndecidableNowIsToldAtOnce) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 1, 60)).status, 201);
  cluster.state.down = true;
  cluster.time.run_for(10000);
  const Ms before = cluster.time.now();
  const auto told = cluster.request("n1", "POST", "/api/jobs", body_with({"wk-404"}));
  EXPECT_EQ(told.status, 503);
  EXPECT_LT(cluster.time.now() - before, 3000);
}

}  // namespace
}  // namespace seampass::fakes
