// How messages are told apart on a connection between controllers: a frame is four bytes with the
// length of what follows, the lowest first, and that many bytes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace seampass::rpc {

// A job's record, the largest part of any message, is below a request body's 64 KiB.
inline constexpr std::size_t kMaxFrame = 256U << 10;

[[nodiscard]] std::string framed(std::string_view payload);

// Takes bytes as they are read, and gives the payloads of the frames that are complete.
class FrameReader {
 public:
  void append(std::string_view bytes) { data_.append(bytes); }
  // The next complete frame's payload, which is valid until the next call; none if more bytes are
  // needed. Throws std::runtime_error if a frame claims more than kMaxFrame.
  [[nodiscard]] std::optional<std::string_view> next();

 private:
  std::string data_;
  std::size_t consumed_ = 0;  // bytes of data_ that were given out
};

}  // namespace seampass::rpc
