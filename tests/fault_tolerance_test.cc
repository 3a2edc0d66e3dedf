// Tests of single faults of machines, networks and messages. Each test fails when the code that
// guards against its fault is removed. The tests run in simulated time against fakes of the state
// service, the cloud and the workers, and an InvariantChecker verifies the invariants.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Drops every request to or from the machines in the set. The set is read at each request, so that
// later changes of it take effect.
void cut_off(SimulatedCluster& cluster, const std::set<std::string>& machines) {
  cluster.net.set_rule([&machines](const std::string& from, const net::Call& call) {
    const std::string host = call.endpoint.substr(0, call.endpoint.find(':'));
    Delivery delivery;
    delivery.drop = machines.contains(from) || machines.contains(host);
    return delivery;
  });
}

// Stores the latest request that this machine has sent in `last_call`.
void record_last_call(SimulatedCluster& cluster, const std::string& machine,
                      std::optional<net::Call>& last_call) {
  cluster.net.set_rule([machine, &last_call](const std::string& from, const net::Call& call) {
    if (from == machine) last_call = call;
    return Delivery{};
  });
}

// The machine's heartbeats reach the leader, but the replies to them and the leader's commands do
// not reach the machine.
TEST(FaultTolerance, MovesTasksOffAMachineThatReceivesNothing) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 4;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 4, 30)));
  cluster.net.set_rule([](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.lose_answer = from == "m-000001";
    delivery.drop = is_to_machine(call, "m-000001");
    return delivery;
  });
  cluster.submit("n0", array_job("wk-2", 6, 5));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 120000));
  for (const auto& [task, machine] : cluster.checker.running_on)
    EXPECT_NE(machine, "m-000001") << task.job;
  cluster.expect_no_violations();
}

// No command reaches the first machine. When that machine is idle, the leader tries to start tasks
// on it once or twice, then returns it to the cloud.
TEST(FaultTolerance, ReturnsAMachineThatAnswersNoCommand) {
  SimulatedCluster cluster(1, 1);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    delivery.drop = is_to_machine(call, "m-000001");
    return delivery;
  });
  for (int i = 0; i < 20; ++i) {
    cluster.submit("n0", array_job("wk-" + std::to_string(i + 1), 2, 4));
    cluster.time.run_for(3000);
  }
  EXPECT_EQ(cluster.cloud.machines.count("m-000001"), 0u);
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(cluster.reaches("wk-" + std::to_string(i + 1), "done", 90000));
  cluster.expect_no_violations();
}

// Copies of heartbeats arrive 2.5 s late, or 27 s late. The latter is longer than a worker's lease:
// by then the machine that sent them may have crashed, and another node leads.
TEST(FaultTolerance, IgnoresLateCopiesOfHeartbeats) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  int heartbeats = 0;
  cluster.net.set_rule([&heartbeats](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (is_heartbeat(call)) delivery.repeat_after = ++heartbeats % 2 == 0 ? 2500 : 27000;
    return delivery;
  });
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 8, 25)));
  cluster.time.run_for(9000);  // while the tasks still run
  cluster.cloud.machines.at("m-000001")->crash();
  const std::string first_leader = cluster.leader();
  cluster.time.run_for(1000);
  cluster.kill(first_leader);
  cluster.time.run_for(15000);
  cluster.start(first_leader);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.submit("n1", array_job("wk-2", 8, 5));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 40000));
  cluster.expect_no_violations();
}

// Copies of a crashed machine's last heartbeat must not make the machine appear to be up.
TEST(FaultTolerance, ReplacesADeadMachineDespiteCopiesOfItsHeartbeat) {
  SimulatedCluster cluster(1, 2);
  ASSERT_TRUE(cluster.wait_for_leader());
  std::optional<net::Call> last_call;
  record_last_call(cluster, "m-000001", last_call);
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 4, 20)));
  cluster.time.run_for(4000);
  cluster.cloud.machines.at("m-000001")->crash();
  ASSERT_TRUE(last_call.has_value());
  last_call->endpoint = cluster.leader() + ":8080";
  bool done = false;
  for (int i = 0; i < 80 && !done; ++i) {
    cluster.resend({*last_call});
    done = cluster.poll("n0", "wk-1").stage() == "done";
    cluster.time.run_for(1000);
  }
  EXPECT_TRUE(done);
  cluster.expect_no_violations();
}

// A former leader had the machine deleted. The next leader does not know of the deletion and
// receives a late copy of the machine's heartbeat. If it took the copy as proof that the machine is
// up, it would place the tasks there, and they would be delayed until it declares the machine lost.
TEST(FaultTolerance, PlacesNothingOnADeletedMachineAfterACopyOfItsHeartbeat) {
  SimulatedCluster cluster(1, 1);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  std::optional<net::Call> last_call;
  record_last_call(cluster, "m-000001", last_call);
  cluster.time.run_for(30000);  // the machine is idle, so the leader returns it
  ASSERT_EQ(cluster.cloud.machines.count("m-000001"), 0u);
  ASSERT_TRUE(last_call.has_value());
  cluster.kill(cluster.leader());
  cluster.time.run_for(8000);
  const std::string next_leader = cluster.leader();
  ASSERT_NE(next_leader, "");
  last_call->endpoint = next_leader + ":8080";
  cluster.resend({*last_call});
  cluster.time.run_for(500);
  EXPECT_EQ(cluster.submit(cluster.leader(), array_job("wk-1", 2, 2)).status, 201);
  // Within 17 s a new machine is rented, boots in 3 s and runs both tasks.
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 17000));
  cluster.expect_no_violations();
}

// While jobs are submitted, the leader is killed, the nodes are cut off from each other, the state
// service goes down for a time, and finally all nodes restart. Within 75 s after these faults end,
// every node answers polls for every accepted job.
TEST(FaultTolerance, AnswersPollsForEveryAcceptedJobAfterFaults) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  std::vector<std::string> accepted;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "wk-" + std::to_string(50 + i);
    if (i == 3) cluster.kill(cluster.leader());
    if (i == 5) cluster.separate_peers();
    if (i == 7) cluster.state.down = true;
    if (i == 9) cluster.state.end_outage();
    for (const char* node : kNodes) {
      const auto job = array_job(id, 1 + static_cast<std::uint32_t>(i) % 3, 8);
      if (!cluster.submit(node, job).accepted()) continue;
      accepted.push_back(id);
      break;
    }
    cluster.time.run_for(1500);
  }
  cluster.kill_all();
  cluster.net.set_peer_rule({});
  cluster.start_all();
  ASSERT_GT(accepted.size(), 8u);
  const Ms faults_ended_at = cluster.time.now();
  for (const std::string& id : accepted) {
    for (const char* node : kNodes) {
      int status = 0;
      while ((status = cluster.poll(node, id).status) != 200 &&
             cluster.time.now() - faults_ended_at < 75000)
        cluster.time.run_for(500);
      EXPECT_EQ(status, 200) << id << " on " << node;
    }
  }
  for (const std::string& id : accepted) EXPECT_TRUE(cluster.reaches(id, "done", 120000)) << id;
  cluster.expect_no_violations();
}

TEST(FaultTolerance, RentsNothingInAPartitionedZone) {
  SimulatedCluster cluster(1, 8);
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 16, 120)));
  cluster.time.run_for(3000);
  // Machines with an odd number are in zone a. The leader rents there first, since both zones have
  // the same prices.
  const std::set<std::string> zone_a{"m-000001", "m-000003", "m-000005", "m-000007"};
  cut_off(cluster, zone_a);
  // The leader needs time to distinguish a partition from lost packets.
  cluster.time.run_for(14000);
  cluster.cloud.rented_by_zone.clear();
  for (int i = 0; i < 6; ++i) {
    cluster.submit("n0", array_job("wk-" + std::to_string(10 + i), 2, 30));
    cluster.submit("n0", gang_job("wk-" + std::to_string(20 + i), 2, 30));
    cluster.time.run_for(5000);
  }
  EXPECT_EQ(cluster.cloud.rented_by_zone["a"], 0);
  EXPECT_GT(cluster.cloud.rented_by_zone["b"], 0);
  cluster.net.set_rule({});
  for (int i = 0; i < 6; ++i)
    EXPECT_TRUE(cluster.reaches("wk-" + std::to_string(10 + i), "done", 200000));
  cluster.expect_no_violations();
}

// Half of the machines are unreachable at the same time, for less than a lease. One of them became
// unreachable before the others; the leader must not return that one either.
TEST(FaultTolerance, KeepsMachinesThatAreUnreachableTogether) {
  SimulatedCluster cluster(1, 8);
  cluster.cloud.capacity = 8;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 16, 60)));
  cluster.time.run_for(3000);
  std::set<std::string> unreachable{"m-000001"};
  cut_off(cluster, unreachable);
  cluster.time.run_for(3500);
  unreachable.insert({"m-000003", "m-000005", "m-000007"});
  cluster.time.run_for(9500);
  EXPECT_EQ(cluster.cloud.machines.size(), 8u);
  cluster.net.set_rule({});
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 200000));
  cluster.expect_no_violations();
}

// A job with a mistake in its submission fails on every machine until it is cancelled. Its failures
// must quarantine no machine for other jobs, and the leader retries the job with one task from time
// to time.
TEST(FaultTolerance, ThrottlesAJobThatFailsOnEveryMachine) {
  SimulatedCluster cluster(1, 4);
  cluster.cloud.capacity = 4;
  ASSERT_TRUE(cluster.wait_for_leader());
  for (const char* id : {"wk-1", "wk-2"}) cluster.checker.jobs[id].fails_everywhere = true;
  cluster.submit("n0", array_job("wk-1", 8, 60));
  cluster.submit("n0", gang_job("wk-2", 2, 60));
  cluster.time.run_for(4000);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "wk-" + std::to_string(10 + i);
    EXPECT_EQ(cluster.submit("n1", array_job(id, 8, 5)).status, 201);
    EXPECT_TRUE(cluster.reaches(id, "done", 15000)) << id;
  }
  const int starts_before = cluster.start_count();
  cluster.time.run_for(60000);
  EXPECT_LE(cluster.start_count() - starts_before, 10);
  EXPECT_GT(cluster.start_count() - starts_before, 1);
  EXPECT_EQ(cluster.cancel_until_final("n2", "wk-1", 5000).stage(), "withdrawn");
  EXPECT_EQ(cluster.cancel_until_final("n2", "wk-2", 5000).stage(), "withdrawn");
  cluster.expect_no_violations();
}

// A third of the commands arrive 1.5 to 11.5 s late, after their timeout. The answers to another
// third are lost.
TEST(FaultTolerance, RunsNoTaskTwiceWhenStartsAreLateOrRepeated) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  int commands = 0;
  cluster.net.set_rule([&commands](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (!is_command(call)) return delivery;
    ++commands;
    if (commands % 3 == 0) delivery.delay_without_answer = 1500 + 2500 * (commands % 5);
    if (commands % 3 == 1) delivery.lose_answer = true;
    return delivery;
  });
  for (int i = 0; i < 6; ++i) cluster.submit("n0", array_job("wk-" + std::to_string(10 + i), 4, 4));
  cluster.submit("n1", gang_job("wk-20", 2, 4));
  cluster.time.run_for(6000);
  cluster.cancel("n0", "wk-12");
  for (int i = 0; i < 6; ++i)
    EXPECT_TRUE(
        cluster.reaches("wk-" + std::to_string(10 + i), i == 2 ? "withdrawn" : "done", 200000));
  EXPECT_TRUE(cluster.reaches("wk-20", "done", 200000));
  EXPECT_GT(commands, 6);
  cluster.time.run_for(60000);
  cluster.expect_no_violations();
}

// A leader whose timers run late is overloaded. It must run its scheduling passes less often, since
// each task that it starts causes it further work with heartbeats and task records, and it needs
// the time to renew its lease.
TEST(FaultTolerance, OverloadedLeaderRunsFewerSchedulingPasses) {
  SimulatedCluster cluster(1, 8);
  ASSERT_TRUE(cluster.wait_for_leader());
  constexpr Ms lag = 800;
  constexpr Ms min_pass_gap = 300;
  cluster.slow_down(cluster.leader(), lag);
  int passes = 0;  // those that started tasks; a pass sends all its start commands together
  Ms last_start_at = 0;
  cluster.net.set_rule([&](const std::string&, const net::Call& call) {
    if (!is_start_command(call)) return Delivery{};
    if (cluster.time.now() - last_start_at > min_pass_gap) ++passes;
    last_start_at = cluster.time.now();
    return Delivery{};
  });
  const Ms begin = cluster.time.now();
  for (int i = 0; i < 14; ++i) {
    cluster.submit(cluster.follower(), array_job("wk-" + std::to_string(100 + i), 1, 60));
    cluster.time.run_for(700);
  }
  cluster.time.run_for(5 * lag);
  EXPECT_EQ(cluster.start_count(), 14);
  EXPECT_LE(passes, (cluster.time.now() - begin) / (5 * lag) + 1);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
