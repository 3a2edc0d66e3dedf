// Cap'n Proto messages over libuv sockets. Each node dials every other; what it dials it sends on,
// what it accepts it reads from. The first message on a connection is the dialler's name.
#pragma once

#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "config/settings.h"
#include "net/loop.h"
#include "rpc/peer.h"

namespace seampass::rpc {

// With the version of this program.
std::string encode(const Message& message);
// Throws std::runtime_error on anything malformed.
Envelope decode(const char* bytes, std::size_t size);

class PeerLink : public PeerTransport {
 public:
  PeerLink(net::Loop& loop, std::string self, const std::vector<config::Peer>& peers);
  ~PeerLink() override;
  void listen(const std::string& endpoint);
  void send(const std::string& node, const Message& message) override;
  void reset(const std::string& node) override;
  void on_receive(Receive receive) override { receive_ = std::move(receive); }

 private:
  struct Out;
  struct In;
  struct Peer {
    std::string endpoint;
    Out* out = nullptr;
    net::Ms retry_at = 0;
  };
  void dial(const std::string& node, Peer& peer);

  net::Loop& loop_;
  std::string self_;
  std::map<std::string, Peer> peers_;
  std::unordered_set<In*> ins_;
  uv_tcp_t* listener_;
  Receive receive_;
};

}  // namespace seampass::rpc
