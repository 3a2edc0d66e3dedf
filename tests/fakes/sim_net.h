// A simulated network for HTTP requests. A rule set by the test decides whether each request is
// delivered, delayed, lost, repeated or refused. Times are in simulated milliseconds.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "fakes/sim_time.h"
#include "net/http_server.h"
#include "net/runtime.h"

namespace seampass::fakes {

// How the network handles one request. By default the request arrives and its answer returns, each
// after a random latency of 1 to 8 ms.
struct Delivery {
  bool refuse = false;  // the sender gets the result `not_sent` and the request is not executed
  int status = 0;       // if not 0, the request is answered with this status and not executed
  bool lose_answer = false;  // the request is executed, but its answer is lost
  bool drop = false;         // the request is lost: it is neither executed nor answered
  std::optional<Ms> delay;   // the request arrives after this time and is then answered
  // The request arrives after this time and is executed, but its answer is lost.
  std::optional<Ms> delay_without_answer;
  // The request arrives a second time, this long after it was sent. The second answer is lost.
  std::optional<Ms> repeat_after;
  std::optional<std::string> replaced_body;  // the answer gets this body instead of its own
};

using DeliveryRule = std::function<Delivery(const std::string& from, const net::Call& call)>;
using PeerRule = std::function<bool(const std::string& from, const std::string& to)>;
using Service = std::function<void(const net::Request&, net::Answer)>;

// Whether a newly registered service receives requests that were sent to its endpoint before, for
// example before a restart. With `survive_restart` they arrive; with `end_with_service` they are
// lost.
enum class Connections { survive_restart, end_with_service };

// Passes requests to the services registered at endpoints. The seed determines the random latency
// of each request and of each answer.
class SimNet {
 public:
  SimNet(SimTime& time, unsigned seed) : time_(time), random_(seed) {}

  // Registers `service` at the endpoint and replaces the service registered there before, if any.
  void serve(const std::string& endpoint, Service service,
             Connections connections = Connections::survive_restart) {
    if (connections == Connections::end_with_service) ++generations_[endpoint];
    services_[endpoint] = std::move(service);
  }
  // From now on, requests that arrive at the endpoint get no answer.
  void stop_serving(const std::string& endpoint) { services_.erase(endpoint); }
  void set_rule(DeliveryRule rule) { rule_ = std::move(rule); }
  // Sets which messages between peers are delivered, by the names of the sending and the receiving
  // node. Without a rule, all are delivered.
  void set_peer_rule(PeerRule is_delivered) { peer_rule_ = std::move(is_delivered); }
  [[nodiscard]] bool passes_between_peers(const std::string& from, const std::string& to) const {
    return !peer_rule_ || peer_rule_(from, to);
  }
  Ms latency() { return 1 + static_cast<Ms>(random_() % 8); }
  SimTime& time() { return time_; }

  // Calls `done` exactly once, unless the sender has ended by then (`*alive` is false). Without an
  // answer before the call's timeout, the result is `unknown`.
  void call(const std::string& from, const std::shared_ptr<bool>& alive, const net::Call& call,
            const net::ReplyFn& done) {
    const Delivery delivery = rule_ ? rule_(from, call) : Delivery{};
    if (delivery.refuse) return reply_soon(alive, done, {net::Reply::Result::not_sent, 0, {}});
    if (delivery.status != 0)
      return reply_soon(alive, done, {net::Reply::Result::answered, delivery.status, "{}"});
    const net::ReplyFn reply_once = [alive, done,
                                     answered = std::make_shared<bool>(false)](const auto& reply) {
      if (*answered || !*alive) return;
      *answered = true;
      done(reply);
    };
    time_.after(call.timeout, [reply_once] { reply_once({net::Reply::Result::unknown, 0, {}}); });
    if (!delivery.drop) execute(call, delivery, reply_once);
  }

 private:
  void reply_soon(const std::shared_ptr<bool>& alive, const net::ReplyFn& done,
                  const net::Reply& reply) {
    time_.after(latency(), [alive, done, reply] {
      if (*alive) done(reply);
    });
  }

  void execute(const net::Call& call, const Delivery& delivery, const net::ReplyFn& reply_once) {
    const int generation = generations_[call.endpoint];
    if (delivery.repeat_after)
      time_.after(*delivery.repeat_after, [this, call, generation] {
        serve_request(call, generation, [](const net::Response&) {});
      });
    const bool answer_lost = delivery.lose_answer || delivery.delay_without_answer.has_value();
    const Ms arrival = delivery.delay_without_answer.value_or(delivery.delay.value_or(latency()));
    time_.after(arrival, [this, call, generation, reply_once, answer_lost,
                          replaced_body = delivery.replaced_body] {
      serve_request(call, generation,
                    [this, reply_once, answer_lost, replaced_body](net::Response response) {
                      if (answer_lost) return;
                      if (replaced_body) response.body = *replaced_body;
                      time_.after(latency(), [reply_once, response] {
                        reply_once({net::Reply::Result::answered, response.status, response.body});
                      });
                    });
    });
  }

  void serve_request(const net::Call& call, int generation, net::Answer answer) {
    const auto it = services_.find(call.endpoint);
    if (it == services_.end() || generations_[call.endpoint] != generation) return;
    it->second({call.method, call.path, call.body}, std::move(answer));
  }

  SimTime& time_;
  std::mt19937 random_;
  std::map<std::string, Service> services_;
  // How many times each endpoint was registered with Connections::end_with_service. A request is
  // lost if this number changes between its sending and its arrival.
  std::map<std::string, int> generations_;
  DeliveryRule rule_;
  PeerRule peer_rule_;
};

// The HTTP client of one simulated process.
class SimCaller : public net::HttpCaller {
 public:
  SimCaller(SimNet& net, std::string from, std::shared_ptr<bool> alive)
      : net_(net), from_(std::move(from)), alive_(std::move(alive)) {}
  void call(net::Call call, net::ReplyFn done) override { net_.call(from_, alive_, call, done); }

 private:
  SimNet& net_;
  std::string from_;
  std::shared_ptr<bool> alive_;
};

}  // namespace seampass::fakes
