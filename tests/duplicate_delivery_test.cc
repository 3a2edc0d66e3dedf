// Late copies of old messages, and repeats of requests that were carried out. Each test fails when
// its guard is taken out. In simulated time, against our own fakes.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"
#include "leader/jobs/open_record.h"

namespace seampass::fakes {
namespace {

// A job whose one task keeps the only machine rented.
void keep_machine_busy(SimulatedCluster& cluster) {
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 1, 400)));
}

// Cancels wk-1, waits until none of its tasks can run, and sends the commands again.
void expect_no_start_by_copies(SimulatedCluster& cluster, const std::vector<net::Call>& commands) {
  EXPECT_EQ(cluster.cancel("n0", "wk-1").stage(), "withdrawn");
  cluster.time.run_for(45000);  // longer than cancel_s
  const int before = cluster.start_count();
  ASSERT_FALSE(commands.empty());
  cluster.resend(commands);
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.start_count(), before);
  cluster.expect_no_violations();
}

// How many ended attempts the machine reports; -1 if it does not answer.
int reported_ended_attempts(SimulatedCluster& cluster, const std::string& machine) {
  int ended = -1;
  const auto alive = std::make_shared<bool>(true);
  cluster.net.call("user", alive, {machine + ":9000", "GET", "/inspect", "", 1000},
                   [&ended](const net::Reply& reply) {
                     ended = 0;
                     for (const auto& task : wire::heartbeat_from(reply.body).tasks)
                       ended += task.state == wire::TaskState::exited ? 1 : 0;
                   });
  cluster.time.run_for(1000);
  return ended;
}

TEST(DuplicateDelivery, OfStartsRunsNoTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_busy(cluster));
  const auto& commands = cluster.record_calls("/commands");
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 1, 100)));
  expect_no_start_by_copies(cluster, commands);
}

TEST(DuplicateDelivery, OfStartsRunsNoFinishedTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_busy(cluster));
  const auto& commands = cluster.record_calls("/commands");
  cluster.submit("n0", array_job("wk-1", 8, 3));  // one at a time beside the other job
  cluster.time.run_for(9000);
  ASSERT_GT(cluster.checker.finished.size(), 0u);
  expect_no_start_by_copies(cluster, commands);
}

// However many tasks of the job one machine has run; and the machine is not given up for that.
TEST(DuplicateDelivery, OfManyStartsOnOneMachineRunsNoTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_busy(cluster));
  const auto& commands = cluster.record_calls("/commands");
  cluster.submit("n0", array_job("wk-1", 100, 1));  // one at a time beside the other job
  for (int i = 0; i < 400 && cluster.checker.finished.size() < 50; ++i) cluster.time.run_for(1000);
  ASSERT_GE(cluster.checker.finished.size(), 50u);
  auto urgent = array_job("wk-2", 1, 400);  // meanwhile nothing changes about the first
  urgent.priority = wire::Priority::high;
  ASSERT_TRUE(cluster.submit_and_run(urgent));
  cluster.time.run_for(15000);
  ASSERT_LT(cluster.checker.finished.size(), 100u);
  const TaskKey kept{"wk-900", 0};
  const int ended = reported_ended_attempts(cluster, cluster.checker.running_on[kept]);
  EXPECT_GE(ended, 1);
  EXPECT_LE(ended, 12);  // its heartbeats stay short
  expect_no_start_by_copies(cluster, commands);
  EXPECT_EQ(cluster.checker.starts[kept], 1);
}

// The first attempt failed, and the task runs elsewhere.
TEST(DuplicateDelivery, OfStartsRunsNoTaskTwiceAfterAFailedAttempt) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 3;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 3, 400)));
  const auto& commands = cluster.record_calls("/commands");
  cluster.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
  cluster.cloud.machines.at("m-000002")->fail_next(wire::ExitCause::error);
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 1, 200), 60000));
  cluster.time.run_for(12000);
  cluster.resend(commands);
  cluster.time.run_for(5000);
  cluster.expect_no_violations();
}

// A worker keeps a failed attempt for as long as a copy of its start may come. The next attempt
// does not wait for that, and the machine on which the job failed is not barred to it for good.
TEST(DuplicateDelivery, GuardAgainstItDelaysNoNextAttempt) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
  cluster.submit("n0", gang_job("wk-1", 1, 6));
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_violations();
}

// They carry numbers that the node may use again after its restart.
TEST(DuplicateDelivery, OfRepliesToANodeBeforeItsRestartAreIgnored) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 2, 300)));
  const std::string node = cluster.follower();
  const std::string leader = cluster.leader();
  cluster.kill(node);
  cluster.start(node);
  cluster.time.run_for(3000);
  rpc::JobReply old;
  old.lookup = rpc::Lookup::found;
  old.status.stage = wire::Stage::done;
  for (Ms at = 0; at < 12; ++at)
    cluster.time.after(at, [&cluster, &leader, &node, old]() mutable {
      for (old.number = 1; old.number < 100; ++old.number) cluster.deliver(leader, node, old);
    });
  EXPECT_EQ(cluster.poll(node, "wk-1").stage(), "running");
  EXPECT_EQ(cluster.poll(node, "wk-1").stage(), "running");
  cluster.expect_no_violations();
}

// It reaches the next leader, which never knew of the job.
TEST(DuplicateDelivery, OfAnAcceptanceDoesNotReviveAFinishedJob) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 2));
  ASSERT_TRUE(cluster.reaches("wk-1", "done", 30000));
  const std::string record = leader::encode_open_record(array_job("wk-1", 1, 2), 5).dump();
  cluster.kill_all();
  cluster.start_all();
  cluster.time.run_for(100);
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.time.run_for(2000);
  cluster.deliver(cluster.follower(), cluster.leader(), rpc::JobAccepted{"wk-1", record, 2});
  EXPECT_EQ(cluster.poll(cluster.leader(), "wk-1").stage(), "done");
  cluster.expect_no_violations();
}

// They answer rounds of the same numbers as those of the present term.
TEST(DuplicateDelivery, OfConfirmationsOfAnEarlierTermExtendsNoLease) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 200)));
  const std::string leader = cluster.leader();
  cluster.separate_peers();
  cluster.state.down = true;
  for (int i = 0; i < 60; ++i) {
    for (const char* node : kNodes)
      for (std::uint64_t round = 1; node != leader && round < 200; ++round)
        cluster.deliver(node, leader, rpc::EpochConfirmation{round, 0, 1'000'000});
    cluster.time.run_for(1000);
  }
  EXPECT_TRUE(cluster.checker.running_on.empty());  // the leases have expired
  cluster.net.set_peer_rule({});
  cluster.state.come_back();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 400000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
