// Tests that a node that reads an unreadable final status does not report it to users and does not
// start dependents because of it.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Answers of the state service to a read of wk-1's final status. Each contains a value, but none of
// the values is a valid final status.
std::vector<std::string> unreadable_status_replies() {
  std::vector<std::string> replies;
  for (const char* value : {R"({"stage":"finished","done":0})", R"({"stage":"queued","done":0})",
                            R"({"stage":"running","done":0})", R"({"done":2})", R"("withdrawn")"})
    replies.push_back(std::string(R"({"path":"ends/wk-1","stamp":9,"v":)") + value + "}");
  return replies;
}

// The final status of the cancelled wk-1 is stored, but the answer to this write is lost, and the
// leader then reads an invalid value in its place. The leader must not treat that value as `done`,
// which would start wk-2, nor as any other final status.
TEST(Dependencies, UnreadableFinalStatusStartsNoDependent) {
  for (const std::string& body : unreadable_status_replies()) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.submit("n0", array_job("wk-1", 1, 300));
    cluster.submit("n0", with_dependencies(array_job("wk-2", 1, 300), {"wk-1"}));
    ASSERT_TRUE(cluster.reaches("wk-1", "running", 60000));
    const std::string leader = cluster.leader();
    cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
      Delivery delivery;
      if (from != leader) return delivery;
      delivery.lose_answer = call.body.find("\"write\":\"ends/wk-1\"") != std::string::npos;
      if (call.path == "/keys/ends/wk-1" && cluster.state.has("ends/wk-1"))
        delivery.replaced_body = body;
      return delivery;
    });
    cluster.cancel_without_waiting(leader, "wk-1");
    while (!cluster.state.has("ends/wk-1") && cluster.time.now() < 120000) cluster.time.run_for(10);
    // A follower, which reads the stored value, tells the user that the job is withdrawn.
    EXPECT_EQ(cluster.poll(cluster.follower(), "wk-1").stage(), "withdrawn");
    for (int i = 0; i < 60; ++i) {
      cluster.time.run_for(1000);
      for (const char* id : {"wk-1", "wk-2"}) {
        const auto answer = cluster.poll(leader, id);
        EXPECT_TRUE(answer.status == 503 || answer.stage() == "withdrawn")
            << id << " " << answer.body;
      }
    }
    EXPECT_EQ(cluster.checker.starts.count({"wk-2", 0}), 0u) << body;
    cluster.net.set_rule({});
    EXPECT_TRUE(cluster.reaches("wk-1", "withdrawn", 30000));
    EXPECT_TRUE(cluster.reaches("wk-2", "withdrawn", 30000));
    cluster.expect_no_violations();
  }
}

// A node that reads an invalid value in place of a final status answers polls with 503. The job's
// dependents must wait: a submission that depends on it gets 503 too, until the value is readable.
TEST(Dependencies, UnreadableFinalStatusIsNotReported) {
  for (const std::string& body : unreadable_status_replies()) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.submit("n0", array_job("wk-1", 1, 3));
    ASSERT_TRUE(cluster.reaches("wk-1", "done", 60000));
    const std::string old_leader = cluster.leader();
    cluster.kill(old_leader);
    while (cluster.leader().empty()) cluster.time.run_for(10);
    const std::string leader = cluster.leader();
    for (const char* node : {"n0", "n1", "n2"})  // a restart empties a node's caches
      if (node != leader && node != old_leader) {
        cluster.kill(node);
        cluster.start(node);
      }
    cluster.start(old_leader);
    cluster.time.run_for(5000);
    cluster.net.set_rule([&](const std::string&, const net::Call& call) {
      Delivery delivery;
      if (call.path == "/keys/ends/wk-1") delivery.replaced_body = body;
      return delivery;
    });
    for (const char* node : {"n0", "n1", "n2"})
      EXPECT_EQ(cluster.poll(node, "wk-1").status, 503) << body;
    EXPECT_EQ(
        cluster.submit(old_leader, with_dependencies(array_job("wk-2", 1, 3), {"wk-1"})).status,
        503)
        << body;
    cluster.net.set_rule({});
    EXPECT_EQ(
        cluster.submit(old_leader, with_dependencies(array_job("wk-2", 1, 3), {"wk-1"})).status,
        201);
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
    cluster.expect_no_violations();
  }
}

}  // namespace
}  // namespace seampass::fakes
