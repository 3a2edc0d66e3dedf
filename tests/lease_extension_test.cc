// Tests of leader::LeaseExtension: which confirmations of peers extend the time during which a
// leader without a valid lease may answer heartbeats.
#include "leader/election/lease_extension.h"

#include <gtest/gtest.h>

namespace seampass::leader {
namespace {

constexpr net::Ms kDuration = 5'000;
constexpr net::Ms kGrantedAt = 100'000;
constexpr net::Ms kRoundStartedAt = 103'000;
constexpr net::Ms kConfirmedAt = 103'200;
constexpr std::uint64_t kEpoch = 7;
constexpr net::Ms kLongUptime = 1'000'000;

class LeaseExtensionTest : public ::testing::Test {
 protected:
  // Adds a confirmation of this peer and returns whether it completes the round.
  bool confirm(const std::string& node, std::uint64_t round, net::Ms up_ms = kLongUptime) {
    return extension.add_confirmation(node, {round, kEpoch, up_ms}, kConfirmedAt - kGrantedAt);
  }
  // Checks that the extension lasts for kDuration from `start`.
  void expect_extended_from(net::Ms start) {
    EXPECT_EQ(extension.ends_at(kGrantedAt), start + kDuration);
  }

  LeaseExtension extension{2, kDuration};
};

TEST_F(LeaseExtensionTest, ExtensionStartsAtLastRenewalWithoutConfirmations) {
  expect_extended_from(kGrantedAt);
}

TEST_F(LeaseExtensionTest, ExtensionStartsAtRoundStartOnceAllPeersConfirm) {
  const auto round = extension.start_round(kRoundStartedAt);

  EXPECT_FALSE(confirm("n1", round));
  EXPECT_FALSE(confirm("n1", round));  // a duplicate of the message
  expect_extended_from(kGrantedAt);
  EXPECT_TRUE(confirm("n2", round));

  expect_extended_from(kRoundStartedAt);
}

TEST_F(LeaseExtensionTest, NewRoundDiscardsConfirmationsOfEarlierRound) {
  const auto first_round = extension.start_round(kRoundStartedAt - 500);
  EXPECT_FALSE(confirm("n1", first_round));
  const auto second_round = extension.start_round(kRoundStartedAt);

  EXPECT_FALSE(confirm("n2", first_round));
  EXPECT_FALSE(confirm("n2", second_round));

  expect_extended_from(kGrantedAt);
}

TEST_F(LeaseExtensionTest, ConfirmationOfPeerRestartedSinceLastRenewalIsIgnored) {
  const auto round = extension.start_round(kRoundStartedAt);
  const net::Ms since_grant = kConfirmedAt - kGrantedAt;
  EXPECT_FALSE(confirm("n1", round));

  // With clock drift, this peer may have started after the last renewal.
  EXPECT_FALSE(confirm("n2", round, since_grant));
  expect_extended_from(kGrantedAt);

  EXPECT_TRUE(confirm("n2", round, since_grant + since_grant / 500));
  expect_extended_from(kRoundStartedAt);
}

TEST_F(LeaseExtensionTest, OnlyFirstCompletedRoundSinceRenewalIsReported) {
  auto round = extension.start_round(kRoundStartedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  round = extension.start_round(kRoundStartedAt + 100);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_FALSE(confirm("n2", round));
  expect_extended_from(kRoundStartedAt + 100);

  extension.on_lease_renewed();
  round = extension.start_round(kRoundStartedAt + 200);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));
}

TEST_F(LeaseExtensionTest, NewTermDiscardsConfirmedRound) {
  const auto round = extension.start_round(kRoundStartedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  extension.start_term();

  expect_extended_from(kGrantedAt);
  EXPECT_GT(extension.start_round(kRoundStartedAt), round);
}

TEST_F(LeaseExtensionTest, ExtensionStartsAtRenewalIfLaterThanConfirmedRound) {
  const auto round = extension.start_round(kRoundStartedAt);
  EXPECT_FALSE(confirm("n1", round));
  EXPECT_TRUE(confirm("n2", round));

  EXPECT_EQ(extension.ends_at(kRoundStartedAt + 1), kRoundStartedAt + 1 + kDuration);
}

}  // namespace
}  // namespace seampass::leader
