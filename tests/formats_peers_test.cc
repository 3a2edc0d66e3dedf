// Compares the bytes of the messages between controllers with literals in hexadecimal.
//
// During an upgrade, controllers of the previous version send and read these bytes. A literal here
// must therefore not be changed together with the program: if it no longer matches, the two
// versions can no longer read each other's messages.
#include <gtest/gtest.h>

#include "rpc/peer_codec.h"

namespace seampass {
namespace {

std::string hex_from(const std::string& bytes) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string hex;
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    hex += {digits[byte >> 4], digits[byte & 15]};
  }
  return hex;
}

std::string bytes_from(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

// Decodes a message from hexadecimal and returns it. Expects that the message states this version,
// and that encoding it again gives the same bytes.
template <typename MessageType>
MessageType read_back(const std::string& hex) {
  const std::string bytes = bytes_from(hex);
  const rpc::Envelope envelope = rpc::decode(bytes);
  EXPECT_EQ(envelope.version, 1U);
  EXPECT_EQ(hex_from(rpc::encode(envelope.message)), hex);
  return std::get<MessageType>(envelope.message);
}

TEST(Formats, JobAcceptedMessageIsUnchanged) {
  const rpc::JobAccepted written{"wk-8801", R"({"job":{}})", 0x1122334455667788};
  const std::string hex =
      "00000000090000000000000001000100000001000000000000000000010002008877665544332211050000004200"
      "0000050000005a000000776b2d38383031007b226a6f62223a7b7d7d000000000000";
  EXPECT_EQ(hex_from(rpc::encode(written)), hex);
  const auto read = read_back<rpc::JobAccepted>(hex);
  EXPECT_EQ(read.id, "wk-8801");
  EXPECT_EQ(read.record, R"({"job":{}})");
  EXPECT_EQ(read.version, 0x1122334455667788U);
}

void expect_request(const rpc::JobRequest& request, const std::string& hex) {
  EXPECT_EQ(hex_from(rpc::encode(request)), hex);
  const auto read = read_back<rpc::JobRequest>(hex);
  EXPECT_EQ(read.number, request.number);
  EXPECT_EQ(read.id, request.id);
  EXPECT_EQ(read.cancel, request.cancel);
  EXPECT_EQ(read.record, request.record);
}

TEST(Formats, JobRequestMessageIsUnchanged) {
  expect_request(
      {0x0102030405060708, "wk-8801", false, ""},
      "0000000009000000000000000100010001000100000000000000000002000200080706050403020100000"
      "000000000000500000042000000050000000a000000776b2d38383031000000000000000000");
  expect_request(
      {0x0102030405060708, "wk-8801", true, ""},
      "0000000009000000000000000100010001000100000000000000000002000200080706050403020101000"
      "000000000000500000042000000050000000a000000776b2d38383031000000000000000000");
  expect_request(
      {0x0102030405060708, "wk-8801", false, R"({"job":{}})"},
      "000000000a0000000000000001000100010001000000000000000000020002000807060504030201000000000000"
      "00000500000042000000050000005a000000776b2d38383031007b226a6f62223a7b7d7d000000000000");
}

void expect_reply(rpc::Lookup lookup, wire::Stage stage, bool created, const std::string& hex) {
  rpc::JobReply reply;
  reply.number = 0x0102030405060708;
  reply.lookup = lookup;
  reply.status = {"", stage, 77, 1ULL << 40};
  reply.created = created;
  EXPECT_EQ(hex_from(rpc::encode(reply)), hex);
  const auto read = read_back<rpc::JobReply>(hex);
  EXPECT_EQ(read.number, reply.number);
  EXPECT_EQ(read.lookup, lookup);
  EXPECT_EQ(read.status.stage, stage);
  EXPECT_EQ(read.status.done, 77U);
  EXPECT_EQ(read.status.running, 1ULL << 40);
  EXPECT_EQ(read.created, created);
}

TEST(Formats, JobReplyMessageWithEachLookupIsUnchanged) {
  expect_reply(rpc::Lookup::unavailable, wire::Stage::queued, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020100"
               "000000000000004d000000000000000000000000010000");
  expect_reply(rpc::Lookup::found, wire::Stage::queued, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020101"
               "000000000000004d000000000000000000000000010000");
  expect_reply(rpc::Lookup::found, wire::Stage::queued, true,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020101"
               "000001000000004d000000000000000000000000010000");
  expect_reply(rpc::Lookup::not_found, wire::Stage::queued, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020102"
               "000000000000004d000000000000000000000000010000");
}

TEST(Formats, JobReplyMessageWithEachStageIsUnchanged) {
  expect_reply(rpc::Lookup::found, wire::Stage::running, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020101"
               "000100000000004d000000000000000000000000010000");
  expect_reply(rpc::Lookup::found, wire::Stage::done, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020101"
               "000200000000004d000000000000000000000000010000");
  expect_reply(rpc::Lookup::found, wire::Stage::cancelled, false,
               "0000000007000000000000000100010002000100000000000000000004000000080706050403020101"
               "000300000000004d000000000000000000000000010000");
}

void expect_announcement(const rpc::LeaderAnnouncement& announcement, const std::string& hex) {
  EXPECT_EQ(hex_from(rpc::encode(announcement)), hex);
  const auto read = read_back<rpc::LeaderAnnouncement>(hex);
  EXPECT_EQ(read.epoch, announcement.epoch);
  EXPECT_EQ(read.round, announcement.round);
}

TEST(Formats, LeaderAnnouncementMessageIsUnchanged) {
  expect_announcement(
      {0x2a2b, 0},
      "00000000050000000000000001000100030001000000000000000000020000002b2a000000000000000"
      "0000000000000");
  expect_announcement(
      {0x2a2b, 0x3c},
      "00000000050000000000000001000100030001000000000000000000020000002b2a0000000000003c0"
      "0000000000000");
  expect_announcement(
      {0x2a2b, rpc::kVersionRound},
      "00000000050000000000000001000100030001000000000000000000020000002b2a000000000000fff"
      "fffffffffffff");
}

TEST(Formats, EpochConfirmationMessageIsUnchanged) {
  const std::string hex =
      "00000000060000000000000001000100040001000000000000000000030000003c000000000000002b2a00000000"
      "0000005c260500000000";
  EXPECT_EQ(hex_from(rpc::encode(rpc::EpochConfirmation{0x3c, 0x2a2b, 86400000})), hex);
  const auto read = read_back<rpc::EpochConfirmation>(hex);
  EXPECT_EQ(read.round, 0x3cU);
  EXPECT_EQ(read.epoch, 0x2a2bU);
  EXPECT_EQ(read.up_ms, 86400000);
}

}  // namespace
}  // namespace seampass
