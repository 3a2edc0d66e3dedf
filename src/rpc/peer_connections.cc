#include "rpc/peer_connections.h"

#include <stdexcept>
#include <utility>

namespace seampass::rpc {
namespace {

// Maximum number of bytes that wait to be sent on one connection.
constexpr std::size_t kMaxQueuedBytes = 1U << 20;
// Size of the buffer for a connection on which the peer should send nothing.
constexpr std::size_t kDiscardBufferBytes = 64;

// A write that libuv has not completed. Both members must live until then.
struct WriteRequest {
  uv_write_t request{};
  std::string data;
};

}  // namespace

OutgoingConnection::OutgoingConnection(net::Loop& loop, std::string first_frame,
                                       std::function<void()> on_failed)
    : on_failed_(std::move(on_failed)), queued_(std::move(first_frame)) {
  uv_tcp_init(loop.raw(), &tcp_);
  uv_tcp_nodelay(&tcp_, 1);
  tcp_.data = this;
  connect_request_.data = this;
}

void OutgoingConnection::connect(const std::string& endpoint) {
  const sockaddr_in address = net::parse_endpoint(endpoint);
  const int error =
      uv_tcp_connect(&connect_request_, &tcp_, reinterpret_cast<const sockaddr*>(&address),
                     [](uv_connect_t* request, int status) {
                       static_cast<OutgoingConnection*>(request->data)->on_connected(status);
                     });
  if (error != 0) on_failed_();
}

void OutgoingConnection::on_connected(int status) {
  if (closing_) return;
  if (status != 0) return on_failed_();
  connected_ = true;
  // The peer sends nothing on this connection. It is read only to detect that it has ended.
  uv_read_start(
      stream(),
      [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
        static std::array<char, kDiscardBufferBytes> discarded;
        *buffer = uv_buf_init(discarded.data(), discarded.size());
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t*) {
        if (size < 0) static_cast<OutgoingConnection*>(stream->data)->on_failed_();
      });
  write(std::exchange(queued_, {}));
}

void OutgoingConnection::send(std::string frame) {
  if (connected_) return write(std::move(frame));
  if (queued_.size() < kMaxQueuedBytes) queued_ += frame;
}

void OutgoingConnection::write(std::string data) {
  if (uv_stream_get_write_queue_size(stream()) > kMaxQueuedBytes) return on_failed_();
  auto write = std::make_unique<WriteRequest>();
  write->data = std::move(data);
  write->request.data = write.get();
  const uv_buf_t buffer =
      uv_buf_init(write->data.data(), static_cast<unsigned>(write->data.size()));
  const int error = uv_write(&write->request, stream(), &buffer, 1, [](uv_write_t* request, int) {
    const std::unique_ptr<WriteRequest> written(static_cast<WriteRequest*>(request->data));
  });
  if (error != 0) return on_failed_();
  (void)write.release();  // the callback above frees it
}

void OutgoingConnection::close() {
  closing_ = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp_),
           [](uv_handle_t* handle) { delete static_cast<OutgoingConnection*>(handle->data); });
}

IncomingConnection::IncomingConnection(net::Loop& loop, Callbacks callbacks)
    : callbacks_(std::move(callbacks)) {
  uv_tcp_init(loop.raw(), &tcp_);
  tcp_.data = this;
}

bool IncomingConnection::accept(uv_stream_t* listener) {
  return uv_accept(listener, stream()) == 0;
}

void IncomingConnection::start_reading() {
  uv_read_start(
      stream(),
      [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
        auto& bytes = static_cast<IncomingConnection*>(handle->data)->buffer_;
        *buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
      },
      [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
        auto* connection = static_cast<IncomingConnection*>(stream->data);
        if (size < 0) return connection->callbacks_.on_failed(connection);
        if (size > 0) connection->on_read({buffer->base, static_cast<std::size_t>(size)});
      });
}

void IncomingConnection::on_read(std::string_view bytes) {
  frames_.append(bytes);
  try {
    // Handling a frame may close this connection.
    while (!closing_) {
      const auto payload = frames_.next();
      if (!payload) return;
      on_frame(*payload);
    }
  } catch (const std::runtime_error&) {
    if (!closing_) callbacks_.on_failed(this);
  }
}

void IncomingConnection::on_frame(std::string_view payload) {
  if (!node_.empty()) return callbacks_.on_payload(node_, payload);
  node_ = payload;
  if (!callbacks_.on_peer_name(node_)) callbacks_.on_failed(this);
}

void IncomingConnection::close() {
  closing_ = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp_),
           [](uv_handle_t* handle) { delete static_cast<IncomingConnection*>(handle->data); });
}

}  // namespace seampass::rpc
