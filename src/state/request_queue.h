// RequestQueue paces a controller's requests to the state service. Requests wait in it until the
// rates allow them to be sent. The most urgent requests are sent first, and requests of the same
// urgency in the order in which they were added, except that reads do not wait for the rate of
// changes. Status queries have a rate of their own, which no other request uses. It owns the
// waiting requests and the rates, and runs on the loop's thread; state::Client is its only caller.
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
// Requests of the first two are sent at once: those that keep the leader's lease, and the reads of
// a status query that admit_query() has admitted.
enum class Urgency { lease, admitted_query, final_status, assignment, progress };

enum class RequestKind { read, write };

// A controller's share of the state service's limits, which all controllers draw on.
struct RequestRates {
  double requests_per_s = 0;
  double writes_per_s = 0;       // changed keys
  double query_reads_per_s = 0;  // reserved for the reads of status queries
};

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

  // The queue calls `send` for each request when the rates allow it.
  RequestQueue(net::Runtime& runtime, const RequestRates& rates, Send send);

  // Adds a request and sends the requests that the rates allow now. `writes`: the number of keys
  // that the request changes, 0 for a read. A request that keeps the leader's lease
  // (Urgency::lease) is sent at once, because leadership would be lost if it waited behind other
  // requests.
  Ticket add(Urgency urgency, net::Call call, int writes, net::ReplyFn done);
  // Removes a request that still waits; its `done` is never called. Returns false if the request no
  // longer waits.
  [[nodiscard]] bool withdraw(Ticket ticket);
  // Returns true if the reads that answer one status query may be sent now, and counts them against
  // the rates of status queries. Whatever waits, queries have their reserved rate; while no request
  // waits they may use more, as long as the service does not refuse requests.
  [[nodiscard]] bool admit_query();
  // The rate of status queries that are admitted whatever else is requested.
  [[nodiscard]] double min_queries_per_s() const;
  // Adjusts the rate of status queries after the service has accepted or refused a request.
  void on_answer(ServiceAnswer answer);

  // How long, in ms, a request of this urgency would wait if it were added now.
  [[nodiscard]] net::Ms backlog(Urgency urgency) const;
  // The number of requests of this kind that wait.
  [[nodiscard]] std::size_t waiting(RequestKind kind) const;

 private:
  static constexpr std::size_t kUrgencyLevels = 5;

  // The waiting requests of one urgency.
  struct Level {
    std::deque<Pending> reads, writes;

    [[nodiscard]] bool empty() const { return reads.empty() && writes.empty(); }
    [[nodiscard]] std::deque<Pending>& of(RequestKind kind) {
      return kind == RequestKind::read ? reads : writes;
    }
  };

  [[nodiscard]] Level& level_of(Urgency urgency) {
    return levels_.at(static_cast<std::size_t>(urgency));
  }
  [[nodiscard]] bool any_waiting() const;
  void refill();
  void send_due();
  // The queue whose front is sent next; null if the rates allow none to be sent now.
  [[nodiscard]] std::deque<Pending>* next_queue();
  void schedule_send();

  net::Runtime& runtime_;
  Send send_;
  TokenBucket request_tokens_;
  TokenBucket write_tokens_;           // one per changed key
  TokenBucket reserved_query_tokens_;  // for the reads of status queries, whatever waits
  TokenBucket spare_query_tokens_;     // for the reads of status queries while nothing waits
  AdaptiveRate spare_query_rate_;
  std::array<Level, kUrgencyLevels> levels_;  // indexed by Urgency
  bool send_scheduled_ = false;
  Ticket last_ticket_ = 0;
};

}  // namespace seampass::state
