// Machines that end and are back within a fraction of a second, under their names, with a count of
// heartbeats from the start. Each test fails when its guard is taken out. In simulated time,
// against our own fakes.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

wire::Job pinned_job(const char* id, std::uint32_t tasks, double run_s, const char* zone) {
  auto job = array_job(id, tasks, run_s);
  job.zone = zone;
  return job;
}

// Two machines. The one in zone b is full for `full_s`, then has room for one task; the one in zone
// a has room for one task now. The tests are about the latter.
class MachineRestart : public ::testing::TestWithParam<unsigned> {
 protected:
  MachineRestart() : cluster_(GetParam(), 2) { cluster_.cloud.capacity = 2; }

  void occupy_one_machine_in_each_zone(double full_s) {
    EXPECT_TRUE(cluster_.wait_for_leader());
    cluster_.submit("n0", pinned_job("wk-900", 1, full_s, "b"));
    cluster_.submit("n0", pinned_job("wk-901", 1, 400, "b"));
    cluster_.submit("n0", pinned_job("wk-902", 1, 400, "a"));
    for (const char* id : {"wk-900", "wk-901", "wk-902"})
      EXPECT_TRUE(cluster_.reaches(id, "running", 30000));
  }
  std::string machine_of(const std::string& job) { return cluster_.checker.running_on[{job, 0}]; }

  SimulatedCluster cluster_;
};

// What the machine is told to start after its restart runs until its own lease expires, and is
// started nowhere else before that; meanwhile no machine can be returned.
TEST_P(MachineRestart, TasksStartedAfterItRunForTheWholeLease) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  cluster_.submit("n0", array_job("wk-900", 1, 900));
  cluster_.submit("n0", array_job("wk-901", 1, 260));  // beside it: room from then on
  auto last = array_job("wk-902", 1, 900);
  last.priority = wire::Priority::low;
  ASSERT_TRUE(cluster_.submit_and_run(last));
  // The machine's count is far ahead of what comes after the restart.
  cluster_.time.run_for(244000 + 500 * GetParam());
  const std::string restarted = machine_of("wk-902");
  ASSERT_NE(machine_of("wk-900"), restarted);
  ASSERT_NE(machine_of("wk-901"), restarted);
  cluster_.cloud.down = true;
  cluster_.cloud.restart(restarted);
  cluster_.submit("n0", array_job("wk-1", 1, 300));
  cluster_.time.run_for(1000);
  ASSERT_EQ(machine_of("wk-1"), restarted);
  cluster_.time.run_for(50000);  // the other machine has room again before the lease expires
  cluster_.cloud.down = false;
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 900000));
  cluster_.expect_no_violations();
}

// A heartbeat is delayed on its way. The machine restarts, its count is lower than before, and it
// is given work. By its count the delayed heartbeat looks newer than what the machine has said
// since; it lacks the task, and proves nothing: the task runs.
TEST_P(MachineRestart, HeartbeatDelayedSinceBeforeItEndsNoTask) {
  occupy_one_machine_in_each_zone(12);
  const std::string host = machine_of("wk-902");
  net::Call delayed;
  cluster_.net.set_rule([&delayed, host](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from != host || !is_heartbeat(call)) return delivery;
    delayed = call;
    delivery.status = 503;
    return delivery;
  });
  cluster_.time.run_for(5500);  // the count goes on, and the leader does not learn of it
  cluster_.net.set_rule({});
  cluster_.cloud.restart(host);
  ASSERT_TRUE(cluster_.submit_and_run(array_job("wk-1", 1, 200), 10000));
  ASSERT_EQ(machine_of("wk-1"), host);
  auto next = pinned_job("wk-903", 1, 400, "a");  // waits for that task's room
  next.priority = wire::Priority::high;
  cluster_.submit("n0", next);
  delayed.endpoint = cluster_.leader() + ":8080";
  cluster_.resend({delayed});
  cluster_.time.run_for(20000);
  cluster_.expect_no_violations();
  EXPECT_EQ(cluster_.checker.starts[(TaskKey{"wk-1", 0})], 1);
}

// A start is executed after the restart, and its answer is lost. The task runs until the lease that
// began with the machine expires, and is not started elsewhere before.
TEST_P(MachineRestart, StartWithoutAnAnswerMayRunForTheWholeLease) {
  occupy_one_machine_in_each_zone(14);
  const std::string host = machine_of("wk-902");
  bool heartbeats_lost = false;
  cluster_.net.set_rule([&heartbeats_lost, host](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.lose_answer = is_to_machine(call, host);
    delivery.refuse = heartbeats_lost && from == host;
    return delivery;
  });
  cluster_.time.run_for(250 * GetParam());
  heartbeats_lost = true;
  cluster_.cloud.down = true;  // no machine can be returned
  cluster_.time.run_for(5000);
  cluster_.cloud.restart(host);
  cluster_.submit("n0", array_job("wk-1", 1, 100));
  cluster_.time.run_for(50000);
  cluster_.expect_no_violations();
  cluster_.net.set_rule({});
  cluster_.cloud.down = false;
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 200000));
  cluster_.expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, MachineRestart, ::testing::Range(1u, 7u));

// So does a node.
TEST(MachineRestarts, DuringAnElectionLoseNoJob) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 8, 25));
  cluster.submit("n0", gang_job("wk-2", 2, 25));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.time.run_for(4000);
  const std::string first = cluster.leader();
  cluster.kill(first);
  cluster.time.run_for(200);
  cluster.cloud.restart("m-000001");
  cluster.start(first);
  cluster.time.run_for(2000);
  cluster.cloud.restart("m-000002");
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 150000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 150000));
  EXPECT_LE(cluster.leader_count(), 1);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
