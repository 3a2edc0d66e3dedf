// Tests of late copies of messages and of repeated requests that were already executed. Each test
// fails when the code that guards against its fault is removed. The tests run in simulated time
// against fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"
#include "leader/jobs/open_record.h"

namespace seampass::fakes {
namespace {

// Submits a job with one long task, so that the leader does not return the only machine as idle.
void keep_machine_rented(SimulatedCluster& cluster) {
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 1, 400)));
}

// Cancels wk-1, waits until none of its tasks may still run, sends the commands again, and expects
// that they start no task.
void expect_no_start_by_copies(SimulatedCluster& cluster, const std::vector<net::Call>& commands) {
  EXPECT_EQ(cluster.cancel("n0", "wk-1").stage(), "withdrawn");
  cluster.time.run_for(45000);  // longer than cancel_s
  const int starts_before = cluster.start_count();
  ASSERT_FALSE(commands.empty());
  cluster.resend(commands);
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.start_count(), starts_before);
  cluster.expect_no_violations();
}

// Returns how many exited attempts the machine reports, or -1 if it does not answer.
int reported_exited_attempts(SimulatedCluster& cluster, const std::string& machine) {
  int exited = -1;
  const auto alive = std::make_shared<bool>(true);
  cluster.net.call("user", alive, {machine + ":9000", "GET", "/inspect", "", 1000},
                   [&exited](const net::Reply& reply) {
                     exited = 0;
                     for (const auto& task : wire::heartbeat_from(reply.body).tasks)
                       exited += task.state == wire::TaskState::exited ? 1 : 0;
                   });
  cluster.time.run_for(1000);
  return exited;
}

TEST(DuplicateDelivery, OfStartsRunsNoTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_rented(cluster));
  const auto& commands = cluster.record_calls("/commands");
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 1, 100)));
  expect_no_start_by_copies(cluster, commands);
}

TEST(DuplicateDelivery, OfStartsRunsNoFinishedTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_rented(cluster));
  const auto& commands = cluster.record_calls("/commands");
  cluster.submit("n0", array_job("wk-1", 8, 3));  // one task at a time runs beside wk-900
  cluster.time.run_for(9000);
  ASSERT_GT(cluster.checker.finished.size(), 0u);
  expect_no_start_by_copies(cluster, commands);
}

// Copies of start commands must start no task even after one machine has run many tasks of the job.
// The machine's heartbeats must stay short meanwhile, and the machine must stay in use.
TEST(DuplicateDelivery, OfManyStartsOnOneMachineRunsNoTaskOfACancelledJob) {
  SimulatedCluster cluster(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_machine_rented(cluster));
  const auto& commands = cluster.record_calls("/commands");
  cluster.submit("n0", array_job("wk-1", 100, 1));  // one task at a time runs beside wk-900
  for (int i = 0; i < 400 && cluster.checker.finished.size() < 50; ++i) cluster.time.run_for(1000);
  ASSERT_GE(cluster.checker.finished.size(), 50u);
  // The urgent job takes up the room that wk-1 used, so that no more tasks of wk-1 start.
  auto urgent_job = array_job("wk-2", 1, 400);
  urgent_job.priority = wire::Priority::high;
  ASSERT_TRUE(cluster.submit_and_run(urgent_job));
  cluster.time.run_for(15000);
  ASSERT_LT(cluster.checker.finished.size(), 100u);
  const TaskKey long_task{"wk-900", 0};
  const int exited = reported_exited_attempts(cluster, cluster.checker.running_on[long_task]);
  EXPECT_EQ(exited, 0);  // the heartbeats stay short
  expect_no_start_by_copies(cluster, commands);
  EXPECT_EQ(cluster.checker.starts[long_task], 1);
}

// The first attempt of a task has failed and the task runs on another machine. A copy of the first
// start command must not start the task a second time.
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

// A worker remembers a failed attempt for as long as a late copy of its start command may arrive,
// so that the copy starts nothing. This must not delay the next attempt, and must not exclude the
// machine permanently from the job that failed there.
TEST(DuplicateDelivery, RememberedFailedAttemptDoesNotDelayTheNextOne) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
  cluster.submit("n0", gang_job("wk-1", 1, 6));
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_violations();
}

// Late replies to requests that a node sent before its restart carry request numbers that the node
// may use again. The node must not take such a reply as the answer to a new request.
TEST(DuplicateDelivery, OfRepliesToANodeFromBeforeItsRestartIsIgnored) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 2, 300)));
  const std::string node = cluster.follower();
  const std::string leader = cluster.leader();
  cluster.kill(node);
  cluster.start(node);
  cluster.time.run_for(3000);
  rpc::JobReply late_reply;
  late_reply.lookup = rpc::Lookup::found;
  late_reply.status.stage = wire::Stage::done;
  for (Ms at = 0; at < 12; ++at)
    cluster.time.after(at, [&cluster, &leader, &node, late_reply]() mutable {
      for (late_reply.number = 1; late_reply.number < 100; ++late_reply.number)
        cluster.deliver(leader, node, late_reply);
    });
  EXPECT_EQ(cluster.poll(node, "wk-1").stage(), "running");
  EXPECT_EQ(cluster.poll(node, "wk-1").stage(), "running");
  cluster.expect_no_violations();
}

// A late copy of a JobAccepted message reaches the next leader, which has no entry for the finished
// job. It must not run the job again.
TEST(DuplicateDelivery, OfAnAcceptanceDoesNotReopenAFinishedJob) {
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

// Late copies of epoch confirmations from an earlier term may carry the same round numbers as those
// of the present term. Only their lower epoch shows that they are old. The leader must not extend
// its lease because of them.
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
  cluster.state.end_outage();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 400000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
