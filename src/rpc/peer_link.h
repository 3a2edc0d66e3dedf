// PeerLink is the transport between controllers: it carries Cap'n Proto messages over libuv
// sockets. Each node connects to every other node. It sends on the connections that it has opened,
// and reads from those that it has accepted. The first frame on a connection is the name of the
// node that opened it.
//
// PeerLink owns the listener and all connections. It is an actor that runs on its loop; a message
// that cannot be sent is discarded without an error.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "net/loop.h"
#include "rpc/peer.h"
#include "rpc/peer_connections.h"

namespace seampass::rpc {

class PeerLink : public PeerTransport {
 public:
  PeerLink(net::Loop& loop, std::string self, const std::vector<config::Peer>& peers);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Throws std::runtime_error if the node cannot listen on this address.
  void listen(const std::string& endpoint);
  void send(const std::string& node, const Message& message) override;
  void reset(const std::string& node) override;
  void on_receive(MessageHandler handler) override { handler_ = std::move(handler); }

 private:
  struct Peer {
    std::string endpoint;
    ConnectionPtr<OutgoingConnection> connection;
    net::Ms retry_at = 0;  // no connection is opened before this time
  };
  void connect(Peer& peer);
  void drop_connection(Peer& peer);
  void accept();
  IncomingConnection* add_incoming();

  net::Loop& loop_;
  std::string self_;
  std::map<std::string, Peer> peers_;
  std::unordered_map<IncomingConnection*, ConnectionPtr<IncomingConnection>> incoming_;
  uv_tcp_t* listener_;  // the loop frees it once it is closed
  MessageHandler handler_;
};

}  // namespace seampass::rpc
