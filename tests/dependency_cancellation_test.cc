// What the cancellation of a job means for those that depend on it.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"
#include "leader/jobs/open_record.h"

namespace seampass::fakes {
namespace {

TEST(Dependencies, AreCancelledWithWhatTheyNeed) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 2, 300), array_job("wk-2", 2, 5)});
  cluster.submit("n1", after(array_job("wk-3", 2, 5), {"wk-2"}));
  ASSERT_EQ(cluster.cancel_until_final("n2", "wk-1", 30000).stage(), "withdrawn");
  for (const char* node : {"n0", "n1", "n2"})
    for (const char* id : {"wk-2", "wk-3"}) EXPECT_EQ(cluster.poll(node, id).stage(), "withdrawn");
  // Accepted all the same, and never called queued.
  const auto later = cluster.submit("n1", after(array_job("wk-4", 1, 5), {"wk-3"}));
  EXPECT_EQ(later.status, 201);
  EXPECT_EQ(later.stage(), "withdrawn");
  EXPECT_EQ(cluster.poll("n2", "wk-4").stage(), "withdrawn");
  cluster.time.run_for(60000);
  EXPECT_EQ(cluster.state.count("open/"), 0u);
  EXPECT_EQ(cluster.state.count("work/"), 0u);
  cluster.expect_no_violations();
}

// `done` won the race with the cancellation: what follows goes on.
TEST(Dependencies, GoOnIfTheCancellationCameTooLate) {
  for (const Ms delay : {0, 20, 100, 400}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    submit_chain(cluster, {array_job("wk-1", 1, 5), array_job("wk-2", 1, 5)});
    while (cluster.checker.finished.count({"wk-1", 0}) == 0) cluster.time.run_for(5);
    cluster.time.run_for(delay);
    const auto told = cluster.cancel_until_final("n1", "wk-1", 30000);
    EXPECT_TRUE(cluster.reaches("wk-2", told.stage(), 60000)) << told.stage();
    cluster.expect_no_violations();
  }
}

// The head of a long chain is cancelled, the store goes down at once and for longer than cancel_s,
// and the leader ends: no node that answers says anything but withdrawn.
TEST(Dependencies, CancelledThroughAnOutageAndAChangeOfLeader) {
  for (const bool leader_ends : {false, true}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    std::vector<wire::Job> chain{array_job("wk-1", 2, 300)};
    for (int i = 2; i <= 12; ++i) chain.push_back(array_job("wk-" + std::to_string(i), 1, 5));
    submit_chain(cluster, chain);
    ASSERT_EQ(cluster.cancel_until_final("n0", "wk-1", 30000).stage(), "withdrawn");
    cluster.state.down = true;
    const std::string old = cluster.leader();
    if (leader_ends) cluster.kill(old);
    const auto ask_all = [&] {
      for (int i = 2; i <= 12; ++i)
        for (const std::string node : {"n0", "n1", "n2"})
          if (!leader_ends || old != node) cluster.poll(node, "wk-" + std::to_string(i));
    };
    for (int i = 0; i < 12; ++i) {
      cluster.time.run_for(5000);
      ask_all();
    }
    cluster.state.come_back();
    if (leader_ends) cluster.start(old);
    EXPECT_TRUE(cluster.reaches("wk-12", "withdrawn", 30000));
    cluster.time.run_for(20000);
    EXPECT_EQ(cluster.state.count("open/"), 0u);
    cluster.expect_no_violations();
  }
}

// No leader can be had, the store can: the nodes walk the chain there.
TEST(Dependencies, NodesWithoutALeaderDeriveTheEnd) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster,
               {array_job("wk-1", 2, 300), array_job("wk-2", 1, 5), array_job("wk-3", 1, 5)});
  const std::string leader = cluster.leader(), follower = cluster.follower();
  EXPECT_EQ(cluster.poll(follower, "wk-3").stage(), "queued");
  // The leader writes nothing more but the first end, and hears nobody.
  cluster.net.set_rule([leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    const bool first = call.body.find("ends/wk-1") != std::string::npos;
    if (from == leader && call.path == "/txn" && !first) delivery.status = 503;
    return delivery;
  });
  ASSERT_EQ(cluster.cancel_until_final(leader, "wk-1", 30000).stage(), "withdrawn");
  cluster.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(cluster.poll(follower, "wk-3").stage(), "withdrawn");
  EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The end of the first is in the store, its answer is lost: while the leader does not know, it must
// not call the second queued, since another node has read it as withdrawn.
TEST(Dependencies, NothingIsSaidFromMemoryWhileAnEndUpstreamIsInDoubt) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 1, 300), array_job("wk-2", 1, 5)});
  const std::string leader = cluster.leader(), follower = cluster.follower();
  bool cut = false;
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from != leader || call.endpoint != "state:1") return delivery;
    if (call.body.find("\"write\":\"ends/wk-1\"") != std::string::npos) {
      delivery.lose_answer = true;
      cut = true;
    } else if (cut && std::string_view(call.method) == "GET") {
      delivery.status = 503;
    }
    return delivery;
  });
  cluster.cancel_without_waiting(leader, "wk-1");
  for (int i = 0; i < 3000 && !cut; ++i) cluster.time.run_for(1);
  ASSERT_TRUE(cut);
  cluster.time.run_for(200);
  cluster.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(cluster.poll(leader, "wk-2").stage(), "queued");
    cluster.time.run_for(300);
  }
  cluster.expect_no_violations();
}

// News of an acceptance that comes after the job's end does not bring it back.
TEST(Dependencies, LateNewsOfACancelledJobIsOld) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 3));
  const auto second = after(array_job("wk-2", 1, 300), {"wk-1"});
  cluster.submit("n0", second);
  ASSERT_TRUE(cluster.reaches("wk-2", "running", 60000));
  const std::string leader = cluster.leader(), follower = cluster.follower();
  ASSERT_EQ(cluster.cancel_until_final(leader, "wk-2", 30000).stage(), "withdrawn");
  cluster.time.run_for(5000);
  const std::string record = leader::encode_open_record(second, 1).dump();
  cluster.deliver(follower, leader, rpc::JobAccepted{"wk-2", record, 1'000'000});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
    cluster.time.run_for(100);
  }
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
