// Messages between simulated nodes of the service.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "fakes/sim_net.h"
#include "rpc/peer.h"

namespace seampass::fakes {

// The transport of one node: enters itself into the registry for as long as it lives, so that a
// message to a killed node is lost.
class SimPeers : public rpc::PeerTransport {
 public:
  using Registry = std::map<std::string, SimPeers*>;
  // `production` are the nodes that run the version in production: their messages say no version,
  // and they read none.
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
                                         ? rpc::kVersionUnsaid
                                         : rpc::kOwnVersion;
    net_.time().after(net_.latency(),
                      [&registry = registry_, from = self_, node, message, version] {
                        deliver(registry, from, node, message, version);
                      });
  }
  void reset(const std::string& /*node*/) override {}
  // Also for a message that nobody sends now, as a connection that was held up may bring it.
  static void deliver(const Registry& registry, const std::string& from, const std::string& node,
                      const rpc::Message& message, rpc::PeerVersion version = rpc::kOwnVersion) {
    const auto it = registry.find(node);
    if (it != registry.end() && it->second->receive_)
      it->second->receive_(from, {version, message});
  }
  void on_receive(rpc::Receive receive) override { receive_ = std::move(receive); }

 private:
  SimNet& net_;
  Registry& registry_;
  std::string self_;
  const std::set<std::string>& production_;
  rpc::Receive receive_;
};

}  // namespace seampass::fakes
