// One connection between two controllers: opened by this node, which only sends on it, or by its
// peer, from which this node only reads. Both belong to a PeerLink and run on its loop.
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

// libuv refers to a connection until it is closed: its owner begins to close it, and the loop frees
// it. Nothing is called back from then on.
struct CloseConnection {
  template <typename Connection>
  void operator()(Connection* connection) const {
    connection->close();
  }
};
template <typename Connection>
using Owned = std::unique_ptr<Connection, CloseConnection>;

class OutgoingConnection {
 public:
  // `first_frame` is sent before all others. `on_failed`: the connection is of no use any more, and
  // its owner has to let it go.
  OutgoingConnection(net::Loop& loop, std::string first_frame, std::function<void()> on_failed);
  OutgoingConnection(const OutgoingConnection&) = delete;
  OutgoingConnection& operator=(const OutgoingConnection&) = delete;

  void connect(const std::string& endpoint);
  // Sends a frame now or, while the connection is being made, once it is there. One whose peer does
  // not read fails.
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
  std::string queued_;  // until the connection is made
  bool connected_ = false;
  bool closing_ = false;
};

class IncomingConnection {
 public:
  // What its owner does with it. `on_node` is called first, with the name that the peer gives;
  // false refuses it. `on_payload` is called with each later frame's payload, and may throw
  // std::runtime_error if it is malformed. `on_failed` as above.
  struct Callbacks {
    std::function<bool(const std::string& node)> on_node;
    std::function<void(const std::string& node, std::string_view payload)> on_payload;
    std::function<void(IncomingConnection*)> on_failed;
  };

  IncomingConnection(net::Loop& loop, Callbacks callbacks);
  IncomingConnection(const IncomingConnection&) = delete;
  IncomingConnection& operator=(const IncomingConnection&) = delete;

  // False if the connection that waits at the listener could not be had.
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
  std::string node_;  // empty until the peer has given it
  FrameReader frames_;
  std::array<char, kBufferBytes> buffer_{};
  bool closing_ = false;
};

}  // namespace seampass::rpc
