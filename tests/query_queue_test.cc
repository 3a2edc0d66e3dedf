// Tests the order of the turns that QueryQueue gives, and the bound on the wait for one.
#include "jobs/query_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fakes/sim_net.h"

namespace seampass::jobs {
namespace {

constexpr net::Ms kMaxWait = 1000;

// Takes every request and answers none.
class SilentCaller : public net::HttpCaller {
 public:
  void call(net::Call /*call*/, net::ReplyFn /*done*/) override {}
};

// The client reserves four reads a second, which is two queries, and has a write that waits.
class QueryQueueTest : public ::testing::Test {
 protected:
  QueryQueueTest() {
    for (int i = 0; i < 3; ++i) {
      state::Txn txn;
      for (int key = 0; key < 1000; ++key)
        txn.changes.push_back({"work/" + std::to_string(key), std::nullopt, 0});
      client.txn(std::move(txn), state::Urgency::progress, [](const state::TxnResult&) {});
    }
    while (client.admit_query()) continue;
  }
  void ask(const std::string& job) {
    ++asked;
    const net::Ms asked_at = time.now();
    queue.add(job, [this, job, asked_at](QueryQueue::Turn turn) {
      ++answered;
      longest_wait = std::max(longest_wait, time.now() - asked_at);
      (turn == QueryQueue::Turn::granted ? granted : refused).push_back(job);
    });
  }

  fakes::SimTime time;
  SilentCaller http;
  state::Client client{time, http, "state:1", {50, 1, 4}, 500};
  QueryQueue queue{time, client, kMaxWait};
  std::vector<std::string> granted, refused;
  int asked = 0;
  int answered = 0;
  net::Ms longest_wait = 0;
};

TEST_F(QueryQueueTest, AQueryWaitsForItsTurn) {
  ask("a");
  EXPECT_EQ(answered, 0);
  time.run_for(kMaxWait);
  EXPECT_EQ(granted, std::vector<std::string>{"a"});
}

TEST_F(QueryQueueTest, AQueryThatHasNoTurnInTimeIsRefusedAtOnce) {
  for (const char* job : {"a", "b", "c", "d"}) ask(job);
  EXPECT_EQ(refused, (std::vector<std::string>{"c", "d"}));
  time.run_for(2 * kMaxWait);
  EXPECT_EQ(answered, 4);
  EXPECT_LE(longest_wait, kMaxWait + kMaxWait / 10);
}

TEST_F(QueryQueueTest, ARefusedJobKeepsItsPlaceBeforeLaterOnes) {
  for (const char* job : {"a", "b", "c"}) ask(job);
  ASSERT_EQ(refused, std::vector<std::string>{"c"});
  time.run_for(10);
  while (answered < 3) time.run_for(10);
  time.run_for(300);
  refused.clear();
  granted.clear();
  for (const char* job : {"x", "y", "c"}) ask(job);
  time.run_for(2 * kMaxWait);
  ASSERT_FALSE(granted.empty());
  EXPECT_EQ(granted.front(), "c");
}

// Guards against a job whose polls fail for 90 s while most others are answered. Users ask about 60
// jobs, each every 5 s, which is six times the rate of turns.
TEST_F(QueryQueueTest, EveryJobHasItsTurnWithin75Seconds) {
  std::map<std::string, net::Ms> first_granted;
  for (int tick = 0; tick < 750; ++tick) {
    for (int job = tick % 50; job < 60; job += 50) ask("wk-" + std::to_string(job));
    time.run_for(100);
    for (const std::string& job : granted) first_granted.try_emplace(job, time.now());
    granted.clear();
  }
  EXPECT_EQ(first_granted.size(), 60U);
  time.run_for(2 * kMaxWait);
  EXPECT_EQ(answered, asked);
}

}  // namespace
}  // namespace seampass::jobs
