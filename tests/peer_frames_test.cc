// Tests encode_frame() and FrameReader: the reader finds the frames no matter how their bytes are
// divided among several reads.
#include "rpc/peer_frames.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace seampass::rpc {
namespace {

using namespace std::string_literals;

TEST(PeerFrames, ALengthIsFourBytesInLittleEndianOrder) {
  EXPECT_EQ(encode_frame("abc"), "\x03\x00\x00\x00"s + "abc");
  EXPECT_EQ(encode_frame(std::string(258, 'x')).substr(0, 4), "\x02\x01\x00\x00"s);
}

TEST(PeerFrames, FindsFramesInReadsOfAnySize) {
  const std::string bytes = encode_frame("one") + encode_frame("") + encode_frame("three");
  for (const std::size_t step : {std::size_t{1}, std::size_t{5}, bytes.size()}) {
    FrameReader reader;
    std::vector<std::string> payloads;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
      reader.append(std::string_view(bytes).substr(i, step));
      while (const auto payload = reader.next()) payloads.emplace_back(*payload);
    }
    EXPECT_EQ(payloads, (std::vector<std::string>{"one", "", "three"})) << "step " << step;
  }
}

TEST(PeerFrames, RejectsATooLargeFrameOnceItsLengthIsRead) {
  FrameReader reader;
  reader.append(encode_frame(std::string(kMaxPayloadBytes + 1, 'x')).substr(0, 4));
  EXPECT_THROW((void)reader.next(), std::runtime_error);
}

}  // namespace
}  // namespace seampass::rpc
