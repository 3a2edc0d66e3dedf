// Tests how the cancellation of a job affects the jobs that depend on it.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"
#include "leader/jobs/open_record.h"

namespace seampass::fakes {
namespace {

TEST(Dependencies, DependentsAreCancelledWithTheirDependency) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 2, 300), array_job("wk-2", 2, 5)});
  cluster.submit("n1", with_dependencies(array_job("wk-3", 2, 5), {"wk-2"}));
  ASSERT_EQ(cluster.cancel_until_final("n2", "wk-1", 30000).stage(), "withdrawn");
  for (const char* node : {"n0", "n1", "n2"})
    for (const char* id : {"wk-2", "wk-3"}) EXPECT_EQ(cluster.poll(node, id).stage(), "withdrawn");
  // A job that depends on a cancelled job is accepted, but it is withdrawn from the beginning.
  const auto late_submission =
      cluster.submit("n1", with_dependencies(array_job("wk-4", 1, 5), {"wk-3"}));
  EXPECT_EQ(late_submission.status, 201);
  EXPECT_EQ(late_submission.stage(), "withdrawn");
  EXPECT_EQ(cluster.poll("n2", "wk-4").stage(), "withdrawn");
  cluster.time.run_for(60000);
  EXPECT_EQ(cluster.state.count("open/"), 0u);
  EXPECT_EQ(cluster.state.count("work/"), 0u);
  cluster.expect_no_violations();
}

// The cancellation of a job races with its final status `done`. The dependent follows the outcome:
// it runs if the job is done, and is withdrawn if the job is withdrawn.
TEST(Dependencies, DependentsFollowTheOutcomeOfALateCancellation) {
  for (const Ms delay : {0, 20, 100, 400}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    submit_chain(cluster, {array_job("wk-1", 1, 5), array_job("wk-2", 1, 5)});
    while (cluster.checker.finished.count({"wk-1", 0}) == 0) cluster.time.run_for(5);
    cluster.time.run_for(delay);
    const auto answer = cluster.cancel_until_final("n1", "wk-1", 30000);
    EXPECT_TRUE(cluster.reaches("wk-2", answer.stage(), 60000)) << answer.stage();
    cluster.expect_no_violations();
  }
}

// The first job of a long chain is cancelled. Then the state service is down for longer than
// cancel_s; with `kill_leader`, the leader is killed too. A node that answers a poll must report
// every job of the chain as withdrawn.
TEST(Dependencies, DependentsStayWithdrawnDuringOutageAndFailover) {
  for (const bool kill_leader : {false, true}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    std::vector<wire::Job> chain{array_job("wk-1", 2, 300)};
    for (int i = 2; i <= 12; ++i) chain.push_back(array_job("wk-" + std::to_string(i), 1, 5));
    submit_chain(cluster, chain);
    ASSERT_EQ(cluster.cancel_until_final("n0", "wk-1", 30000).stage(), "withdrawn");
    cluster.state.down = true;
    const std::string old_leader = cluster.leader();
    if (kill_leader) cluster.kill(old_leader);
    const auto poll_all = [&] {
      for (int i = 2; i <= 12; ++i)
        for (const std::string node : {"n0", "n1", "n2"})
          if (!kill_leader || old_leader != node) cluster.poll(node, "wk-" + std::to_string(i));
    };
    for (int i = 0; i < 12; ++i) {
      cluster.time.run_for(5000);
      poll_all();
    }
    cluster.state.end_outage();
    if (kill_leader) cluster.start(old_leader);
    EXPECT_TRUE(cluster.reaches("wk-12", "withdrawn", 30000));
    cluster.time.run_for(20000);
    EXPECT_EQ(cluster.state.count("open/"), 0u);
    cluster.expect_no_violations();
  }
}

// A node that reaches the state service, but no leader, reads the chain of dependencies from the
// state service, and derives from it that a job is withdrawn.
TEST(Dependencies, NodesWithoutALeaderDeriveTheCancellation) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster,
               {array_job("wk-1", 2, 300), array_job("wk-2", 1, 5), array_job("wk-3", 1, 5)});
  const std::string leader = cluster.leader(), follower = cluster.follower();
  EXPECT_EQ(cluster.poll(follower, "wk-3").stage(), "queued");
  // The state service refuses all transactions of the leader except the one that writes the final
  // status of wk-1. Once that is written, no message between nodes passes.
  cluster.net.set_rule([leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    const bool writes_first_status = call.body.find("ends/wk-1") != std::string::npos;
    if (from == leader && call.path == "/txn" && !writes_first_status) delivery.status = 503;
    return delivery;
  });
  ASSERT_EQ(cluster.cancel_until_final(leader, "wk-1", 30000).stage(), "withdrawn");
  cluster.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(cluster.poll(follower, "wk-3").stage(), "withdrawn");
  EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The final status of wk-1 is stored, but the answer to this write is lost, so the leader does not
// know the outcome. Until it does, it must not report wk-2 as queued: another node has read the
// final status and has already reported wk-2 as withdrawn.
TEST(Dependencies, LeaderDoesNotReportQueuedWhileAFinalStatusIsUnknown) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 1, 300), array_job("wk-2", 1, 5)});
  const std::string leader = cluster.leader(), follower = cluster.follower();
  bool answer_lost = false;
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from != leader || call.endpoint != "state:1") return delivery;
    if (call.body.find("\"write\":\"ends/wk-1\"") != std::string::npos) {
      delivery.lose_answer = true;
      answer_lost = true;
    } else if (answer_lost && std::string_view(call.method) == "GET") {
      delivery.status = 503;
    }
    return delivery;
  });
  cluster.cancel_without_waiting(leader, "wk-1");
  for (int i = 0; i < 3000 && !answer_lost; ++i) cluster.time.run_for(1);
  ASSERT_TRUE(answer_lost);
  cluster.time.run_for(200);
  cluster.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(cluster.poll(leader, "wk-2").stage(), "queued");
    cluster.time.run_for(300);
  }
  cluster.expect_no_violations();
}

// A JobAccepted message that arrives after the job's final status was written must not reopen the
// job.
TEST(Dependencies, LateAcceptanceMessageDoesNotReopenACancelledJob) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 3));
  const auto dependent = with_dependencies(array_job("wk-2", 1, 300), {"wk-1"});
  cluster.submit("n0", dependent);
  ASSERT_TRUE(cluster.reaches("wk-2", "running", 60000));
  const std::string leader = cluster.leader(), follower = cluster.follower();
  ASSERT_EQ(cluster.cancel_until_final(leader, "wk-2", 30000).stage(), "withdrawn");
  cluster.time.run_for(5000);
  const std::string record = leader::encode_open_record(dependent, 1).dump();
  cluster.deliver(follower, leader, rpc::JobAccepted{"wk-2", record, 1'000'000});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(cluster.poll(follower, "wk-2").stage(), "withdrawn");
    cluster.time.run_for(100);
  }
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
