// Tests of machines that restart within a fraction of a second and keep their names. After a
// restart a worker's incarnation and its heartbeat sequence numbers begin at 1 again. Each test
// fails when the code that guards against its fault is removed. The tests run in simulated time
// against fakes of the state service, the cloud and the workers.
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

// A cluster of two machines, each with room for two tasks; one is in zone a and one in zone b.
// After occupy_one_machine_in_each_zone(full_s) the machine in zone b is full for `full_s` seconds
// and has room for one task afterwards, and the machine in zone a has room for one task at once.
// The tests that call it restart the machine in zone a.
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

// The leader does not answer the heartbeats of a machine that is back at once, since they might be
// copies. So nothing is started there, and a task that was assigned to it starts elsewhere once the
// lease has expired. Meanwhile the cloud deletes no machine, so only the lease expiry proves the
// attempt absent.
TEST_P(MachineRestart, NothingStartsBeforeItsHeartbeatsAreAnswered) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  cluster_.submit("n0", array_job("wk-900", 1, 900));
  // wk-901 runs on the same machine as wk-900, which has room for one task again when wk-901 ends.
  cluster_.submit("n0", array_job("wk-901", 1, 260));
  auto low_priority_job = array_job("wk-902", 1, 900);
  low_priority_job.priority = wire::Priority::low;
  ASSERT_TRUE(cluster_.submit_and_run(low_priority_job));
  // By now the machine's sequence number is far higher than those after its restart.
  cluster_.time.run_for(244000 + 500 * GetParam());
  const std::string restarted = machine_of("wk-902");
  ASSERT_NE(machine_of("wk-900"), restarted);
  ASSERT_NE(machine_of("wk-901"), restarted);
  cluster_.cloud.down = true;
  cluster_.cloud.restart(restarted);
  cluster_.submit("n0", array_job("wk-1", 1, 300));
  for (int i = 0; i < 510; ++i) {
    cluster_.time.run_for(100);  // the other machine has room again before this lease expires
    const auto host = cluster_.checker.running_on.find({"wk-1", 0});
    ASSERT_TRUE(host == cluster_.checker.running_on.end() || host->second != restarted);
  }
  cluster_.cloud.down = false;
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 900000));
  cluster_.expect_no_violations();
}

// A heartbeat is delayed, the machine restarts, and the leader starts a task there. The sequence
// number of the delayed heartbeat is higher than those of the heartbeats since the restart, so it
// looks newer than they are. It does not list the running task, and the leader must not take it as
// proof that the attempt is absent.
TEST_P(MachineRestart, HeartbeatFromBeforeTheRestartEndsNoTask) {
  occupy_one_machine_in_each_zone(12);
  const std::string host = machine_of("wk-902");
  net::Call delayed_heartbeat;
  cluster_.net.set_rule([&delayed_heartbeat, host](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from != host || !is_heartbeat(call)) return delivery;
    delayed_heartbeat = call;
    delivery.status = 503;
    return delivery;
  });
  cluster_.time.run_for(5500);  // the worker sends heartbeats that the leader does not receive
  cluster_.net.set_rule({});
  cluster_.cloud.restart(host);
  ASSERT_TRUE(cluster_.submit_and_run(array_job("wk-1", 1, 200), 10000));
  ASSERT_EQ(machine_of("wk-1"), host);
  // This job would start as soon as the leader took the task of wk-1 to be absent.
  auto high_priority_job = pinned_job("wk-903", 1, 400, "a");
  high_priority_job.priority = wire::Priority::high;
  cluster_.submit("n0", high_priority_job);
  delayed_heartbeat.endpoint = cluster_.leader() + ":8080";
  cluster_.resend({delayed_heartbeat});
  cluster_.time.run_for(20000);
  cluster_.expect_no_violations();
  EXPECT_EQ(cluster_.checker.starts[(TaskKey{"wk-1", 0})], 1);
}

// The machine executes a start command after its restart, and the answer is lost. The task may run
// until the lease that began with this boot expires, so the leader must not start it elsewhere
// before then.
TEST_P(MachineRestart, UnansweredStartMayRunForTheWholeLease) {
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
  cluster_.cloud.down = true;  // so that no machine can be deleted
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

// The leader and two machines restart within a few seconds of each other; every job must still be
// done.
TEST(MachineRestarts, DuringAnElectionLoseNoJob) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 8, 25));
  cluster.submit("n0", gang_job("wk-2", 2, 25));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.time.run_for(4000);
  const std::string first_leader = cluster.leader();
  cluster.kill(first_leader);
  cluster.time.run_for(200);
  cluster.cloud.restart("m-000001");
  cluster.start(first_leader);
  cluster.time.run_for(2000);
  cluster.cloud.restart("m-000002");
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 150000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 150000));
  EXPECT_LE(cluster.leader_count(), 1);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
