#include "state/request_queue.h"

#include <algorithm>
#include <utility>

namespace seampass::state {

namespace {

// Size of a burst, in seconds of the average rate. The service allows bursts of one second of its
// rate; this is less because the other controllers draw on the same limits.
constexpr double kBurstSeconds = 0.5;
// Answering a status query takes at most two reads, because a job is looked up under at most two
// keys.
constexpr double kReadsPerQuery = 2;

}  // namespace

RequestQueue::RequestQueue(net::Runtime& runtime, double requests_per_second,
                           double writes_per_second, Send send)
    : runtime_(runtime),
      send_(std::move(send)),
      request_tokens_(requests_per_second, requests_per_second * kBurstSeconds, runtime.now()),
      write_tokens_(writes_per_second, writes_per_second * kBurstSeconds, runtime.now()),
      query_tokens_(requests_per_second, requests_per_second * kBurstSeconds, runtime.now()),
      query_rate_(requests_per_second, runtime.now()) {}

RequestQueue::Ticket RequestQueue::add(Urgency urgency, net::Call call, int writes,
                                       net::ReplyFn done) {
  const Ticket ticket = ++last_ticket_;
  Pending pending{std::move(call), writes, std::move(done), ticket};
  // Lease requests are sent at once, even if no token is left.
  if (urgency == Urgency::lease) {
    refill();
    request_tokens_.take(1);
    send_(std::move(pending));
    return ticket;
  }
  queues_.at(static_cast<std::size_t>(urgency)).push_back(std::move(pending));
  send_due();
  return ticket;
}

bool RequestQueue::withdraw(Ticket ticket) {
  for (auto& queue : queues_) {
    const auto found = std::find_if(queue.begin(), queue.end(), [ticket](const Pending& pending) {
      return pending.ticket == ticket;
    });
    if (found == queue.end()) continue;
    queue.erase(found);
    return true;
  }
  return false;
}

// Limits the reads for status queries. Without this limit, every poll that the leader cannot answer
// would cause reads, on every controller. The service would then also refuse the writes that accept
// jobs and the reads of the next leader.
bool RequestQueue::admit_query() {
  refill();
  if (most_urgent_queue() != nullptr || !request_tokens_.has(kReadsPerQuery) ||
      !query_tokens_.has(kReadsPerQuery))
    return false;
  query_tokens_.take(kReadsPerQuery);
  return true;
}

void RequestQueue::on_answer(ServiceAnswer answer) {
  refill();
  query_tokens_.set_rate(query_rate_.on_answer(answer, runtime_.now()));
}

net::Ms RequestQueue::backlog(Urgency urgency) const {
  std::size_t requests = 0;
  int writes = 0;
  // Counts only requests that are as urgent or more urgent: less urgent ones are sent later.
  for (std::size_t level = 0; level <= static_cast<std::size_t>(urgency); ++level) {
    for (const Pending& pending : queues_.at(level)) {
      ++requests;
      writes += pending.writes;
    }
  }
  return net::ms(std::max(static_cast<double>(requests) / request_tokens_.rate(),
                          writes / write_tokens_.rate()));
}

std::size_t RequestQueue::waiting(RequestKind kind) const {
  std::size_t count = 0;
  for (const auto& queue : queues_)
    count += static_cast<std::size_t>(
        std::count_if(queue.begin(), queue.end(),
                      [kind](const Pending& pending) { return pending.kind() == kind; }));
  return count;
}

void RequestQueue::refill() {
  const net::Ms now = runtime_.now();
  for (TokenBucket* bucket : {&request_tokens_, &write_tokens_, &query_tokens_})
    bucket->refill(now);
}

void RequestQueue::send_due() {
  refill();
  while (std::deque<Pending>* queue = most_urgent_queue()) {
    const bool allowed = request_tokens_.has(1) &&
                         (queue->front().kind() == RequestKind::read || write_tokens_.has(1));
    if (!allowed) return schedule_send();
    Pending pending = std::move(queue->front());
    queue->pop_front();
    request_tokens_.take(1);
    write_tokens_.take(pending.writes);
    send_(std::move(pending));
  }
}

std::deque<RequestQueue::Pending>* RequestQueue::most_urgent_queue() {
  for (auto& queue : queues_)
    if (!queue.empty()) return &queue;
  return nullptr;
}

void RequestQueue::schedule_send() {
  if (std::exchange(send_scheduled_, true)) return;
  runtime_.after(net::ms(1 / write_tokens_.rate()), [this] {
    send_scheduled_ = false;
    send_due();
  });
}

}  // namespace seampass::state
