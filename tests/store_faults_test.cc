// Tests of outages, delays and lost answers of the state service. The tests run in simulated time
// against fakes of the state service, the cloud and the workers, and an InvariantChecker verifies
// the invariants.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

TEST(StoreFaults, KeepsTasksThroughAnOutageShorterThanALease) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 60)));
  cluster.state.down = true;
  cluster.time.run_for(15000);
  EXPECT_EQ(cluster.poll(cluster.follower(), "wk-1").status, 503);
  cluster.state.end_outage();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 120000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

TEST(StoreFaults, KeepsTasksThroughALongOutageWhileAllPeersConfirmTheEpoch) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 100)));
  cluster.state.down = true;
  cluster.time.run_for(70000);  // far longer than lease_s and cancel_s
  cluster.state.end_outage();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 120000));
  cluster.expect_no_task_started_twice();
  cluster.expect_no_violations();
}

// A node that started after the leader's last renewal may have led in between without remembering
// it. The leader must not count this node's epoch confirmation, so its lease extension ends and the
// workers' leases expire.
TEST(StoreFaults, IgnoresTheConfirmationOfARestartedNode) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-1", 6, 100)));
  cluster.state.down = true;
  cluster.time.run_for(2000);
  const std::string restarted_node = cluster.follower();
  cluster.kill(restarted_node);
  cluster.time.run_for(1000);
  cluster.start(restarted_node);
  cluster.time.run_for(60000);
  EXPECT_TRUE(cluster.checker.running_on.empty());
  cluster.state.end_outage();
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 300000));
  cluster.expect_no_violations();
}

// An overloaded leader or a slow state service delays the answers to lease renewals. These answers
// take longer than the timeout of other requests, and the leader must still accept them.
TEST(StoreFaults, KeepsTheLeaseWhenRenewalsAreSlow) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  const std::string leader = cluster.leader();
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (is_lease_renewal(call)) delivery.delay = 1400;
    return delivery;
  });
  for (int i = 0; i < 60; ++i) {
    cluster.time.run_for(1000);
    ASSERT_EQ(cluster.leader(), leader);
  }
  cluster.expect_no_violations();
}

TEST(StoreFaults, DoesNotAssumeTheOutcomeOfUnansweredTransactions) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  int transactions = 0;
  cluster.net.set_rule([&transactions](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (!is_transaction(call)) return delivery;
    ++transactions;
    if (transactions % 4 == 0) delivery.lose_answer = true;
    if (transactions % 4 == 2) delivery.delay_without_answer = 3000;
    return delivery;
  });
  for (int i = 0; i < 5; ++i) {
    const std::string id = "wk-" + std::to_string(30 + i);
    for (int attempt = 0; attempt < 8; ++attempt) {
      const auto answer = cluster.submit(kNodes.at(attempt % 3), array_job(id, 3, 5));
      if (answer.accepted()) break;
      EXPECT_EQ(answer.status, 503);
    }
  }
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(cluster.reaches("wk-" + std::to_string(30 + i), "done", 200000));
  cluster.expect_no_violations();
}

// The leader learns of a submission neither from its peers nor through its watch. When it can watch
// again, the state service has compacted the change, so the leader must list the open jobs again.
TEST(StoreFaults, ListsAgainAfterTheWatchedChangesWereCompacted) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.separate_peers();
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    delivery.refuse = call.path.starts_with("/watch?under=open/");
    return delivery;
  });
  cluster.time.run_for(25000);
  EXPECT_EQ(cluster.submit(cluster.follower(), array_job("wk-1", 2, 2)).status, 201);
  cluster.state.compact();
  cluster.net.set_rule({});
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_violations();
}

// Sends users' polls, far more of them than the state service could answer.
class PollLoad {
 public:
  // Sends the polls to n0 and n2 in turn. If `stopped_node` names one of these two, n1 takes its
  // place.
  PollLoad(SimulatedCluster& cluster, std::string stopped_node)
      : cluster_(cluster), stopped_node_(std::move(stopped_node)) {}

  void poll(int times) {
    for (int i = 0; i < times; ++i) {
      const std::string node = sent_ % 2 == 0 ? "n0" : "n2";
      const std::string path = "/api/jobs/wk-" + std::to_string(100 + sent_++ % 40);
      cluster_.net.call("user", alive_,
                        {(node == stopped_node_ ? "n1" : node) + ":8080", "GET", path, "", 5000},
                        [this](const net::Reply& reply) {
                          answered_ += reply.result == net::Reply::Result::answered ? 1 : 0;
                        });
    }
  }
  [[nodiscard]] int sent() const { return sent_; }
  [[nodiscard]] int answered() const { return answered_; }

 private:
  SimulatedCluster& cluster_;
  std::string stopped_node_;
  int sent_ = 0;
  int answered_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// No node leads, so no node can answer polls from memory and each poll would need a read of the
// state service. The nodes must leave enough of its request rate for submissions and for the next
// leader.
TEST(StoreFaults, PollsWithoutALeaderLeaveCapacityForSubmissions) {
  SimulatedCluster cluster(1, 4);
  ASSERT_TRUE(cluster.wait_for_leader());
  for (int i = 0; i < 40; ++i)
    cluster.submit(cluster.follower(), array_job("wk-" + std::to_string(100 + i), 1, 30));
  cluster.state.request_limit = static_cast<int>(settings_for("n0").state_limits.rps);
  const std::string former_leader = cluster.leader();
  cluster.kill(former_leader);
  cluster.time.run_for(1000);
  const int rate_limited_before = cluster.state.rate_limited;

  PollLoad polls(cluster, former_leader);
  int submitted = 0;
  for (; cluster.leader().empty() && submitted < 100; ++submitted) {
    polls.poll(100);
    const Ms submitted_at = cluster.time.now();
    const std::string id = "wk-" + std::to_string(500 + submitted);
    EXPECT_EQ(cluster.submit(cluster.follower(), array_job(id, 1, 30)).status, 201) << id;
    EXPECT_LT(cluster.time.now() - submitted_at, 1000);
    cluster.time.run_for(100);
  }

  EXPECT_GT(submitted, 10);
  EXPECT_LT(submitted, 100);  // a leader is elected despite the load
  cluster.time.run_for(5000);
  EXPECT_EQ(polls.answered(), polls.sent());
  EXPECT_LT((cluster.state.rate_limited - rate_limited_before) * 20, polls.sent());
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
