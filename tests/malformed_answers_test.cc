// The state service, the cloud and the workers send malformed replies to the nodes. The tests run a
// simulated cluster in simulated time, and an invariant checker observes it.
#include <gtest/gtest.h>

#include <random>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Reply bodies of each protocol that are not valid JSON, lack fields, or have fields of the wrong
// type.
std::vector<std::string> malformed_bodies() {
  return {"",
          "{",
          "null",
          "[]",
          "{}",
          R"({"rows":5,"has_next":1,"ledger_rev":"x"})",
          R"({"rows":[{}],"has_next":false,"ledger_rev":3})",
          R"({"rows":[{"path":"work/x","v":7,"stamp":1}],"has_next":true,"ledger_rev":1.5})",
          R"({"path":"leader","v":{"node":5},"stamp":-1})",
          R"({"path":7,"v":null,"stamp":4,"permit":"a"})",
          R"({"ledger_rev":{},"failed":[3]})",
          R"({"ledger_rev":4,"log":[{"write":1},[]]})",
          R"({"permit":-4})",
          R"({"hosts":[{}],"has_next":"no"})",
          R"({"hosts":[5]})",
          R"({"barrels":[{"name":"big","cellars":[1]}]})",
          R"({"host":"m-000001","shift":-1,"tally":"x","pours":{}})",
          std::string(70000, '[')};
}

class MalformedAnswers : public ::testing::TestWithParam<unsigned> {};

// A fifth of all replies to the nodes are replaced by malformed ones. No node process may end, and
// every accepted job must be completed after the faults stop.
TEST_P(MalformedAnswers, NoAcceptedJobIsLost) {
  const std::vector<std::string> bodies = malformed_bodies();
  SimulatedCluster cluster(GetParam());
  std::mt19937 random(GetParam());
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.net.set_rule([&](const std::string& from, const net::Call&) {
    Delivery delivery;
    if (is_node(from) && random() % 5 == 0)
      delivery.replaced_body = bodies[random() % bodies.size()];
    return delivery;
  });
  std::vector<std::string> accepted;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "wk-" + std::to_string(100 + i);
    const auto job = i % 4 == 0 ? gang_job(id, 2, 6) : array_job(id, 3, 6);
    if (cluster.submit(kNodes.at(i % 3), job).accepted()) accepted.push_back(id);
    const std::string leader = cluster.leader();
    if (i == 6 && !leader.empty()) {
      cluster.kill(leader);
      cluster.time.run_for(300);
      cluster.start(leader);
    }
    cluster.time.run_for(3000);
  }
  EXPECT_GT(accepted.size(), 3u);
  cluster.net.set_rule({});
  for (const std::string& id : accepted) EXPECT_TRUE(cluster.reaches(id, "done", 200000)) << id;
  cluster.expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, MalformedAnswers, ::testing::Range(1u, 9u));

}  // namespace
}  // namespace seampass::fakes
