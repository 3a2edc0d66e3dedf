#include "rpc/peer_link.h"

#include <stdexcept>
#include <utility>

#include "rpc/peer_codec.h"

namespace seampass::rpc {
namespace {

constexpr std::size_t kMaxIncomingConnections = 64;
constexpr int kListenBacklog = 16;
// Time in ms from the end of a connection to the next attempt to connect.
constexpr net::Ms kReconnectDelay = 250;

}  // namespace

PeerLink::PeerLink(net::Loop& loop, std::string self, const std::vector<config::Peer>& peers)
    : loop_(loop), self_(std::move(self)), listener_(new uv_tcp_t) {
  for (const config::Peer& peer : peers) peers_[peer.node].endpoint = peer.endpoint;
  uv_tcp_init(loop_.raw(), listener_);
  listener_->data = this;
}

PeerLink::~PeerLink() {
  peers_.clear();
  incoming_.clear();
  uv_close(reinterpret_cast<uv_handle_t*>(listener_),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
  uv_run(loop_.raw(), UV_RUN_NOWAIT);  // lets the loop free the handles that were closed above
}

void PeerLink::listen(const std::string& endpoint) {
  const sockaddr_in address = net::parse_endpoint(endpoint);
  int error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
  if (error == 0)
    error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), kListenBacklog,
                      [](uv_stream_t* listener, int status) {
                        if (status == 0) static_cast<PeerLink*>(listener->data)->accept();
                      });
  if (error != 0)
    throw std::runtime_error("cannot listen on " + endpoint + ": " + uv_strerror(error));
}

void PeerLink::accept() {
  IncomingConnection* connection = add_incoming();
  if (!connection->accept(reinterpret_cast<uv_stream_t*>(listener_)) ||
      incoming_.size() > kMaxIncomingConnections) {
    incoming_.erase(connection);
    return;
  }
  connection->start_reading();
}

IncomingConnection* PeerLink::add_incoming() {
  auto* connection = new IncomingConnection(
      loop_, {.on_peer_name = [this](const std::string& node) { return peers_.contains(node); },
              .on_payload =
                  [this](const std::string& node, std::string_view payload) {
                    const Envelope envelope = decode(payload);
                    if (handler_) handler_(node, envelope);
                  },
              .on_failed = [this](IncomingConnection* failed) { incoming_.erase(failed); }});
  incoming_.emplace(connection, connection);
  return connection;
}

void PeerLink::connect(Peer& peer) {
  if (loop_.now() < peer.retry_at) return;
  peer.connection.reset(
      new OutgoingConnection(loop_, encode_frame(self_), [this, &peer] { drop_connection(peer); }));
  peer.connection->connect(peer.endpoint);
}

void PeerLink::drop_connection(Peer& peer) {
  peer.connection.reset();
  peer.retry_at = loop_.now() + kReconnectDelay;
}

void PeerLink::send(const std::string& node, const Message& message) {
  const auto it = peers_.find(node);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  if (!peer.connection) connect(peer);
  if (peer.connection) peer.connection->send(encode_frame(encode(message)));
}

void PeerLink::reset(const std::string& node) {
  const auto it = peers_.find(node);
  if (it != peers_.end() && it->second.connection) drop_connection(it->second);
}

}  // namespace seampass::rpc
