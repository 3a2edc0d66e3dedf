// Client sends requests from the leader to workers over HTTP. It has a limited number of requests
// in flight at a time; the others wait in a queue, first in, first out.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::workers {

// The outcome of send().
enum class CommandResult {
  executed,  // status 200: the worker executed the commands
  rejected,  // status 409: the worker executed nothing, and it also rejects a late copy of the
             // request
  not_sent,  // the worker never receives the commands
  unknown,   // the worker may have executed the commands, or may still execute them for as long as
             // it accepts their token and incarnation
};

class Client {
 public:
  using Done = std::function<void(CommandResult, std::optional<wire::Heartbeat>)>;
  using InspectDone = std::function<void(std::optional<wire::Heartbeat>)>;

  // `max_in_flight` is the maximum number of requests in flight. It limits the number of open
  // sockets, because each request in flight may need its own.
  Client(net::HttpCaller& http, net::Ms timeout, std::size_t max_in_flight)
      : http_(http), timeout_(timeout), max_in_flight_(max_in_flight) {}

  // Sends commands to the worker at `addr`. `token` is the leader's epoch.
  // The worker rejects the commands if it has seen a higher token or if `incarnation` is not its
  // current one, so a late copy has no effect once the worker has restarted or has seen a newer
  // leader. `done` receives the worker's heartbeat if a reply with status 200 or 409 contains a
  // valid one.
  void send(const std::string& addr, std::uint64_t token, std::uint64_t incarnation,
            const std::vector<wire::Command>& commands, Done done);
  // Asks the worker for a heartbeat that shows its present state. `done` receives none if the
  // worker does not answer or its answer is malformed.
  void inspect(const std::string& addr, InspectDone done);
  // Discards the requests that have not been sent yet. Their callbacks are never called.
  void drop_queued() { queue_.clear(); }

 private:
  void enqueue(net::Call call, net::ReplyFn done);
  void dispatch(net::Call call, net::ReplyFn done);

  net::HttpCaller& http_;
  net::Ms timeout_;
  std::size_t max_in_flight_, in_flight_ = 0;
  std::deque<std::pair<net::Call, net::ReplyFn>> queue_;
};

}  // namespace seampass::workers
