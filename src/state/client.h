// The actor that speaks to the state service, a consensus-backed key-value store: it paces requests
// (request_queue.h), sends them, and tells their outcomes apart (protocol.h). It repeats nothing by
// itself, since only the caller knows what a repeat would mean. All parts of a controller share
// one, on the loop's thread; callbacks run on that thread, in general after the call has returned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "net/runtime.h"
#include "state/protocol.h"
#include "state/request_queue.h"

namespace seampass::state {

// What was asked of the service since this process began, and what became of it.
struct Counters {
  std::uint64_t reads = 0, writes = 0, refused = 0, unknown = 0;
};

class Client {
 public:
  using Ticket = RequestQueue::Ticket;

  // `rps`, `write_rps`: requests and changed keys a second, this controller's share of the
  // service's limits. `timeout`: ms for which an ordinary answer is waited for.
  Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
         double write_rps, net::Ms timeout);

  void get(const std::string& key, std::function<void(GetResult)> done,
           Urgency urgency = Urgency::final_status);
  // One page of the keys that begin with `prefix`, from after the key `after`.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  Ticket txn(Txn txn, Urgency urgency, std::function<void(TxnResult)> done);
  // Takes a request back that was not sent yet: `done` is not called. False if it is too late.
  [[nodiscard]] bool withdraw(Ticket ticket) { return queue_.withdraw(ticket); }
  // What happened to the keys that begin with `prefix` after revision `since`; the answer comes
  // with the first events, or without any after `wait` ms.
  void watch(const std::string& prefix, Version since, net::Ms wait,
             std::function<void(WatchResult)> done);
  // `ttl`: ms, from when the service executes the request.
  void grant_lease(net::Ms ttl, std::function<void(LeaseResult)> done);
  void renew_lease(std::uint64_t lease, net::Ms timeout, std::function<void(Outcome)> done);
  void revoke_lease(std::uint64_t lease, std::function<void(Outcome)> done);

  // Whether the reads that answer one status query may be made now. Queries come as often as users
  // ask, so they get what the rest leaves: none while anything waits, and fewer once the service
  // refuses.
  [[nodiscard]] bool admit_query() { return queue_.admit_query(); }

  // How long, in ms, a request of this urgency would wait for its turn now.
  [[nodiscard]] net::Ms backlog(Urgency urgency) const { return queue_.backlog(urgency); }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  // Requests that wait for their turn.
  [[nodiscard]] std::size_t waiting(RequestKind kind) const { return queue_.waiting(kind); }
  // The last few requests all failed, or were refused.
  [[nodiscard]] bool seems_down() const { return consecutive_failures_ >= kFailuresWhenDown; }

 private:
  static constexpr int kFailuresWhenDown = 3;

  Ticket submit(Urgency urgency, Request request, net::Ms timeout, net::ReplyFn done,
                int writes = 0);
  void send(RequestQueue::Pending pending);
  void on_reply(const net::Reply& reply);

  net::HttpCaller& http_;
  std::string endpoint_;
  net::Ms timeout_;
  RequestQueue queue_;
  int consecutive_failures_ = 0;
  Counters counters_;
};

}  // namespace seampass::state
