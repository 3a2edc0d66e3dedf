// Messages between simulated nodes of the service.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "fakes/sim_net.h"
#include "rpc/peer.h"

namespace seampass::fakes {

// The peer transport of one node. It is in the registry for as long as it exists, so a message to a
// killed node is lost.
class SimPeers : public rpc::PeerTransport {
 public:
  using Registry = std::map<std::string, SimPeers*>;
  // `production` names the nodes that run the version in production. That version neither sends nor
  // reads a version number, so messages from or to these nodes arrive without one.
  SimPeers(SimNet& net, Registry& registry, std::string self,
           const std::set<std::string>& production)
      : net_(net), registry_(registry), self_(std::move(self)), production_(production) {
    registry_[self_] = this;
  }
  SimPeers(const SimPeers&) = delete;
  SimPeers& operator=(const SimPeers&) = delete;
  ~SimPeers() override { registry_.erase(self_); }

  void send(const std::string& node, const rpc::Message& message) override {
    if (!net_.passes_between_peers(self_, node)) return;
    const rpc::PeerVersion version = production_.contains(self_) || production_.contains(node)
                                         ? rpc::kVersionUnstated
                                         : rpc::kOwnVersion;
    net_.time().after(net_.latency(),
                      [&registry = registry_, from = self_, node, message, version] {
                        deliver(registry, from, node, message, version);
                      });
  }
  void reset(const std::string& /*node*/) override {}
  // Delivers a message to `node` immediately, with `from` as the sender. Tests also call it with
  // messages that no node is sending, as a stalled connection may deliver an old message late.
  static void deliver(const Registry& registry, const std::string& from, const std::string& node,
                      const rpc::Message& message, rpc::PeerVersion version = rpc::kOwnVersion) {
    const auto it = registry.find(node);
    if (it != registry.end() && it->second->handler_)
      it->second->handler_(from, {version, message});
  }
  void on_receive(rpc::MessageHandler handler) override { handler_ = std::move(handler); }

 private:
  SimNet& net_;
  Registry& registry_;
  std::string self_;
  const std::set<std::string>& production_;
  rpc::MessageHandler handler_;
};

}  // namespace seampass::fakes
