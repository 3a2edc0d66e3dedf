// leader::LeaseExtension: which confirmations of peers extend the time for answering heartbeats.
#include "leader/election/lease_extension.h"

#include <gtest/gtest.h>

namespace seampass::leader {
namespace {

constexpr net::Ms kDuration = 5'000;
constexpr net::Ms kGrantedAt = 100'000;
constexpr net::Ms kAskedAt = 103'000;
constexpr net::Ms kAnsweredAt = 103'200;
constexpr std::uint64_t kEpoch = 7;
constexpr net::Ms kLongUp = 1'000'000;

class LeaseExtensionTest : public ::testing::Test {
 protected:
  // Whether a confirmation of this peer completes the round.
  bool confirm(const std::string& node, std::uint64_t round, net::Ms up_ms = kLongUp) {
    return extension.add_confirmation(node, {round, kEpoch, up_ms}, kAnsweredAt - kGrantedAt);
  }
  void expect_extended_from(net::Ms start) {
    EXPECT_EQ(extension.ends_at(kGrantedAt), start + kDuration);
  }

  LeaseExtension extension{2, kDuration};
};

TEST_F(LeaseExtensionTest, CountsFromTheRenewalWithoutConfirmations) {
  expect_extended_from(kGrantedAt);
}

TEST_F(LeaseExtensionTest, CountsFromTheAskingOnceAllPeersHaveConfirmed) {
  const auto round = extension.start_round(kAskedAt);

  EXPECT_FALSE(confirm("n1", round));
  EXPECT_FALSE(confirm("n1", round));  // a copy
  expect_extended_from(kGrantedAt);
  EXPECT_TRUE(confirm("n2", round));

  expect_extended_from(kAskedAt);
}

TEST_F(LeaseExtensionTest, ForgetsTheConfirmationsOfAnEarlierRound) {
  const auto first = extension.start_round(kAskedAt - 500);
  EXPECT_FALSE(confirm("n1", first));
  const auto second = extension.start_round(kAskedAt);

  EXPECT_FALSE(confirm("n2", first));
  EXPECT_FALSE(confirm("n2", second));

  expect_extended_from(kGrantedAt);
}

TEST_F(LeaseExtensionTest, IgnoresAPeerThatMayHaveLedAndForgotten) {
  const auto round = extension.start_round(kAskedAt);
  const net::Ms since_grant = kAnsweredAt - kGrantedAt;
  EXPECT_FALSE(confirm("n1", round));

  EXPECT_FALSE(confirm("n2", round, since_grant));  // allowing for drift, it may be younger
  expect_extended_from(kGrantedAt);

  EXPECT_TRUE(confirm("n2", round, since_grant + since_grant / 500));
  expect_extended_from(kAskedAt);
}

TEST_F(LeaseExtensionTest, ReportsOnlyTheFirstCompletedRoundSinceARenewal) {
  auto round = extension.start_round(kAskedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  round = extension.start_round(kAskedAt + 100);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_FALSE(confirm("n2", round));
  expect_extended_from(kAskedAt + 100);

  extension.on_lease_renewed();
  round = extension.start_round(kAskedAt + 200);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));
}

TEST_F(LeaseExtensionTest, AConfirmedRoundEndsWithItsTerm) {
  const auto round = extension.start_round(kAskedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  extension.start_term();

  expect_extended_from(kGrantedAt);
  EXPECT_GT(extension.start_round(kAskedAt), round);
}

TEST_F(LeaseExtensionTest, ARenewalAfterTheAskingCountsForMore) {
  const auto round = extension.start_round(kAskedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  EXPECT_EQ(extension.ends_at(kAskedAt + 1), kAskedAt + 1 + kDuration);
}

}  // namespace
}  // namespace seampass::leader
