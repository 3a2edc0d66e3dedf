// The two kinds of connections between controllers. This node opens an OutgoingConnection and only
// sends on it. A peer opens an IncomingConnection, and this node only reads from it. PeerLink owns
// both; they run on its loop.
#pragma once

#include <uv.h>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"
#include "rpc/peer_frames.h"

namespace seampass::rpc {

// Deletes a connection in two steps, because libuv uses it until it is closed: the owner starts to
// close it, and the loop frees it once it is closed. The connection calls no callbacks after the
// first step.
struct CloseConnection {
  template <typename Connection>
  void operator()(Connection* connection) const {
    connection->close();
  }
};
template <typename Connection>
using ConnectionPtr = std::unique_ptr<Connection, CloseConnection>;

class OutgoingConnection {
 public:
  // The connection sends `first_frame` before all other frames. It calls `on_failed` when it can no
  // longer be used; the owner must then close it.
  OutgoingConnection(net::Loop& loop, std::string first_frame, std::function<void()> on_failed);
  OutgoingConnection(const OutgoingConnection&) = delete;
  OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  void connect(const std::string& endpoint);
  // Sends a frame, or queues it until the connection is established. The connection discards the
  // frame if too many bytes are queued before then. An established connection fails if too many
  // bytes wait to be sent because its peer does not read.
  void send(std::string frame);
  void close();

 private:
  ~OutgoingConnection() = default;
  void on_connected(int status);
  void write(std::string data);
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }

  uv_tcp_t tcp_{};
  uv_connect_t connect_request_{};
  std::function<void()> on_failed_;
  std::string queued_;  // frames that wait until the connection is established
  bool connected_ = false;
  bool closing_ = false;
};

class IncomingConnection {
 public:
  // The owner's callbacks. The connection calls `on_peer_name` first, with the node name that the
  // peer sends; if it returns false, the connection fails. It calls `on_payload` with the payload
  // of each later frame; the callback may throw std::runtime_error if the payload is malformed, and
  // the connection then fails. It calls `on_failed` when it can no longer be used; the owner must
  // then close it.
  struct Callbacks {
    std::function<bool(const std::string& node)> on_peer_name;
    std::function<void(const std::string& node, std::string_view payload)> on_payload;
    std::function<void(IncomingConnection*)> on_failed;
  };

  IncomingConnection(net::Loop& loop, Callbacks callbacks);
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  // Accepts the connection that waits at the listener. Returns false if that fails.
  [[nodiscard]] bool accept(uv_stream_t* listener);
  void start_reading();
  void close();

 private:
  static constexpr std::size_t kBufferBytes = 4096;

  ~IncomingConnection() = default;
  void on_read(std::string_view bytes);
  void on_frame(std::string_view payload);
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }

  uv_tcp_t tcp_{};
  Callbacks callbacks_;
  std::string node_;  // the peer's name; empty until the peer has sent it
  FrameReader frames_;
  std::array<char, kBufferBytes> buffer_{};
  bool closing_ = false;
};

}  // namespace seampass::rpc
