// Tests which outcome follows from each answer of the state service, and from a missing answer.
// formats_requests_test.cc compares requests and answers with literals.
#include <gtest/gtest.h>

#include "state/protocol.h"

namespace seampass::state {
namespace {

using net::Reply;

Reply answered(int status, const char* body = "{}") {
  return {Reply::Result::answered, status, body};
}

TEST(StateProtocol, EveryStatusHasAnOutcome) {
  const std::vector<std::pair<int, Outcome>> outcomes{
      {200, Outcome::ok},       {400, Outcome::invalid}, {404, Outcome::missing},
      {409, Outcome::conflict}, {410, Outcome::missing}, {429, Outcome::refused},
      {500, Outcome::unknown},  {503, Outcome::refused}};
  for (const auto& [status, outcome] : outcomes)
    EXPECT_EQ(outcome_of(answered(status)), outcome) << status;
}

TEST(StateProtocol, WithoutAnAnswerOnlyAnUnsentRequestIsRefused) {
  EXPECT_EQ(outcome_of({Reply::Result::not_sent, 0, {}}), Outcome::refused);
  EXPECT_EQ(outcome_of({Reply::Result::unknown, 0, {}}), Outcome::unknown);
  EXPECT_EQ(outcome_of({Reply::Result::unknown, 503, {}}), Outcome::unknown);
}

TEST(StateProtocol, TheOutcomeOfAMalformedAnswerIsUnknown) {
  for (const char* body : {"", "[]", "{", "{}", R"({"ledger_rev":-1})"}) {
    EXPECT_EQ(decode_get(answered(200, body)).outcome, Outcome::unknown) << body;
    EXPECT_EQ(decode_list(answered(200, body)).outcome, Outcome::unknown) << body;
    EXPECT_EQ(decode_txn(answered(200, body)).outcome, Outcome::unknown) << body;
    EXPECT_EQ(decode_watch(answered(200, body)).outcome, Outcome::unknown) << body;
    EXPECT_EQ(decode_lease(answered(200, body)).outcome, Outcome::unknown) << body;
  }
  // A conflict is malformed if it does not name the keys whose condition failed.
  EXPECT_EQ(decode_txn(answered(409, R"({"ledger_rev":3})")).outcome, Outcome::unknown);
}

TEST(StateProtocol, AConflictNamesTheKeysWhoseConditionFailed) {
  const TxnResult result = decode_txn(answered(409, R"({"ledger_rev":3,"failed":["leader"]})"));
  EXPECT_EQ(result.outcome, Outcome::conflict);
  EXPECT_TRUE(result.failed_on("leader"));
  EXPECT_FALSE(result.failed_on("cluster"));
}

}  // namespace
}  // namespace seampass::state
