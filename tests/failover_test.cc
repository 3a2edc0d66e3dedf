// Tests of failover: at most one node leads, a new leader keeps running tasks, and a leader that is
// cut off is replaced. The tests run in simulated time against fakes of the state service, the
// cloud and the workers, and an InvariantChecker verifies the invariants.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

TEST(Failover, NextLeaderKeepsRunningTasks) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 6, 30));
  cluster.submit("n0", gang_job("wk-2", 1, 30));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  const std::string first_leader = cluster.leader();
  cluster.kill(first_leader);
  cluster.time.run_for(8000);
  EXPECT_NE(cluster.leader(), "");
  EXPECT_NE(cluster.leader(), first_leader);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 90000));
  cluster.expect_no_task_started_twice();
  cluster.start(first_leader);
  cluster.time.run_for(3000);
  EXPECT_EQ(cluster.poll(first_leader, "wk-1").stage(), "done");
  cluster.expect_no_violations();
}

TEST(Failover, ElectsAtMostOneLeaderWhileNodesRestart) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 8, 20));
  for (int round = 0; round < 12; ++round) {
    const std::string leader = cluster.leader();
    if (!leader.empty()) {
      cluster.kill(leader);
      cluster.time.run_for(37 * round);  // the node is back after at most 0.41 s
      cluster.start(leader);
    }
    cluster.time.run_for(300 + 450 * round);
    ASSERT_LE(cluster.leader_count(), 1);
  }
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 120000));
  cluster.expect_no_violations();
}

TEST(Failover, KeepsRunningTasksWhenAllNodesRestart) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 40)));
  cluster.kill_all();
  cluster.time.run_for(6000);
  cluster.start_all();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 120000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// A leader record that names no leader must not crash any node. While it exists no node is elected;
// once it is removed, one is.
TEST(Failover, ElectsNoLeaderWhileTheLeaderRecordIsUnreadable) {
  for (const char* value : {R"({"node":5})", R"({})", R"("n0")", "null"}) {
    SimulatedCluster cluster;
    cluster.put("leader", wire::Json::parse(value));
    cluster.time.run_for(20000);
    EXPECT_EQ(cluster.leader_count(), 0) << value;
    cluster.remove("leader");
    EXPECT_TRUE(cluster.wait_for_leader()) << value;
  }
}

// The leader reaches neither the state service nor its peers, but still receives its workers'
// heartbeats. Until its lease extension ends, it renews their leases and they run its tasks. So the
// next leader must not answer a cancellation with "withdrawn" before every task of the job is
// proven absent.
TEST(Failover, ReplacesAPartitionedLeaderWithoutRunningItsTasksTwice) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 8, 60)));
  const std::string old_leader = cluster.leader();
  cluster.net.set_rule([old_leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == old_leader && is_to_store(call)) delivery.delay_without_answer = 60000;
    return delivery;
  });
  cluster.separate_from_peers(old_leader);
  cluster.time.run_for(9000);
  const std::string next_leader = cluster.leader();
  ASSERT_NE(next_leader, "");
  ASSERT_NE(next_leader, old_leader);
  cluster.submit(next_leader, array_job("wk-2", 8, 10));
  EXPECT_EQ(cluster.cancel_until_final(next_leader, "wk-1", 42000).stage(), "withdrawn");
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.time.run_for(45000);
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.end_network_faults();
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 120000));
  EXPECT_EQ(cluster.poll(old_leader, "wk-1").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The leader is partitioned as in the test above, a machine crashes, and the cloud deletes no
// machine. Only the expiry of the workers' leases can then end the cancelled tasks, so the
// partitioned leader must stop renewing these leases.
TEST(Failover, PartitionedLeaderStopsRenewingWorkerLeases) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 2, 300));
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-2", 6, 45)));
  cluster.time.run_for(2000);
  const std::string old_leader = cluster.leader();
  cluster.net.set_rule([old_leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.drop = from == old_leader && is_to_store(call);
    return delivery;
  });
  cluster.separate_from_peers(old_leader);
  cluster.time.run_for(6000);
  cluster.cloud.machines.begin()->second->crash();
  cluster.time.run_for(3000);
  const std::string next_leader = cluster.leader();
  ASSERT_NE(next_leader, "");
  ASSERT_NE(next_leader, old_leader);
  cluster.cloud.down = true;
  EXPECT_EQ(cluster.cancel_until_final(next_leader, "wk-1", 42000).stage(), "withdrawn");
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.time.run_for(45000);
  cluster.cloud.down = false;
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 150000));
  for (std::uint32_t i = 0; i < 2; ++i)
    EXPECT_EQ(cluster.checker.running_on.count({"wk-1", i}), 0u);
  cluster.end_network_faults();
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.leader_count(), 1);
  EXPECT_EQ(cluster.poll(old_leader, "wk-1").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The state service refuses the requests of the leader only, for longer than its lease extension.
// The workers switch to the next leader at once, and the refused node still accepts jobs and
// answers polls.
TEST(Failover, ReplacesALeaderThatTheStoreRefuses) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 4, 60)));
  const std::string old_leader = cluster.leader();
  cluster.net.set_rule([old_leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == old_leader && is_to_store(call)) delivery.status = 503;
    return delivery;
  });
  cluster.time.run_for(9000);
  ASSERT_NE(cluster.leader(), "");
  ASSERT_NE(cluster.leader(), old_leader);
  EXPECT_EQ(cluster.submit(old_leader, array_job("wk-2", 3, 5)).status, 201);
  EXPECT_EQ(cluster.submit(old_leader, array_job("wk-2", 3, 5)).status, 200);
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 20000));
  EXPECT_EQ(cluster.poll(old_leader, "wk-2").stage(), "done");
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// No request passes between the workers and the leader, while the leader still reaches the state
// service and its peers.
TEST(Failover, ReplacesALeaderThatNoWorkerReaches) {
  SimulatedCluster cluster(1, 6);
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 10, 60)));
  cluster.time.run_for(4000);
  const std::string old_leader = cluster.leader();
  cluster.net.set_rule([old_leader](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.drop =
        is_to_node(call, old_leader) || (from == old_leader && call.endpoint.starts_with("m-"));
    return delivery;
  });
  cluster.time.run_for(40000);  // twice a worker's lease
  EXPECT_NE(cluster.leader(), old_leader);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 60000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// A leader that no worker reaches resigns. One of the other two nodes is unreachable for the
// workers as well, and must leave the election to the node that they do reach.
TEST(Failover, ElectsANodeThatWorkersReach) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    SimulatedCluster cluster(seed, 6);
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 10, 100)));
    const std::string old_leader = cluster.leader();
    const std::string unreachable = cluster.follower();
    cluster.net.set_rule([old_leader, unreachable](const std::string& from, const net::Call& call) {
      Delivery delivery;
      delivery.refuse =
          is_machine(from) && (is_to_node(call, old_leader) || is_to_node(call, unreachable));
      return delivery;
    });
    for (int i = 0; i < 200 && (cluster.leader() == old_leader || cluster.leader().empty()); ++i)
      cluster.time.run_for(100);
    EXPECT_NE(cluster.leader(), old_leader);
    EXPECT_NE(cluster.leader(), unreachable) << "seed " << seed;
  }
}

// The cloud lists machines whose workers have sent the new leader no heartbeat yet, since they
// first have to find out which node leads. The leader must wait for them and use these machines,
// instead of returning them and renting others.
TEST(Failover, NewLeaderReturnsNoMachineBeforeItsFirstHeartbeatIsDue) {
  SimulatedCluster cluster(1, 8);
  cluster.cloud.capacity = 8;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.kill_all();
  cluster.time.run_for(20000);  // longer than three boots, after which a boot counts as failed
  cluster.start_all();
  cluster.time.run_for(150);
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 16, 10)).status, 201);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 60000));
  EXPECT_EQ(cluster.cloud.rented, 0);
  cluster.expect_no_violations();
}

// The next leader recovers several hundred open jobs and starts tasks again within a quarter of a
// worker's lease.
TEST(Failover, NextLeaderOfManyJobsStartsTasksWithinAQuarterOfALease) {
  SimulatedCluster cluster(1, 4);
  cluster.cloud.capacity = 4;  // 8 tasks run at once, all others are queued
  ASSERT_TRUE(cluster.wait_for_leader());
  for (int i = 0; i < 300; ++i) {
    const std::string id = "wk-" + std::to_string(1000 + i);
    ASSERT_EQ(cluster.submit(cluster.leader(), array_job(id, 3, 6)).status, 201);
  }
  const std::string first_leader = cluster.leader();
  cluster.kill(first_leader);
  while (cluster.leader().empty()) cluster.time.run_for(100);
  const int starts_before = cluster.start_count();
  cluster.time.run_for(5000);  // lease_s / 4
  EXPECT_GT(cluster.start_count(), starts_before);
  cluster.start(first_leader);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
