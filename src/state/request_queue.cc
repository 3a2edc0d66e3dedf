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

RequestQueue::RequestQueue(net::Runtime& runtime, const RequestRates& rates, Send send)
    : runtime_(runtime),
      send_(std::move(send)),
      request_tokens_(rates.requests_per_s, rates.requests_per_s * kBurstSeconds, runtime.now()),
      write_tokens_(rates.writes_per_s, rates.writes_per_s * kBurstSeconds, runtime.now()),
      reserved_query_tokens_(rates.query_reads_per_s,
                             std::max(kReadsPerQuery, rates.query_reads_per_s * kBurstSeconds),
                             runtime.now()),
      spare_query_tokens_(rates.requests_per_s, rates.requests_per_s * kBurstSeconds,
                          runtime.now()),
      spare_query_rate_(rates.requests_per_s, runtime.now()) {}

RequestQueue::Ticket RequestQueue::add(Urgency urgency, net::Call call, int writes,
                                       net::ReplyFn done) {
  const Ticket ticket = ++last_ticket_;
  Pending pending{std::move(call), writes, std::move(done), ticket};
  // These are sent at once, even if no token is left.
  if (urgency == Urgency::lease || urgency == Urgency::admitted_query) {
    refill();
    request_tokens_.take(1);
    send_(std::move(pending));
    return ticket;
  }
  level_of(urgency).of(pending.kind()).push_back(std::move(pending));
  send_due();
  return ticket;
}

bool RequestQueue::withdraw(Ticket ticket) {
  for (Level& level : levels_) {
    for (std::deque<Pending>* queue : {&level.reads, &level.writes}) {
      const auto found =
          std::find_if(queue->begin(), queue->end(),
                       [ticket](const Pending& pending) { return pending.ticket == ticket; });
      if (found == queue->end()) continue;
      queue->erase(found);
      return true;
    }
  }
  return false;
}

// Limits the reads for status queries. Without this limit, every poll that the leader cannot answer
// would cause reads, on every controller. The service would then also refuse the writes that accept
// jobs and the reads of the next leader. The reserved rate ensures the opposite: under a load of
// other requests that never ends, a query still has its turn.
bool RequestQueue::admit_query() {
  refill();
  if (!any_waiting() && request_tokens_.has(kReadsPerQuery) &&
      spare_query_tokens_.has(kReadsPerQuery)) {
    spare_query_tokens_.take(kReadsPerQuery);
    return true;
  }
  if (!reserved_query_tokens_.has(kReadsPerQuery)) return false;
  reserved_query_tokens_.take(kReadsPerQuery);
  return true;
}

double RequestQueue::min_queries_per_s() const {
  return reserved_query_tokens_.rate() / kReadsPerQuery;
}

void RequestQueue::on_answer(ServiceAnswer answer) {
  refill();
  spare_query_tokens_.set_rate(spare_query_rate_.on_answer(answer, runtime_.now()));
}

net::Ms RequestQueue::backlog(Urgency urgency) const {
  std::size_t requests = 0;
  int writes = 0;
  // Counts only requests that are as urgent or more urgent: less urgent ones are sent later.
  for (std::size_t level = 0; level <= static_cast<std::size_t>(urgency); ++level) {
    requests += levels_.at(level).reads.size() + levels_.at(level).writes.size();
    for (const Pending& pending : levels_.at(level).writes) writes += pending.writes;
  }
  return net::ms(std::max(static_cast<double>(requests) / request_tokens_.rate(),
                          writes / write_tokens_.rate()));
}

std::size_t RequestQueue::waiting(RequestKind kind) const {
  std::size_t count = 0;
  for (const Level& level : levels_)
    count += kind == RequestKind::read ? level.reads.size() : level.writes.size();
  return count;
}

bool RequestQueue::any_waiting() const {
  return std::any_of(levels_.begin(), levels_.end(),
                     [](const Level& level) { return !level.empty(); });
}

void RequestQueue::refill() {
  const net::Ms now = runtime_.now();
  for (TokenBucket* bucket :
       {&request_tokens_, &write_tokens_, &reserved_query_tokens_, &spare_query_tokens_})
    bucket->refill(now);
}

void RequestQueue::send_due() {
  refill();
  while (std::deque<Pending>* queue = next_queue()) {
    Pending pending = std::move(queue->front());
    queue->pop_front();
    request_tokens_.take(1);
    write_tokens_.take(pending.writes);
    send_(std::move(pending));
  }
  if (any_waiting()) schedule_send();
}

// A write that waits for the rate of changes holds up less urgent writes, but no reads.
std::deque<RequestQueue::Pending>* RequestQueue::next_queue() {
  if (!request_tokens_.has(1)) return nullptr;
  const bool may_write = write_tokens_.has(1);
  for (Level& level : levels_) {
    const bool has_write = may_write && !level.writes.empty();
    const bool has_read = !level.reads.empty();
    if (has_read && (!has_write || level.reads.front().ticket < level.writes.front().ticket))
      return &level.reads;
    if (has_write) return &level.writes;
  }
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
