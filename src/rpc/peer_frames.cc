#include "rpc/peer_frames.h"

#include <cstdint>
#include <stdexcept>

namespace seampass::rpc {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::size_t length_at(const char* bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i]))
              << (kBitsPerByte * i);
  return length;
}

}  // namespace

std::string encode_frame(std::string_view payload) {
  const auto length = static_cast<std::uint32_t>(payload.size());
  std::string frame;
  frame.reserve(kLengthBytes + payload.size());
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    frame += static_cast<char>(length >> (kBitsPerByte * i));
  return frame.append(payload);
}

std::optional<std::string_view> FrameReader::next() {
  const std::size_t available = data_.size() - consumed_;
  if (available >= kLengthBytes) {
    const std::size_t length = length_at(data_.data() + consumed_);
    if (length > kMaxPayloadBytes)
      throw std::runtime_error("length of a frame from a peer exceeds the maximum");
    if (available - kLengthBytes >= length) {
      const std::string_view payload(data_.data() + consumed_ + kLengthBytes, length);
      consumed_ += kLengthBytes + length;
      return payload;
    }
  }
  data_.erase(0, consumed_);
  consumed_ = 0;
  return std::nullopt;
}

}  // namespace seampass::rpc
