#include "state/request_queue.h"

#include <algorithm>
#include <utility>

namespace seampass::state {

namespace {

// Seconds' worth of requests that may be made in one burst. The service allows bursts of a second,
// and the other controllers draw on the same limits.
constexpr double kBurstSeconds = 0.5;
// A job is looked up under at most two keys.
constexpr double kReadsPerQuery = 2;

}  // namespace

RequestQueue::RequestQueue(net::Runtime& runtime, double requests_per_second,
                           double writes_per_second, Send send)
    : runtime_(runtime),
      send_(std::move(send)),
      requests_(requests_per_second, requests_per_second * kBurstSeconds, runtime.now()),
      writes_(writes_per_second, writes_per_second * kBurstSeconds, runtime.now()),
      queries_(requests_per_second, requests_per_second * kBurstSeconds, runtime.now()),
      query_rate_(requests_per_second, runtime.now()) {}

RequestQueue::Ticket RequestQueue::add(Urgency urgency, net::Call call, int writes,
                                       net::ReplyFn done) {
  const Ticket ticket = ++last_ticket_;
  Pending pending{std::move(call), writes, std::move(done), ticket};
  if (urgency == Urgency::lease) {
    refill();
    requests_.take(1);
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

// Without this bound every poll that the leader can't answer becomes reads, on every controller:
// the service then refuses acceptances and the next leader's reads with them.
bool RequestQueue::admit_query() {
  refill();
  if (next_queue() != nullptr || !requests_.has(kReadsPerQuery) || !queries_.has(kReadsPerQuery))
    return false;
  queries_.take(kReadsPerQuery);
  return true;
}

void RequestQueue::on_answer(ServiceAnswer answer) {
  refill();
  queries_.set_rate(query_rate_.on_answer(answer, runtime_.now()));
}

net::Ms RequestQueue::backlog(Urgency urgency) const {
  std::size_t requests = 0;
  int writes = 0;
  // What is less urgent waits for it, and not the other way round.
  for (std::size_t level = 0; level <= static_cast<std::size_t>(urgency); ++level) {
    for (const Pending& pending : queues_.at(level)) {
      ++requests;
      writes += pending.writes;
    }
  }
  return net::ms(
      std::max(static_cast<double>(requests) / requests_.rate(), writes / writes_.rate()));
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
  for (TokenBucket* bucket : {&requests_, &writes_, &queries_}) bucket->refill(now);
}

void RequestQueue::send_due() {
  refill();
  while (std::deque<Pending>* queue = next_queue()) {
    const bool allowed =
        requests_.has(1) && (queue->front().kind() == RequestKind::read || writes_.has(1));
    if (!allowed) return schedule_send();
    Pending pending = std::move(queue->front());
    queue->pop_front();
    requests_.take(1);
    writes_.take(pending.writes);
    send_(std::move(pending));
  }
}

std::deque<RequestQueue::Pending>* RequestQueue::next_queue() {
  for (auto& queue : queues_)
    if (!queue.empty()) return &queue;
  return nullptr;
}

void RequestQueue::schedule_send() {
  if (std::exchange(send_scheduled_, true)) return;
  runtime_.after(net::ms(1 / writes_.rate()), [this] {
    send_scheduled_ = false;
    send_due();
  });
}

}  // namespace seampass::state
