// Tests the order and the rate in which RequestQueue sends requests to the state service.
#include "state/request_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fakes/sim_net.h"

namespace seampass::state {
namespace {

class RequestQueueTest : public ::testing::Test {
 protected:
  RequestQueue::Ticket add(const std::string& name, Urgency urgency, int writes) {
    net::Call call;
    call.path = name;
    return queue.add(urgency, std::move(call), writes, [](const net::Reply&) {});
  }
  // Uses up the burst of two writes that the queue allows at four writes per second.
  void use_up_write_burst() {
    for (int i = 0; i < 2; ++i) add("burst", Urgency::progress, 1);
    sent.clear();
  }

  fakes::SimTime time;
  std::vector<std::string> sent;
  RequestQueue queue{time, {100, 4, 8}, [this](const RequestQueue::Pending& pending) {
                       sent.push_back(pending.call.path);
                     }};
};

using Sent = std::vector<std::string>;

TEST_F(RequestQueueTest, SendsLeaseRequestsAtOnceAndOthersInOrderOfUrgency) {
  use_up_write_burst();
  add("progress", Urgency::progress, 1);
  add("assignment", Urgency::assignment, 1);
  add("final", Urgency::final_status, 1);
  add("lease", Urgency::lease, 0);
  EXPECT_EQ(sent, (Sent{"lease"}));
  EXPECT_EQ(queue.waiting(RequestKind::write), 3U);
  EXPECT_EQ(queue.backlog(Urgency::final_status), 250);
  EXPECT_EQ(queue.backlog(Urgency::progress), 750);
  time.run_for(2000);
  EXPECT_EQ(sent, (Sent{"lease", "final", "assignment", "progress"}));
}

TEST_F(RequestQueueTest, DoesNotSendAWithdrawnRequest) {
  use_up_write_burst();
  const auto ticket = add("progress", Urgency::progress, 1);
  EXPECT_TRUE(queue.withdraw(ticket));
  EXPECT_FALSE(queue.withdraw(ticket));
  time.run_for(2000);
  EXPECT_EQ(sent, Sent{});
}

TEST_F(RequestQueueTest, ReadsDoNotWaitForTheRateOfChanges) {
  use_up_write_burst();
  add("write", Urgency::final_status, 1);
  add("read", Urgency::final_status, 0);
  add("late read", Urgency::progress, 0);
  EXPECT_EQ(sent, (Sent{"read", "late read"}));
  time.run_for(2000);
  EXPECT_EQ(sent.back(), "write");
}

TEST_F(RequestQueueTest, KeepsTheOrderOfReadsAndWritesThatMayBeSent) {
  for (int i = 0; i < 50; ++i) add("burst", Urgency::progress, 0);
  sent.clear();
  add("write", Urgency::final_status, 1);
  add("read", Urgency::final_status, 0);
  add("urgent", Urgency::lease, 0);
  time.run_for(2000);
  EXPECT_EQ(sent, (Sent{"urgent", "write", "read"}));
}

// Guards against queries that are refused for as long as any other request waits: under a load of
// small jobs there is always one.
TEST_F(RequestQueueTest, AdmitsTheReservedQueriesAndNoMoreWhileARequestWaits) {
  EXPECT_TRUE(queue.admit_query());
  use_up_write_burst();
  add("large", Urgency::progress, 100);  // uses up the changes of 25 s
  add("progress", Urgency::progress, 1);
  while (queue.admit_query()) continue;
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    time.run_for(10);
    admitted += queue.admit_query() ? 1 : 0;
  }
  EXPECT_EQ(queue.waiting(RequestKind::write), 1U);
  EXPECT_EQ(admitted, 40);  // 8 reads a second, two for each query
}

TEST_F(RequestQueueTest, AdmitsMoreQueriesWhileNothingWaitsAndFewerAfterARefusal) {
  const auto count_admitted_queries = [this] {
    int count = 0;
    while (queue.admit_query()) ++count;
    return count;
  };
  time.run_for(2000);
  count_admitted_queries();
  time.run_for(400);
  const int before_refusal = count_admitted_queries();
  EXPECT_GT(before_refusal, 10);
  queue.on_answer(ServiceAnswer::refused);
  time.run_for(400);
  EXPECT_LT(count_admitted_queries(), before_refusal);
}

// Guards against queries that starve acceptances: whatever users ask, writes keep their rate.
TEST_F(RequestQueueTest, QueriesDelayNoWrite) {
  use_up_write_burst();
  int written = 0;
  for (int i = 0; i < 1000; ++i) {
    time.run_for(10);
    while (queue.admit_query())
      for (int read = 0; read < 2; ++read) add("query", Urgency::admitted_query, 0);
    if (i % 25 == 0) add("acceptance", Urgency::final_status, 1);
    written += static_cast<int>(std::count(sent.begin(), sent.end(), "acceptance"));
    sent.clear();
  }
  EXPECT_GE(written, 39);  // 4 a second
  EXPECT_LE(queue.backlog(Urgency::final_status), 250);
}

}  // namespace
}  // namespace seampass::state
