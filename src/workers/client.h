// Requests sent straight to workers: so many at a time, the rest in their order.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::workers {

enum class Sent {
  executed,  // 200
  rejected,  // 409: nothing executed, and a copy would be rejected as well
  not_sent,
  unknown,  // may be executed late, while token and incarnation still match
};

class Client {
 public:
  using Done = std::function<void(Sent, std::optional<wire::Heartbeat>)>;
  using Inspected = std::function<void(std::optional<wire::Heartbeat>)>;

  // most: messages on their way at once, each of which may need a socket.
  Client(net::HttpCaller& http, net::Ms timeout, std::size_t most)
      : http_(http), timeout_(timeout), most_(most) {}

  void send(const std::string& addr, std::uint64_t token, std::uint64_t incarnation,
            const std::vector<wire::Command>& commands, Done done);
  // Reads what is on the worker now; nothing if it does not answer.
  void inspect(const std::string& addr, Inspected done);
  // Drops what has not left yet; its askers hear nothing.
  void drop_queued() { queue_.clear(); }

 private:
  void enqueue(net::Call call, net::ReplyFn done);
  void dispatch(net::Call call, net::ReplyFn done);

  net::HttpCaller& http_;
  net::Ms timeout_;
  std::size_t most_, sent_ = 0;
  std::deque<std::pair<net::Call, net::ReplyFn>> queue_;
};

}  // namespace seampass::workers
