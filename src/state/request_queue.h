// Paces what a controller asks of the state service: requests wait here until the rates allow them,
// the most urgent first, in the order in which they came. Owns the waiting requests and the rates;
// state::Client is its only caller.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

#include "net/runtime.h"
#include "state/rate_limiter.h"

namespace seampass::state {

// In order of danger when late.
enum class Urgency { lease, final_status, assignment, progress };

enum class RequestKind { read, write };

class RequestQueue {
 public:
  // A name for the request while it waits for its turn.
  using Ticket = std::uint64_t;

  struct Pending {
    net::Call call;
    int writes = 0;  // keys that it changes
    net::ReplyFn done;
    Ticket ticket = 0;

    [[nodiscard]] RequestKind kind() const {
      return writes > 0 ? RequestKind::write : RequestKind::read;
    }
  };
  using Send = std::function<void(Pending)>;

  // Requests and changed keys a second: this controller's share of the service's limits, which all
  // controllers draw on. `send` is called for each request once its turn has come.
  RequestQueue(net::Runtime& runtime, double requests_per_second, double writes_per_second,
               Send send);

  // Sends at once what may be sent. What keeps the leadership alive (Urgency::lease) never waits
  // behind other work.
  Ticket add(Urgency urgency, net::Call call, int writes, net::ReplyFn done);
  // Forgets a request that was not sent yet: `done` is not called. False if it is too late.
  [[nodiscard]] bool withdraw(Ticket ticket);
  // Takes the reads that answer one status query out of what the rest leaves, if there is enough.
  [[nodiscard]] bool admit_query();
  // The service has answered a request, or refused it: sets the rate of status queries.
  void on_answer(ServiceAnswer answer);

  // How long, in ms, a request of this urgency would wait for its turn now.
  [[nodiscard]] net::Ms backlog(Urgency urgency) const;
  // Requests that wait for their turn.
  [[nodiscard]] std::size_t waiting(RequestKind kind) const;

 private:
  static constexpr std::size_t kUrgencies = 4;

  void refill();
  void send_due();
  // What to send next, the most urgent first; none if nothing waits.
  [[nodiscard]] std::deque<Pending>* next_queue();
  void schedule_send();

  net::Runtime& runtime_;
  Send send_;
  TokenBucket requests_;
  TokenBucket writes_;
  TokenBucket queries_;  // reads for status queries
  AdaptiveRate query_rate_;
  std::array<std::deque<Pending>, kUrgencies> queues_;  // by urgency
  bool send_scheduled_ = false;
  Ticket last_ticket_ = 0;
};

}  // namespace seampass::state
