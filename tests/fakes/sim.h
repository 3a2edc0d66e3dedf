// Simulated time and a simulated network. Faults are decided by a rule that the test sets.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "net/http_server.h"
#include "net/runtime.h"
#include "rpc/peer.h"

namespace seampass::fakes {

using net::Ms;

class SimTime : public net::Runtime {
 public:
  Ms now() const override { return now_; }
  Ms wall() const override { return 1'700'000'000'000 + now_; }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    const net::TimerId id = next_++;
    queue_.emplace(std::make_pair(now_ + std::max<Ms>(0, delay), id), std::move(then));
    due_[id] = now_ + std::max<Ms>(0, delay);
    return id;
  }
  void cancel(net::TimerId id) override {
    const auto it = due_.find(id);
    if (it == due_.end()) return;
    queue_.erase({it->second, id});
    due_.erase(it);
  }
  void run_until(Ms end) {
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      due_.erase(node.key().second);
      node.mapped()();
    }
    now_ = end;
  }
  void run_for(Ms d) { run_until(now_ + d); }

 private:
  Ms now_ = 0;
  net::TimerId next_ = 1;
  std::map<std::pair<Ms, net::TimerId>, std::function<void()>> queue_;
  std::map<net::TimerId, Ms> due_;
};

// A process's view of time: what it had planned does not happen once it was killed.
class Process : public net::Runtime {
 public:
  explicit Process(SimTime& time) : time_(time), alive_(std::make_shared<bool>(true)) {}
  ~Process() override { *alive_ = false; }
  Ms now() const override { return time_.now(); }
  Ms wall() const override { return time_.wall(); }
  net::TimerId after(Ms delay, std::function<void()> then) override {
    return time_.after(delay + lag, [alive = alive_, then = std::move(then)] {
      if (*alive) then();
    });
  }
  void cancel(net::TimerId id) override { time_.cancel(id); }
  std::shared_ptr<bool> alive() const { return alive_; }

  Ms lag = 0;  // of a process with more to do than it can: every timer comes so late

 private:
  SimTime& time_;
  std::shared_ptr<bool> alive_;
};

// What becomes of one message. `late`: the sender gets no answer, the receiver gets it after so
// long.
struct Delivery {
  bool refuse = false;              // certainly not sent
  int status = 0;                   // not 0: answered with this, not executed
  bool lose_answer = false;         // executed, but the answer never comes
  bool never = false;               // lost on its way, and so is every answer
  std::optional<Ms> slow;           // arrives only after so long, and is answered then
  std::optional<std::string> body;  // instead of the answer's
  std::optional<Ms> late;
  std::optional<Ms> copy;  // comes once more after so long; nobody hears the answer to that
};

using Rule = std::function<Delivery(const std::string& from, const net::Call& call)>;
using Service = std::function<void(const net::Request&, net::Answer)>;

class SimNet {
 public:
  SimNet(SimTime& time, unsigned seed) : time_(time), random_(seed) {}

  // one_life: whatever was on its way to an earlier life of the service does not reach the next
  // one, which knows nothing of that connection.
  void serve(const std::string& endpoint, Service service, bool one_life = false) {
    if (one_life) ++lives_[endpoint];
    services_[endpoint] = std::move(service);
  }
  void silence(const std::string& endpoint) { services_.erase(endpoint); }
  void set_rule(Rule rule) { rule_ = std::move(rule); }
  void set_peer_rule(std::function<bool(const std::string&, const std::string&)> passes) {
    passes_ = std::move(passes);
  }
  bool peers_pass(const std::string& a, const std::string& b) const {
    return !passes_ || passes_(a, b);
  }
  Ms latency() { return 1 + static_cast<Ms>(random_() % 8); }
  SimTime& time() { return time_; }

  void call(const std::string& from, std::shared_ptr<bool> alive, net::Call call,
            net::ReplyFn done) {
    const Delivery fate = rule_ ? rule_(from, call) : Delivery{};
    if (fate.refuse) {
      time_.after(latency(), [alive, done] {
        if (*alive) done({net::Reply::Fate::not_sent, 0, {}});
      });
      return;
    }
    if (fate.status != 0) {
      time_.after(latency(), [alive, done, status = fate.status] {
        if (*alive) done({net::Reply::Fate::answered, status, "{}"});
      });
      return;
    }
    const auto answered = std::make_shared<bool>(false);
    time_.after(call.timeout, [alive, done, answered] {
      if (*answered || !*alive) return;
      *answered = true;
      done({net::Reply::Fate::unknown, 0, {}});
    });
    if (fate.never) return;
    const int life = lives_[call.endpoint];
    if (fate.copy)
      time_.after(*fate.copy, [this, call, life] {
        const auto it = services_.find(call.endpoint);
        if (it != services_.end() && lives_[call.endpoint] == life)
          it->second({call.method, call.path, call.body}, [](net::Response) {});
      });
    const bool deaf = fate.lose_answer || fate.late.has_value();
    time_.after(fate.late.value_or(fate.slow.value_or(latency())),
                [this, alive, call, done, answered, deaf, life, body = fate.body] {
                  const auto it = services_.find(call.endpoint);
                  if (it == services_.end() || lives_[call.endpoint] != life) return;
                  it->second({call.method, call.path, call.body},
                             [this, alive, done, answered, deaf, body](net::Response r) {
                               if (deaf) return;
                               if (body) r.body = *body;
                               time_.after(latency(), [alive, done, answered, r] {
                                 if (*answered || !*alive) return;
                                 *answered = true;
                                 done({net::Reply::Fate::answered, r.status, r.body});
                               });
                             });
                });
  }

 private:
  SimTime& time_;
  std::mt19937 random_;
  std::map<std::string, Service> services_;
  std::map<std::string, int> lives_;
  Rule rule_;
  std::function<bool(const std::string&, const std::string&)> passes_;
};

class SimCaller : public net::HttpCaller {
 public:
  SimCaller(SimNet& net, std::string from, std::shared_ptr<bool> alive)
      : net_(net), from_(std::move(from)), alive_(std::move(alive)) {}
  void call(net::Call call, net::ReplyFn done) override {
    net_.call(from_, alive_, std::move(call), std::move(done));
  }

 private:
  SimNet& net_;
  std::string from_;
  std::shared_ptr<bool> alive_;
};

// Peer messages between simulated nodes.
class SimPeers : public rpc::PeerTransport {
 public:
  using Registry = std::map<std::string, SimPeers*>;
  // `production`: the nodes whose messages say no version, and that read none, as those of the
  // version in production.
  SimPeers(SimNet& net, Registry& registry, std::string self,
           const std::set<std::string>& production)
      : net_(net), registry_(registry), self_(std::move(self)), production_(production) {
    registry_[self_] = this;
  }
  ~SimPeers() override { registry_.erase(self_); }
  void send(const std::string& node, const rpc::Message& message) override {
    if (!net_.peers_pass(self_, node)) return;
    const rpc::PeerVersion version = production_.contains(self_) || production_.contains(node)
                                         ? rpc::kVersionUnsaid
                                         : rpc::kOwnVersion;
    net_.time().after(net_.latency(),
                      [&registry = registry_, from = self_, node, message, version] {
                        deliver(registry, from, node, message, version);
                      });
  }
  void reset(const std::string&) override {}
  // What a held-back connection may bring: a message that nobody sends now.
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
