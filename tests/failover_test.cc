// Changes of the leader: one leader at most, tasks that run are kept, and a leader that is cut off
// is replaced. In simulated time, against our own fakes, with a checker of the invariants.
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
  const std::string first = cluster.leader();
  cluster.kill(first);
  cluster.time.run_for(8000);
  EXPECT_NE(cluster.leader(), "");
  EXPECT_NE(cluster.leader(), first);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 90000));
  cluster.expect_no_task_started_twice();
  cluster.start(first);
  cluster.time.run_for(3000);
  EXPECT_EQ(cluster.poll(first, "wk-1").stage(), "done");
  cluster.expect_no_violations();
}

TEST(Failover, ElectsOneLeaderAtMostWhileNodesRestart) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 8, 20));
  for (int round = 0; round < 12; ++round) {
    const std::string leader = cluster.leader();
    if (!leader.empty()) {
      cluster.kill(leader);
      cluster.time.run_for(37 * round);  // back within a fraction of a second
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

// A record that names no leader ends no process, and once it is gone a leader is elected.
TEST(Failover, ElectsNobodyWhileTheLeaderRecordIsUnreadable) {
  for (const char* value : {R"({"node":5})", R"({})", R"("n0")", "null"}) {
    SimulatedCluster cluster;
    cluster.put("leader", wire::Json::parse(value));
    cluster.time.run_for(20000);
    EXPECT_EQ(cluster.leader_count(), 0) << value;
    cluster.remove("leader");
    EXPECT_TRUE(cluster.wait_for_leader()) << value;
  }
}

// The leader reaches neither the state service nor its peers, but still hears from its workers. For
// the time of its lease extension they obey it: a user is not answered before the last task is off.
TEST(Failover, ReplacesAPartitionedLeaderWithoutRunningItsTasksTwice) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 8, 60)));
  const std::string old = cluster.leader();
  cluster.net.set_rule([old](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == old && is_to_store(call)) delivery.late = 60000;
    return delivery;
  });
  cluster.separate_from_peers(old);
  cluster.time.run_for(9000);
  const std::string next = cluster.leader();
  ASSERT_NE(next, "");
  ASSERT_NE(next, old);
  cluster.submit(next, array_job("wk-2", 8, 10));
  EXPECT_EQ(cluster.cancel_until_final(next, "wk-1", 42000).stage(), "withdrawn");
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.time.run_for(45000);
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.end_network_faults();
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 120000));
  EXPECT_EQ(cluster.poll(old, "wk-1").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The same while a machine dies and none can be returned: the expiry of the workers' leases alone
// must end what runs there.
TEST(Failover, PartitionedLeaderStopsAnsweringWorkersInTime) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 2, 300));
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-2", 6, 45)));
  cluster.time.run_for(2000);
  const std::string old = cluster.leader();
  cluster.net.set_rule([old](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.drop = from == old && is_to_store(call);
    return delivery;
  });
  cluster.separate_from_peers(old);
  cluster.time.run_for(6000);
  cluster.cloud.machines.begin()->second->crash();
  cluster.time.run_for(3000);
  const std::string next = cluster.leader();
  ASSERT_NE(next, "");
  ASSERT_NE(next, old);
  cluster.cloud.down = true;
  EXPECT_EQ(cluster.cancel_until_final(next, "wk-1", 42000).stage(), "withdrawn");
  EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
  cluster.time.run_for(45000);
  cluster.cloud.down = false;
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 150000));
  for (std::uint32_t i = 0; i < 2; ++i)
    EXPECT_EQ(cluster.checker.running_on.count({"wk-1", i}), 0u);
  cluster.end_network_faults();
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.leader_count(), 1);
  EXPECT_EQ(cluster.poll(old, "wk-1").stage(), "withdrawn");
  cluster.expect_no_violations();
}

// The state service refuses the leader alone, for longer than its lease extension. Workers follow
// the next leader at once, and the refused node still takes and answers requests.
TEST(Failover, ReplacesALeaderThatTheStoreRefuses) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 4, 60)));
  const std::string old = cluster.leader();
  cluster.net.set_rule([old](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == old && is_to_store(call)) delivery.status = 503;
    return delivery;
  });
  cluster.time.run_for(9000);
  ASSERT_NE(cluster.leader(), "");
  ASSERT_NE(cluster.leader(), old);
  EXPECT_EQ(cluster.submit(old, array_job("wk-2", 3, 5)).status, 201);
  EXPECT_EQ(cluster.submit(old, array_job("wk-2", 3, 5)).status, 200);
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 20000));
  EXPECT_EQ(cluster.poll(old, "wk-2").stage(), "done");
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// No worker reaches the leader, though the state service and its peers do.
TEST(Failover, ReplacesALeaderThatNoWorkerReaches) {
  SimulatedCluster cluster(1, 6);
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 10, 60)));
  cluster.time.run_for(4000);
  const std::string old = cluster.leader();
  cluster.net.set_rule([old](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.drop = is_to_node(call, old) || (from == old && call.endpoint.starts_with("m-"));
    return delivery;
  });
  cluster.time.run_for(40000);  // twice a worker's lease
  EXPECT_NE(cluster.leader(), old);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 60000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// A leader that no worker reaches resigns. Of the others, one that no worker reaches either leaves
// the election to one that they do reach.
TEST(Failover, ElectsANodeThatWorkersReach) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    SimulatedCluster cluster(seed, 6);
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 10, 100)));
    const std::string old = cluster.leader();
    const std::string unreachable = cluster.follower();
    cluster.net.set_rule([old, unreachable](const std::string& from, const net::Call& call) {
      Delivery delivery;
      delivery.refuse =
          is_machine(from) && (is_to_node(call, old) || is_to_node(call, unreachable));
      return delivery;
    });
    for (int i = 0; i < 200 && (cluster.leader() == old || cluster.leader().empty()); ++i)
      cluster.time.run_for(100);
    EXPECT_NE(cluster.leader(), old);
    EXPECT_NE(cluster.leader(), unreachable) << "seed " << seed;
  }
}

// A new leader has machines listed whose workers have not found it yet: they are used.
TEST(Failover, NewLeaderReturnsNoMachineBeforeItCanHaveReported) {
  SimulatedCluster cluster(1, 8);
  cluster.cloud.capacity = 8;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.kill_all();
  cluster.time.run_for(20000);  // longer than three boots
  cluster.start_all();
  cluster.time.run_for(150);
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 16, 10)).status, 201);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 60000));
  EXPECT_EQ(cluster.cloud.rented, 0);
  cluster.expect_no_violations();
}

// With several hundred open jobs, within a quarter of a worker's lease.
TEST(Failover, NextLeaderOfManyJobsPlacesAgainSoon) {
  SimulatedCluster cluster(1, 4);
  cluster.cloud.capacity = 4;  // 8 tasks at once; the rest waits
  ASSERT_TRUE(cluster.wait_for_leader());
  for (int i = 0; i < 300; ++i) {
    const std::string id = "wk-" + std::to_string(1000 + i);
    ASSERT_EQ(cluster.submit(cluster.leader(), array_job(id, 3, 6)).status, 201);
  }
  const std::string first = cluster.leader();
  cluster.kill(first);
  while (cluster.leader().empty()) cluster.time.run_for(100);
  const int before = cluster.start_count();
  cluster.time.run_for(5000);  // lease_s / 4
  EXPECT_GT(cluster.start_count(), before);
  cluster.start(first);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
