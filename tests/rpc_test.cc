// Tests encode() and decode() of the messages between controllers: decoding restores an encoded
// message, and malformed bytes cause no exception other than std::runtime_error, the only one that
// IncomingConnection catches.
#include <gtest/gtest.h>

#include <random>

#include "rpc/peer_codec.h"

namespace seampass::rpc {
namespace {

std::vector<Message> sample_messages() {
  JobReply reply;
  reply.number = 9;
  reply.lookup = Lookup::found;
  reply.status.stage = wire::Stage::running;
  reply.status.done = 3;
  reply.status.running = 1ull << 40;
  return {JobAccepted{"wk-1", R"({"job":{}})", 77}, JobRequest{12, "wk-2", true, "{}"}, reply,
          LeaderAnnouncement{5, 6}, EpochConfirmation{7, 8, 9}};
}

TEST(Rpc, DecodeRestoresAnEncodedMessage) {
  const auto messages = sample_messages();
  const auto round_trip = [](const Message& message) {
    const std::string bytes = encode(message);
    return decode(bytes).message;
  };
  const auto accepted = std::get<JobAccepted>(round_trip(messages[0]));
  EXPECT_EQ(accepted.id, "wk-1");
  EXPECT_EQ(accepted.record, R"({"job":{}})");
  EXPECT_EQ(accepted.version, 77u);
  const auto request = std::get<JobRequest>(round_trip(messages[1]));
  EXPECT_EQ(request.number, 12u);
  EXPECT_TRUE(request.cancel);
  EXPECT_EQ(request.record, "{}");
  EXPECT_EQ(std::get<LeaderAnnouncement>(round_trip(messages[3])).round, 6u);
  EXPECT_EQ(std::get<EpochConfirmation>(round_trip(messages[4])).up_ms, 9);
  const auto reply = std::get<JobReply>(round_trip(messages[2]));
  EXPECT_EQ(reply.lookup, Lookup::found);
  EXPECT_EQ(reply.status.stage, wire::Stage::running);
  EXPECT_EQ(reply.status.running, 1ull << 40);
}

TEST(Rpc, DecodesMutatedBytesOrThrowsRuntimeError) {
  std::mt19937 random(77);
  int rejected = 0;
  for (const Message& message : sample_messages()) {
    const std::string encoded = encode(message);
    for (int i = 0; i < 2000; ++i) {
      std::string bytes = encoded;
      for (unsigned edit = 0; edit <= random() % 4; ++edit)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      if (random() % 5 == 0) bytes.resize(random() % (bytes.size() + 1));
      try {
        decode(bytes);
      } catch (const std::runtime_error&) {
        ++rejected;
      }
    }
  }
  // Checks that the mutations do produce malformed messages.
  EXPECT_GT(rejected, 500);
}

}  // namespace
}  // namespace seampass::rpc
