// The framing of messages on a connection between controllers. A frame consists of four bytes with
// the length of the payload in bytes, the least significant byte first, and of the payload.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace seampass::rpc {

// Maximum length of a payload in bytes. A job's record is the largest part of any message, and is
// smaller than the 64 KiB to which the body of a request is limited.
inline constexpr std::size_t kMaxPayloadBytes = 256U << 10;

// Returns the frame that carries this payload.
[[nodiscard]] std::string encode_frame(std::string_view payload);

// Splits the bytes read from a connection into frames, and returns the payloads of complete frames.
// Each IncomingConnection owns a FrameReader.
class FrameReader {
 public:
  void append(std::string_view bytes) { data_.append(bytes); }
  // Returns the payload of the next complete frame, or none if more bytes are needed. The payload
  // is valid until the next call of append() or next(). Throws std::runtime_error if the length in
  // a frame exceeds kMaxPayloadBytes.
  [[nodiscard]] std::optional<std::string_view> next();

 private:
  std::string data_;
  std::size_t consumed_ = 0;  // bytes of data_ that belong to frames already returned
};

}  // namespace seampass::rpc
