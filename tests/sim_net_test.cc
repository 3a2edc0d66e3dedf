// Tests that the simulated network handles each request as the delivery rule specifies. All tests
// that inject network faults depend on this.
#include "fakes/sim_net.h"

#include <gtest/gtest.h>

namespace seampass::fakes {
namespace {

constexpr Ms kTimeout = 1000;

// One service that counts the requests it executes and answers with the body "own". Each test sends
// one request to it.
class SimNetTest : public ::testing::Test {
 protected:
  SimNetTest() {
    net_.serve("service:1", [this](const net::Request&, const net::Answer& answer) {
      ++executed_;
      answer({200, "own", 0});
    });
  }
  // Sends the request and runs the simulation until long after the request's timeout.
  void send(const Delivery& delivery) {
    net_.set_rule([delivery](const std::string&, const net::Call&) { return delivery; });
    net_.call("sender", alive_, {"service:1", "GET", "/", "", kTimeout},
              [this](const net::Reply& reply) { replies_.push_back(reply); });
    time_.run_for(10 * kTimeout);
  }

  SimTime time_;
  SimNet net_{time_, 1};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  int executed_ = 0;
  std::vector<net::Reply> replies_;
};

TEST_F(SimNetTest, DeliversAndAnswersOnce) {
  send({});
  EXPECT_EQ(executed_, 1);
  ASSERT_EQ(replies_.size(), 1u);
  EXPECT_TRUE(replies_.front().is(200));
  EXPECT_EQ(replies_.front().body, "own");
}

TEST_F(SimNetTest, RefusedRequestIsNotExecuted) {
  Delivery delivery;
  delivery.refuse = true;
  send(delivery);
  EXPECT_EQ(executed_, 0);
  ASSERT_EQ(replies_.size(), 1u);
  EXPECT_EQ(replies_.front().result, net::Reply::Result::not_sent);
}

TEST_F(SimNetTest, DroppedRequestIsNotExecutedAndItsOutcomeIsUnknown) {
  Delivery delivery;
  delivery.drop = true;
  send(delivery);
  EXPECT_EQ(executed_, 0);
  ASSERT_EQ(replies_.size(), 1u);
  EXPECT_EQ(replies_.front().result, net::Reply::Result::unknown);
}

TEST_F(SimNetTest, RequestThatArrivesAfterItsTimeoutIsExecutedAndItsOutcomeIsUnknown) {
  Delivery delivery;
  delivery.delay_without_answer = 2 * kTimeout;
  send(delivery);
  EXPECT_EQ(executed_, 1);
  ASSERT_EQ(replies_.size(), 1u);
  EXPECT_EQ(replies_.front().result, net::Reply::Result::unknown);
}

TEST_F(SimNetTest, RepeatedRequestIsExecutedTwiceAndAnsweredOnce) {
  Delivery delivery;
  delivery.repeat_after = 2 * kTimeout;
  send(delivery);
  EXPECT_EQ(executed_, 2);
  EXPECT_EQ(replies_.size(), 1u);
}

TEST_F(SimNetTest, TerminatedSenderGetsNoReply) {
  *alive_ = false;
  send({});
  EXPECT_EQ(executed_, 1);
  EXPECT_TRUE(replies_.empty());
}

}  // namespace
}  // namespace seampass::fakes
