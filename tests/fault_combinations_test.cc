// Tests of two or three faults at once. Each test produces one combination of faults and fails when
// the code that guards against it is removed. The combinations are listed in docs/safety.md, "Fault
// combinations". The tests run in simulated time against fakes of the state service, the cloud and
// the workers.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// One scenario: users cancel jobs, shortly afterwards the state service begins to refuse the
// requests of the leader only, and two seconds later it refuses the requests of all nodes.
struct RefusalThenOutage {
  // What happens to the transaction that writes the final status: it is executed and answered
  // (received), it is executed and its reply is lost (lost), or it is executed 1.2 s late and its
  // reply is lost (late).
  enum class Reply { received, lost, late } reply;
  Ms refused_after;  // time from the cancellation to the refusal
  // Whether the workers receive the leader's stop commands. If they are lost, then all its commands
  // and the replies to all heartbeats are lost until 6 s after the outage began.
  enum class StopCommands { delivered, lost } stop_commands = StopCommands::delivered;
  Ms hang_duration = 0;  // for how long half of the machines hang
  // Whether messages between the nodes arrive between refusal and outage.
  enum class Peers { connected, separated } peers = Peers::connected;
};

// Prints the scenario as a part of the test's name in ctest, such as
// ReplyLostRefused15msStopsLostPeersSeparated.
std::ostream& operator<<(std::ostream& out, const RefusalThenOutage& scenario) {
  switch (scenario.reply) {
    case RefusalThenOutage::Reply::received:
      out << "ReplyReceived";
      break;
    case RefusalThenOutage::Reply::lost:
      out << "ReplyLost";
      break;
    case RefusalThenOutage::Reply::late:
      out << "ReplyLate";
  }
  out << "Refused" << scenario.refused_after << "ms";
  if (scenario.stop_commands == RefusalThenOutage::StopCommands::lost) out << "StopsLost";
  if (scenario.hang_duration > 0) out << "Hang" << scenario.hang_duration << "ms";
  if (scenario.peers == RefusalThenOutage::Peers::separated) out << "PeersSeparated";
  return out;
}

class FaultCombinations : public ::testing::TestWithParam<RefusalThenOutage> {
 protected:
  static constexpr std::array kJobs{"wk-1", "wk-2"};

  // Sets the rule that loses messages. The node that leads at this call is the one that the state
  // service refuses later.
  void begin_faults() {
    leader_ = cluster_.leader();
    stop_commands_lost_ = GetParam().stop_commands == RefusalThenOutage::StopCommands::lost;
    cluster_.net.set_rule(
        [this](const std::string& from, const net::Call& call) { return deliver(from, call); });
  }
  // Sends the leader a user's cancellation of each job; the user does not receive the answers.
  void cancel_jobs() {
    for (const std::string id : kJobs) {
      cluster_.checker.jobs[id].cancel_requested = true;
      cluster_.net.call("user", user_alive_,
                        {leader_ + ":8080", "POST", "/api/jobs/" + id + "/abort", "", 5000},
                        [](const net::Reply&) {});
    }
  }
  void hang_half_of_the_machines() {
    if (GetParam().hang_duration == 0) return;
    for (auto& [name, machine] : cluster_.cloud.machines)
      if (name < "m-000004") machine->hang(GetParam().hang_duration);
  }
  void refuse_leader() {
    leader_refused_ = true;
    cluster_.net.set_peer_rule([this](const std::string&, const std::string&) {
      const bool between_refusal_and_outage = leader_refused_ && !cluster_.state.down;
      return !(GetParam().peers == RefusalThenOutage::Peers::separated &&
               between_refusal_and_outage);
    });
  }
  void deliver_stop_commands_again() { stop_commands_lost_ = false; }
  void end_faults() {
    leader_refused_ = false;
    cluster_.state.end_outage();
  }
  void poll_all_nodes() {
    for (const char* id : kJobs)
      for (const char* node : kNodes) cluster_.poll(node, id);
  }

  SimulatedCluster cluster_{3, 6};

 private:
  Delivery deliver(const std::string& from, const net::Call& call) const {
    using Reply = RefusalThenOutage::Reply;
    Delivery delivery;
    if (from == leader_ && is_to_store(call)) {
      if (leader_refused_)
        delivery.status = 503;
      else if (writes_final_status(call) && GetParam().reply == Reply::lost)
        delivery.lose_answer = true;
      else if (writes_final_status(call) && GetParam().reply == Reply::late)
        delivery.delay_without_answer = 1200;
    }
    if (stop_commands_lost_ && from == leader_ && is_command(call)) delivery.drop = true;
    if (stop_commands_lost_ && is_heartbeat(call)) delivery.lose_answer = true;
    return delivery;
  }

  std::string leader_;
  bool leader_refused_ = false;
  bool stop_commands_lost_ = false;
  std::shared_ptr<bool> user_alive_ = std::make_shared<bool>(true);
};

// Between refusal and outage the other nodes read the state service and may answer a user that a
// job is withdrawn. During the outage, which is longer than cancel_s, the peers confirm the old
// leader's epoch, so it goes on renewing the workers' leases. Once a user was answered that a job
// is withdrawn, none of its tasks may run for longer than cancel_s.
TEST_P(FaultCombinations, CancelledJobsStayCancelledThroughRefusalThenOutage) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  cluster_.submit("n0", array_job("wk-1", 6, 400));
  cluster_.submit("n0", gang_job("wk-2", 2, 400));
  ASSERT_TRUE(cluster_.reaches("wk-1", "running", 30000));
  ASSERT_TRUE(cluster_.reaches("wk-2", "running", 30000));

  begin_faults();
  cancel_jobs();
  hang_half_of_the_machines();
  cluster_.time.run_for(GetParam().refused_after);
  refuse_leader();
  const Ms refused_at = cluster_.time.now();
  while (cluster_.time.now() - refused_at < 2000) {
    poll_all_nodes();
    cluster_.time.run_for(50);
  }
  cluster_.state.down = true;
  cluster_.time.run_for(6000);
  deliver_stop_commands_again();
  for (int i = 0; i < 70; ++i) {  // 70 s, far beyond cancel_s
    poll_all_nodes();
    cluster_.time.run_for(1000);
  }
  end_faults();

  for (const char* id : kJobs) {
    EXPECT_EQ(cluster_.cancel_until_final(cluster_.follower(), id, 60000).stage(), "withdrawn");
    EXPECT_EQ(cluster_.running_tasks(id), 0);
  }
  cluster_.time.run_for(45000);
  cluster_.expect_no_violations();
}

// Each scenario once with the peers connected and once with the peers separated.
std::vector<RefusalThenOutage> all_scenarios() {
  using Reply = RefusalThenOutage::Reply;
  using StopCommands = RefusalThenOutage::StopCommands;
  const std::vector<RefusalThenOutage> connected{
      {.reply = Reply::lost, .refused_after = 0},
      {.reply = Reply::lost, .refused_after = 40},
      {.reply = Reply::lost, .refused_after = 15, .stop_commands = StopCommands::lost},
      {.reply = Reply::lost, .refused_after = 15, .hang_duration = 15000},
      {.reply = Reply::late, .refused_after = 100},
      {.reply = Reply::late, .refused_after = 100, .stop_commands = StopCommands::lost},
      {.reply = Reply::late, .refused_after = 100, .hang_duration = 15000},
      {.reply = Reply::received, .refused_after = 10, .stop_commands = StopCommands::lost},
      {.reply = Reply::received, .refused_after = 100, .stop_commands = StopCommands::lost},
      {.reply = Reply::received, .refused_after = 100, .hang_duration = 25000}};
  std::vector<RefusalThenOutage> with_both_peer_states;
  for (RefusalThenOutage scenario : connected) {
    with_both_peer_states.push_back(scenario);
    scenario.peers = RefusalThenOutage::Peers::separated;
    with_both_peer_states.push_back(scenario);
  }
  return with_both_peer_states;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, FaultCombinations, ::testing::ValuesIn(all_scenarios()));

// The leader accepts a cancellation, its stop commands are lost, and it is killed. The next leader
// is elected, and the state service goes down for all nodes before the next leader has listed any
// key. The next leader does not know of the cancellation, so it must not keep the cancelled tasks
// running beyond cancel_s by renewing the leases of their workers.
TEST(FaultPairs, LeaderThatHasNotRecoveredKeepsNoCancelledTaskRunning) {
  for (const Ms killed_after : {0, 300, 900}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 400)));
    const std::string old_leader = cluster.leader();
    const std::string other_node = cluster.follower();
    cluster.net.set_rule([old_leader](const std::string& from, const net::Call& call) {
      Delivery delivery;
      delivery.drop = from == old_leader && is_command(call);
      delivery.lose_answer = is_heartbeat(call) && is_to_node(call, old_leader);
      return delivery;
    });
    cluster.cancel(other_node, "wk-1");
    cluster.time.run_for(killed_after);
    cluster.kill(old_leader);
    cluster.net.set_rule({});
    cluster.wait_for_election();
    cluster.state.down = true;
    cluster.time.run_for(75000);
    cluster.state.end_outage();
    cluster.start(old_leader);
    EXPECT_EQ(cluster.cancel_until_final(other_node, "wk-1", 60000).stage(), "withdrawn");
    EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
    cluster.time.run_for(45000);
    cluster.expect_no_violations();
  }
}

// The transaction that writes a job's final status is executed, but the leader does not receive the
// answer. Another node reads the final status and returns it to a user. From then on no node may
// answer with an earlier stage.
TEST(FaultPairs, NoEarlierStageIsAnsweredWhileTheFinalStatusOutcomeIsUnknown) {
  for (const bool cancelled : {true, false}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 2, cancelled ? 300 : 6)));
    const std::string old_leader = cluster.leader();
    const std::string other_node = cluster.follower();
    bool refused = false;
    cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
      Delivery delivery;
      if (from != old_leader || !is_to_store(call)) return delivery;
      if (refused) delivery.status = 503;
      if (writes_final_status(call)) delivery.lose_answer = refused = true;
      return delivery;
    });
    if (cancelled) cluster.cancel(old_leader, "wk-1");
    for (int i = 0; i < 400 && !cluster.state.has("ends/wk-1"); ++i) cluster.time.run_for(25);
    ASSERT_TRUE(cluster.state.has("ends/wk-1"));
    // The old leader still leads, but the other node cannot reach it and reads the state service.
    cluster.separate_peers();
    EXPECT_EQ(cluster.poll(other_node, "wk-1").stage(), cancelled ? "withdrawn" : "done");
    cluster.net.set_peer_rule({});
    for (int i = 0; i < 20; ++i) {
      for (const char* node : kNodes) cluster.poll(node, "wk-1");
      cluster.time.run_for(100);
    }
    cluster.net.set_rule({});
    EXPECT_EQ(cluster.cancel_until_final(old_leader, "wk-1", 30000).stage(),
              cancelled ? "withdrawn" : "done");
    cluster.expect_no_violations();
  }
}

// A start command is delayed on its way to the machine, and its job is cancelled in the meantime.
// The user must be answered within a few heartbeats, the start command must start nothing when it
// arrives, and the other task on the machine must keep running.
TEST(FaultPairs, CancellationIsAnsweredSoonWhileAStartIsDelayed) {
  SimulatedCluster cluster(1, 1);
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 1, 40)));
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (is_start_command(call)) delivery.delay_without_answer = 15000;
    return delivery;
  });
  cluster.submit("n0", array_job("wk-1", 1, 100));
  cluster.time.run_for(500);
  EXPECT_EQ(cluster.cancel_until_final("n1", "wk-1", 12000).stage(), "withdrawn");
  cluster.time.run_for(30000);
  EXPECT_TRUE(cluster.reaches("wk-900", "done", 20000));
  EXPECT_EQ(cluster.checker.starts[(TaskKey{"wk-900", 0})], 1);
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
