// Final statuses that can't be read: neither answers nor starts may follow from them.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// What a read of wk-1's final status is answered with, though the record is there: values that say
// no final status.
std::vector<std::string> unreadable_ends() {
  std::vector<std::string> bodies;
  for (const char* value : {R"({"stage":"finished","done":0})", R"({"stage":"queued","done":0})",
                            R"({"stage":"running","done":0})", R"({"done":2})", R"("withdrawn")"})
    bodies.push_back(std::string(R"({"path":"ends/wk-1","stamp":9,"v":)") + value + "}");
  return bodies;
}

// The cancellation of the first is durable, its answer is lost, and what the leader then reads says
// no final status: that is neither `done`, by which the second would start, nor an end.
TEST(Dependencies, AnUnreadableEndPermitsNothing) {
  for (const std::string& body : unreadable_ends()) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.submit("n0", array_job("wk-1", 1, 300));
    cluster.submit("n0", after(array_job("wk-2", 1, 300), {"wk-1"}));
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
    // The user is told by a node that can read it.
    EXPECT_EQ(cluster.poll(cluster.follower(), "wk-1").stage(), "withdrawn");
    for (int i = 0; i < 60; ++i) {
      cluster.time.run_for(1000);
      for (const char* id : {"wk-1", "wk-2"}) {
        const auto told = cluster.poll(leader, id);
        EXPECT_TRUE(told.status == 503 || told.stage() == "withdrawn") << id << " " << told.body;
      }
    }
    EXPECT_EQ(cluster.checker.starts.count({"wk-2", 0}), 0u) << body;
    cluster.net.set_rule({});
    EXPECT_TRUE(cluster.reaches("wk-1", "withdrawn", 30000));
    EXPECT_TRUE(cluster.reaches("wk-2", "withdrawn", 30000));
    cluster.expect_no_violations();
  }
}

// A node that reads no final status where one is says nothing, and the next leader waits with what
// depends on it.
TEST(Dependencies, AnUnreadableEndIsNoAnswer) {
  for (const std::string& body : unreadable_ends()) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.submit("n0", array_job("wk-1", 1, 3));
    ASSERT_TRUE(cluster.reaches("wk-1", "done", 60000));
    const std::string old = cluster.leader();
    cluster.kill(old);
    while (cluster.leader().empty()) cluster.time.run_for(10);
    const std::string leader = cluster.leader();
    for (const char* node : {"n0", "n1", "n2"})  // nothing is left in any cache
      if (node != leader && node != old) {
        cluster.kill(node);
        cluster.start(node);
      }
    cluster.start(old);
    cluster.time.run_for(5000);
    cluster.net.set_rule([&](const std::string&, const net::Call& call) {
      Delivery delivery;
      if (call.path == "/keys/ends/wk-1") delivery.replaced_body = body;
      return delivery;
    });
    for (const char* node : {"n0", "n1", "n2"})
      EXPECT_EQ(cluster.poll(node, "wk-1").status, 503) << body;
    EXPECT_EQ(cluster.submit(old, after(array_job("wk-2", 1, 3), {"wk-1"})).status, 503) << body;
    cluster.net.set_rule({});
    EXPECT_EQ(cluster.submit(old, after(array_job("wk-2", 1, 3), {"wk-1"})).status, 201);
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
    cluster.expect_no_violations();
  }
}

}  // namespace
}  // namespace seampass::fakes
