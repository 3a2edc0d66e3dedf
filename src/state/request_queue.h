// RequestQueue paces a controller's requests to the state service. Requests wait in it until the
// rates allow them to be sent. The most urgent requests are sent first, and requests of the same
// urgency in the order in which they were added. It owns the waiting requests and the rates, and
// runs on the loop's thread; state::Client is its only caller.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "net/runtime.h"
#include "state/rate_limiter.h"

namespace seampass::state {

// How urgent a request is, the most urgent first: the order follows the harm that a delay does.
enum class Urgency { lease, final_status, assignment, progress };

enum class RequestKind { read, write };

class RequestQueue {
 public:
  // Identifies a request while it waits in the queue.
  using Ticket = std::uint64_t;

  struct Pending {
    net::Call call;
    int writes = 0;  // number of keys that it changes
    net::ReplyFn done;
    Ticket ticket = 0;

    [[nodiscard]] RequestKind kind() const {
      return writes > 0 ? RequestKind::write : RequestKind::read;
    }
  };
  using Send = std::function<void(Pending)>;

  // The rates are this controller's share of the service's limits, which all controllers draw on:
  // `writes_per_second` counts changed keys. The queue calls `send` for each request when the rates
  // allow it.
  RequestQueue(net::Runtime& runtime, double requests_per_second, double writes_per_second,
               Send send);

  // Adds a request and sends the requests that the rates allow now. `writes`: the number of keys
  // that the request changes, 0 for a read. A request that keeps the leader's lease
  // (Urgency::lease) is sent at once, because leadership would be lost if it waited behind other
  // requests.
  Ticket add(Urgency urgency, net::Call call, int writes, net::ReplyFn done);
  // Removes a request that still waits; its `done` is never called. Returns false if the request no
  // longer waits.
  [[nodiscard]] bool withdraw(Ticket ticket);
  // Returns true if the reads that answer one status query may be sent now, and counts them against
  // the rate of status queries. Returns false while any request waits.
  [[nodiscard]] bool admit_query();
  // Adjusts the rate of status queries after the service has accepted or refused a request.
  void on_answer(ServiceAnswer answer);

  // How long, in ms, a request of this urgency would wait if it were added now.
  [[nodiscard]] net::Ms backlog(Urgency urgency) const;
  // The number of requests of this kind that wait.
  [[nodiscard]] std::size_t waiting(RequestKind kind) const;

 private:
  static constexpr std::size_t kUrgencyLevels = 4;

  void refill();
  void send_due();
  // The queue of the most urgent waiting requests, whose front is sent next; null if none waits.
  [[nodiscard]] std::deque<Pending>* most_urgent_queue();
  void schedule_send();

  net::Runtime& runtime_;
  Send send_;
  TokenBucket request_tokens_;
  TokenBucket write_tokens_;  // one per changed key
  TokenBucket query_tokens_;  // for the reads of status queries
  AdaptiveRate query_rate_;
  std::array<std::deque<Pending>, kUrgencyLevels> queues_;  // indexed by Urgency
  bool send_scheduled_ = false;
  Ticket last_ticket_ = 0;
};

}  // namespace seampass::state
