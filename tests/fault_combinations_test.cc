// Two or three faults at once. Each test brings a combination about and fails when its guard is
// taken out; docs/safety.md has the table. In simulated time, against our own fakes.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Jobs are cancelled as the store begins to refuse the leader alone; after two seconds it is down
// for all. These are the ways in which that can happen.
struct RefusalThenOutage {
  // To the transaction that writes the final status.
  enum class Reply { received, lost, late } reply;
  Ms refused_after;  // from the cancellation on
  enum class Stops { delivered, lost } stops = Stops::delivered;
  Ms hang = 0;  // of half of the machines
  // Whether the nodes hear from one another between refusal and outage.
  enum class Peers { connected, separated } peers = Peers::connected;
};

// As a part of the case's name, such as ReplyLostRefused15msStopsLostPeersSeparated.
std::ostream& operator<<(std::ostream& out, const RefusalThenOutage& way) {
  switch (way.reply) {
    case RefusalThenOutage::Reply::received:
      out << "ReplyReceived";
      break;
    case RefusalThenOutage::Reply::lost:
      out << "ReplyLost";
      break;
    case RefusalThenOutage::Reply::late:
      out << "ReplyLate";
  }
  out << "Refused" << way.refused_after << "ms";
  if (way.stops == RefusalThenOutage::Stops::lost) out << "StopsLost";
  if (way.hang > 0) out << "Hang" << way.hang << "ms";
  if (way.peers == RefusalThenOutage::Peers::separated) out << "PeersSeparated";
  return out;
}

class FaultCombinations : public ::testing::TestWithParam<RefusalThenOutage> {
 protected:
  static constexpr std::array kJobs{"wk-1", "wk-2"};

  // The leader of now is the one that the store is going to refuse.
  void begin_faults() {
    leader_ = cluster_.leader();
    stops_lost_ = GetParam().stops == RefusalThenOutage::Stops::lost;
    cluster_.net.set_rule(
        [this](const std::string& from, const net::Call& call) { return deliver(from, call); });
  }
  // By a user who does not get the answer.
  void cancel_jobs() {
    for (const std::string id : kJobs) {
      cluster_.checker.jobs[id].cancel_requested = true;
      cluster_.net.call("user", user_alive_,
                        {leader_ + ":8080", "POST", "/api/jobs/" + id + "/abort", "", 5000},
                        [](const net::Reply&) {});
    }
  }
  void hang_half_of_the_machines() {
    if (GetParam().hang == 0) return;
    for (auto& [name, machine] : cluster_.cloud.machines)
      if (name < "m-000004") machine->hang(GetParam().hang);
  }
  void refuse_leader() {
    leader_refused_ = true;
    cluster_.net.set_peer_rule([this](const std::string&, const std::string&) {
      const bool between_refusal_and_outage = leader_refused_ && !cluster_.state.down;
      return !(GetParam().peers == RefusalThenOutage::Peers::separated &&
               between_refusal_and_outage);
    });
  }
  void deliver_stops_again() { stops_lost_ = false; }
  void end_faults() {
    leader_refused_ = false;
    cluster_.state.come_back();
  }
  void poll_everywhere() {
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
        delivery.late = 1200;
    }
    if (stops_lost_ && from == leader_ && is_command(call)) delivery.drop = true;
    if (stops_lost_ && is_heartbeat(call)) delivery.lose_answer = true;
    return delivery;
  }

  std::string leader_;
  bool leader_refused_ = false;
  bool stops_lost_ = false;
  std::shared_ptr<bool> user_alive_ = std::make_shared<bool>(true);
};

// Between refusal and outage the other nodes read what the store holds and answer users. The outage
// is longer than cancel_s, and the workers stay with the old leader, whose epoch its peers confirm.
TEST_P(FaultCombinations, KeepCancelledJobsOffThroughRefusalThenOutage) {
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
    poll_everywhere();
    cluster_.time.run_for(50);
  }
  cluster_.state.down = true;
  cluster_.time.run_for(6000);
  deliver_stops_again();
  for (int i = 0; i < 70; ++i) {  // far beyond cancel_s
    poll_everywhere();
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

// Each way with the peers connected and separated.
std::vector<RefusalThenOutage> ways() {
  using Reply = RefusalThenOutage::Reply;
  using Stops = RefusalThenOutage::Stops;
  const std::vector<RefusalThenOutage> connected{
      {.reply = Reply::lost, .refused_after = 0},
      {.reply = Reply::lost, .refused_after = 40},
      {.reply = Reply::lost, .refused_after = 15, .stops = Stops::lost},
      {.reply = Reply::lost, .refused_after = 15, .hang = 15000},
      {.reply = Reply::late, .refused_after = 100},
      {.reply = Reply::late, .refused_after = 100, .stops = Stops::lost},
      {.reply = Reply::late, .refused_after = 100, .hang = 15000},
      {.reply = Reply::received, .refused_after = 10, .stops = Stops::lost},
      {.reply = Reply::received, .refused_after = 100, .stops = Stops::lost},
      {.reply = Reply::received, .refused_after = 100, .hang = 25000}};
  std::vector<RefusalThenOutage> all;
  for (RefusalThenOutage way : connected) {
    all.push_back(way);
    way.peers = RefusalThenOutage::Peers::separated;
    all.push_back(way);
  }
  return all;
}

INSTANTIATE_TEST_SUITE_P(Ways, FaultCombinations, ::testing::ValuesIn(ways()));

// The former leader's last act is to confirm a cancellation; its stops are lost. The next one is
// elected, and the store is down for all before it has listed anything: no worker may be kept at
// the cancelled tasks by it.
TEST(FaultPairs, LeaderThatHasNotListedKeepsNoCancelledTaskRunning) {
  for (const Ms killed_after : {0, 300, 900}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 400)));
    const std::string old = cluster.leader();
    const std::string other = cluster.follower();
    cluster.net.set_rule([old](const std::string& from, const net::Call& call) {
      Delivery delivery;
      delivery.drop = from == old && is_command(call);
      delivery.lose_answer = is_heartbeat(call) && is_to_node(call, old);
      return delivery;
    });
    cluster.cancel(other, "wk-1");
    cluster.time.run_for(killed_after);
    cluster.kill(old);
    cluster.net.set_rule({});
    cluster.wait_for_election();
    cluster.state.down = true;
    cluster.time.run_for(75000);
    cluster.state.come_back();
    cluster.start(old);
    EXPECT_EQ(cluster.cancel_until_final(other, "wk-1", 60000).stage(), "withdrawn");
    EXPECT_EQ(cluster.running_tasks("wk-1"), 0);
    cluster.time.run_for(45000);
    cluster.expect_no_violations();
  }
}

// The final status is in the store, the leader's answer is lost, and another node has read it to
// its user: no node may answer anything older.
TEST(FaultPairs, NoOlderAnswerWhileTheFinalStatusIsUnknown) {
  for (const bool cancelled : {true, false}) {
    SimulatedCluster cluster;
    ASSERT_TRUE(cluster.wait_for_leader());
    ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 2, cancelled ? 300 : 6)));
    const std::string old = cluster.leader();
    const std::string other = cluster.follower();
    bool refused = false;
    cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
      Delivery delivery;
      if (from != old || !is_to_store(call)) return delivery;
      if (refused) delivery.status = 503;
      if (writes_final_status(call)) delivery.lose_answer = refused = true;
      return delivery;
    });
    if (cancelled) cluster.cancel(old, "wk-1");
    for (int i = 0; i < 400 && !cluster.state.has("ends/wk-1"); ++i) cluster.time.run_for(25);
    ASSERT_TRUE(cluster.state.has("ends/wk-1"));
    // The other node cannot ask the leader, which still leads.
    cluster.separate_peers();
    EXPECT_EQ(cluster.poll(other, "wk-1").stage(), cancelled ? "withdrawn" : "done");
    cluster.net.set_peer_rule({});
    for (int i = 0; i < 20; ++i) {
      for (const char* node : kNodes) cluster.poll(node, "wk-1");
      cluster.time.run_for(100);
    }
    cluster.net.set_rule({});
    EXPECT_EQ(cluster.cancel_until_final(old, "wk-1", 30000).stage(),
              cancelled ? "withdrawn" : "done");
    cluster.expect_no_violations();
  }
}

// A start is delayed on its way to its machine, and its job is cancelled meanwhile: the user is
// answered within a few heartbeats, the start does nothing when it arrives, and the machine's other
// task goes on.
TEST(FaultPairs, CancellationWhileAStartIsDelayedIsAnsweredSoon) {
  SimulatedCluster cluster(1, 1);
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 1, 40)));
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (is_start_command(call)) delivery.late = 15000;
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
