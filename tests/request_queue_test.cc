// Tests the order and the rate in which RequestQueue sends requests to the state service.
#include "state/request_queue.h"

#include <gtest/gtest.h>

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
  RequestQueue queue{time, 100, 4, [this](const RequestQueue::Pending& pending) {
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

TEST_F(RequestQueueTest, AdmitsNoQueryWhileARequestWaitsAndFewerAfterARefusal) {
  EXPECT_TRUE(queue.admit_query());
  use_up_write_burst();
  add("progress", Urgency::progress, 1);
  EXPECT_FALSE(queue.admit_query());
  time.run_for(2000);
  EXPECT_TRUE(queue.admit_query());
  const auto count_admitted_queries = [this] {
    int count = 0;
    while (queue.admit_query()) ++count;
    return count;
  };
  count_admitted_queries();
  time.run_for(400);
  const int before_refusal = count_admitted_queries();
  queue.on_answer(ServiceAnswer::refused);
  time.run_for(400);
  EXPECT_LT(count_admitted_queries(), before_refusal);
}

}  // namespace
}  // namespace seampass::state
