// Messages between controllers of the version in production and of this one, in both directions.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cstring>

#include "fakes/production_peer.capnp.h"
#include "rpc/peer_codec.h"

namespace seampass::fakes {
namespace {

// Messages of the version in production: Accepted, Ask, Answer, Leads, Word.
const std::vector<std::string> kProductionFrames{
    "00000000090000000000000001000100000000000000000000000000010002004d00000000000000050000002a0000"
    "00050000005a000000776b2d31000000007b226a6f62223a7b7d7d000000000000",
    "00000000090000000000000001000100010000000000000000000000020002000c0000000000000001000000000000"
    "00050000002a000000050000001a000000776b2d32000000007b7d000000000000",
    "0000000007000000000000000100010002000000000000000000000004000000090000000000000001000100000000"
    "0003000000000000000400000000000000",
    "0000000005000000000000000100010003000000000000000000000002000000050000000000000006000000000000"
    "00",
    "0000000006000000000000000100010004000000000000000000000003000000070000000000000008000000000000"
    "000900000000000000",
};

std::string bytes_from(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

TEST(PeerCompatibility, MessagesOfProductionAreRead) {
  const auto read = [](std::size_t i) {
    const std::string bytes = bytes_from(kProductionFrames.at(i));
    const rpc::Envelope envelope = rpc::decode(bytes);
    EXPECT_EQ(envelope.version, rpc::kVersionUnsaid);
    return envelope.message;
  };
  const auto accepted = std::get<rpc::JobAccepted>(read(0));
  EXPECT_EQ(accepted.id + accepted.record, R"(wk-1{"job":{}})");
  EXPECT_EQ(accepted.version, 77u);
  const auto ask = std::get<rpc::JobRequest>(read(1));
  EXPECT_EQ(ask.number, 12u);
  EXPECT_TRUE(ask.cancel);
  EXPECT_EQ(std::get<rpc::JobReply>(read(2)).status.running, 4u);
  EXPECT_EQ(std::get<rpc::LeaderAnnouncement>(read(3)).round, 6u);
  EXPECT_EQ(std::get<rpc::EpochConfirmation>(read(4)).up_ms, 9);
}

// With production's own schema: the version that was added does not change what it reads.
TEST(PeerCompatibility, ProductionReadsTheMessagesOfThisVersion) {
  const auto read = [](const rpc::Message& message, const auto& check) {
    const std::string bytes = rpc::encode(message);
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(words);
    check(reader.getRoot<production::Envelope>());
  };
  using Envelope = production::Envelope::Reader;
  read(rpc::JobAccepted{"wk-1", "{}", 77}, [](const Envelope& e) {
    EXPECT_EQ(std::string(e.getAccepted().getId().cStr()), "wk-1");
    EXPECT_EQ(e.getAccepted().getVersion(), 77u);
  });
  read(rpc::JobRequest{12, "wk-2", true, "{}"}, [](const Envelope& e) {
    EXPECT_EQ(e.getAsk().getNumber(), 12u);
    EXPECT_TRUE(e.getAsk().getCancel());
  });
  rpc::JobReply answer;
  answer.number = 9;
  answer.lookup = rpc::Lookup::not_found;
  answer.status.stage = wire::Stage::cancelled;
  read(answer, [](const Envelope& e) {
    EXPECT_EQ(e.getAnswer().getVerdict(), production::Answer::Verdict::UNKNOWN);
    EXPECT_EQ(e.getAnswer().getStage(), 3);
  });
  read(rpc::LeaderAnnouncement{5, rpc::kVersionRound}, [](const Envelope& e) {
    EXPECT_EQ(e.getLeads().getWarrant(), 5u);
    EXPECT_EQ(e.getLeads().getRound(), rpc::kVersionRound);
  });
  read(rpc::EpochConfirmation{7, 8, 9},
       [](const Envelope& e) { EXPECT_EQ(e.getWord().getUpMs(), 9); });
}

}  // namespace
}  // namespace seampass::fakes
