#include <gtest/gtest.h>

#include <random>

#include "rpc/peer_codec.h"

namespace seampass::rpc {
namespace {

std::vector<Message> samples() {
  JobReply a;
  a.number = 9;
  a.lookup = Lookup::found;
  a.status.stage = wire::Stage::running;
  a.status.done = 3;
  a.status.running = 1ull << 40;
  return {JobAccepted{"wk-1", R"({"job":{}})", 77}, JobRequest{12, "wk-2", true, "{}"}, a,
          LeaderAnnouncement{5, 6}, EpochConfirmation{7, 8, 9}};
}

TEST(Rpc, MessagesComeBackAsTheyWent) {
  const auto list = samples();
  const auto back = [](const Message& m) {
    const std::string s = encode(m);
    return decode(s).message;
  };
  const auto accepted = std::get<JobAccepted>(back(list[0]));
  EXPECT_EQ(accepted.id, "wk-1");
  EXPECT_EQ(accepted.record, R"({"job":{}})");
  EXPECT_EQ(accepted.version, 77u);
  const auto ask = std::get<JobRequest>(back(list[1]));
  EXPECT_EQ(ask.number, 12u);
  EXPECT_TRUE(ask.cancel);
  EXPECT_EQ(ask.record, "{}");
  EXPECT_EQ(std::get<LeaderAnnouncement>(back(list[3])).round, 6u);
  EXPECT_EQ(std::get<EpochConfirmation>(back(list[4])).up_ms, 9);
  const auto answer = std::get<JobReply>(back(list[2]));
  EXPECT_EQ(answer.lookup, Lookup::found);
  EXPECT_EQ(answer.status.stage, wire::Stage::running);
  EXPECT_EQ(answer.status.running, 1ull << 40);
}

TEST(Rpc, MutatedFramesAreRefusedOrRead) {
  std::mt19937 random(77);
  int refused = 0;
  for (const Message& m : samples()) {
    const std::string good = encode(m);
    for (int i = 0; i < 2000; ++i) {
      std::string s = good;
      for (unsigned e = 0; e <= random() % 4; ++e)
        s[random() % s.size()] = static_cast<char>(random());
      if (random() % 5 == 0) s.resize(random() % (s.size() + 1));
      try {
        decode(s);
      } catch (const std::runtime_error&) {
        ++refused;
      }
    }
  }
  EXPECT_GT(refused, 500);
}

}  // namespace
}  // namespace seampass::rpc
