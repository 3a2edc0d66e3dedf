// Client is the actor that talks to the state service, a consensus-backed key-value store. It owns
// the queue that paces requests (request_queue.h), sends each request over HTTP, and classifies its
// outcome (protocol.h). It never repeats a request, because only the caller knows whether a second
// execution would do harm.
//
// All parts of a controller share one Client and use it on the loop's thread. Callbacks run on that
// thread, in general after the call that passed them has returned. A failed request is reported
// through the outcome that its callback receives. All times are in ms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "net/runtime.h"
#include "state/protocol.h"
#include "state/request_queue.h"

namespace seampass::state {

// Counts since this process started. `reads` are the requests sent that change no key, `writes`
// those that change keys. `refused` are those that the service answered with 429 or 503. `unknown`
// are those that may have been executed although no answer arrived.
struct Counters {
  std::uint64_t reads = 0, writes = 0, refused = 0, unknown = 0;
};

class Client {
 public:
  using Ticket = RequestQueue::Ticket;

  // `timeout`: how long, in ms, the client waits for an ordinary answer.
  Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint,
         const RequestRates& rates, net::Ms timeout);

  void get(const std::string& key, std::function<void(GetResult)> done,
           Urgency urgency = Urgency::final_status);
  // Reads one page of the keys that begin with `prefix`. The page starts behind the key `after`, or
  // at the first key if `after` is empty.
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  // Queues a compare-and-swap. The ticket allows withdraw() until the request is sent.
  Ticket txn(Txn txn, Urgency urgency, std::function<void(TxnResult)> done);
  // Removes a request that still waits in the queue; its `done` is never called. Returns false if
  // the request no longer waits there.
  [[nodiscard]] bool withdraw(Ticket ticket) { return queue_.withdraw(ticket); }
  // Reports the changes made after revision `since` to keys that begin with `prefix`. The service
  // answers when the first events occur, or without events after `wait` ms.
  void watch(const std::string& prefix, Version since, net::Ms wait,
             std::function<void(WatchResult)> done);
  // `ttl`: the lease's duration in ms, which starts when the service executes the request.
  void grant_lease(net::Ms ttl, std::function<void(LeaseResult)> done);
  void renew_lease(std::uint64_t lease, net::Ms timeout, std::function<void(Outcome)> done);
  void revoke_lease(std::uint64_t lease, std::function<void(Outcome)> done);

  // Returns true if the reads that answer one status query may be sent now, with
  // Urgency::admitted_query, and counts them against the rates of status queries. Users decide how
  // often they query, so queries get a small rate of their own, and beyond it only what other
  // requests leave unused: no more while a request waits in the queue, and fewer after the service
  // has refused requests.
  [[nodiscard]] bool admit_query() { return queue_.admit_query(); }
  // The rate of status queries that are admitted whatever else is requested.
  [[nodiscard]] double min_queries_per_s() const { return queue_.min_queries_per_s(); }

  // How long, in ms, a request of this urgency would wait in the queue if it were added now.
  [[nodiscard]] net::Ms backlog(Urgency urgency) const { return queue_.backlog(urgency); }
  [[nodiscard]] const Counters& counters() const { return counters_; }
  // The number of requests of this kind that wait in the queue.
  [[nodiscard]] std::size_t waiting(RequestKind kind) const { return queue_.waiting(kind); }
  // Returns true if each of the last requests (at least kMinFailuresWhenDown) got no answer or was
  // refused with 429 or 503.
  [[nodiscard]] bool seems_down() const { return consecutive_failures_ >= kMinFailuresWhenDown; }

 private:
  static constexpr int kMinFailuresWhenDown = 3;

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
