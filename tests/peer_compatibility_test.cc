// Tests that controllers of this version and of the version in production read each other's
// messages, as they must during an upgrade.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cstring>

#include "fakes/production_peer.capnp.h"
#include "rpc/peer_codec.h"

namespace seampass::fakes {
namespace {

// One message of each type, encoded by the version in production. In the schema of that version
// (fakes/production_peer.capnp) they are called Accepted, Ask, Answer, Leads and Word.
const std::vector<std::string> kProductionMessages{
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

TEST(PeerCompatibility, ThisVersionReadsMessagesOfProduction) {
  const auto read_production_message = [](std::size_t i) {
    const std::string bytes = bytes_from(kProductionMessages.at(i));
    const rpc::Envelope envelope = rpc::decode(bytes);
    EXPECT_EQ(envelope.version, rpc::kVersionUnstated);
    return envelope.message;
  };
  const auto accepted = std::get<rpc::JobAccepted>(read_production_message(0));
  EXPECT_EQ(accepted.id + accepted.record, R"(wk-1{"job":{}})");
  EXPECT_EQ(accepted.version, 77u);
  const auto request = std::get<rpc::JobRequest>(read_production_message(1));
  EXPECT_EQ(request.number, 12u);
  EXPECT_TRUE(request.cancel);
  EXPECT_EQ(std::get<rpc::JobReply>(read_production_message(2)).status.running, 4u);
  EXPECT_EQ(std::get<rpc::LeaderAnnouncement>(read_production_message(3)).round, 6u);
  EXPECT_EQ(std::get<rpc::EpochConfirmation>(read_production_message(4)).up_ms, 9);
}

// Reads this version's messages with the schema of production. The field `version`, which this
// version added to the envelope, must not change what production reads.
TEST(PeerCompatibility, ProductionReadsMessagesOfThisVersion) {
  const auto check_as_production = [](const rpc::Message& message, const auto& check) {
    const std::string bytes = rpc::encode(message);
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(words);
    check(reader.getRoot<production::Envelope>());
  };
  using Envelope = production::Envelope::Reader;
  check_as_production(rpc::JobAccepted{"wk-1", "{}", 77}, [](const Envelope& envelope) {
    EXPECT_EQ(std::string(envelope.getAccepted().getId().cStr()), "wk-1");
    EXPECT_EQ(envelope.getAccepted().getVersion(), 77u);
  });
  check_as_production(rpc::JobRequest{12, "wk-2", true, "{}"}, [](const Envelope& envelope) {
    EXPECT_EQ(envelope.getAsk().getNumber(), 12u);
    EXPECT_TRUE(envelope.getAsk().getCancel());
  });
  rpc::JobReply reply;
  reply.number = 9;
  reply.lookup = rpc::Lookup::not_found;
  reply.status.stage = wire::Stage::cancelled;
  check_as_production(reply, [](const Envelope& envelope) {
    EXPECT_EQ(envelope.getAnswer().getVerdict(), production::Answer::Verdict::UNKNOWN);
    EXPECT_EQ(envelope.getAnswer().getStage(), 3);
  });
  check_as_production(rpc::LeaderAnnouncement{5, rpc::kVersionRound}, [](const Envelope& envelope) {
    EXPECT_EQ(envelope.getLeads().getWarrant(), 5u);
    EXPECT_EQ(envelope.getLeads().getRound(), rpc::kVersionRound);
  });
  check_as_production(rpc::EpochConfirmation{7, 8, 9},
                      [](const Envelope& envelope) { EXPECT_EQ(envelope.getWord().getUpMs(), 9); });
}

}  // namespace
}  // namespace seampass::fakes
