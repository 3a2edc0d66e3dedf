#include "state/client.h"

#include <algorithm>

namespace seampass::state {

using net::Call;
using net::Ms;
using net::Reply;
using wire::Json;

namespace {

// Seconds' worth of requests that may be made in one burst. The service allows bursts of a second,
// and the other controllers draw on the same limits.
constexpr double kBurstSeconds = 0.5;
// A job is looked up under at most two keys.
constexpr double kReadsPerQuery = 2;

bool is_refusal(const Reply& r) { return r.is(429) || r.is(503); }

Outcome outcome_of(const Reply& r) {
  switch (r.fate) {
    case Reply::Fate::not_sent:
      return Outcome::refused;
    case Reply::Fate::unknown:
      return Outcome::unknown;
    case Reply::Fate::answered:
      break;
  }
  if (r.status == 200) return Outcome::ok;
  if (r.status == 404 || r.status == 410) return Outcome::missing;
  if (r.status == 409) return Outcome::conflict;
  if (r.status == 400) return Outcome::invalid;
  if (is_refusal(r)) return Outcome::refused;
  return Outcome::unknown;
}

// A malformed answer counts as none.
template <typename Result, typename Fill>
Result parsed(const Reply& r, Fill fill) {
  Result result;
  result.outcome = outcome_of(r);
  if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) return result;
  try {
    fill(result, wire::parse_object(r.body));
  } catch (const wire::Malformed&) {
    result = Result{};
  } catch (const Json::exception&) {
    result = Result{};
  }
  return result;
}

Item item_from(const Json& o) {
  Item i;
  i.key = wire::text_field(o, "path");
  i.value = o.at("v");
  i.version = wire::count_field(o, "stamp");
  if (o.contains("permit") && o.at("permit").is_number_unsigned())
    i.lease = o.at("permit").get<std::uint64_t>();
  return i;
}

}  // namespace

Client::Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
               double write_rps, Ms timeout)
    : runtime_(runtime),
      http_(http),
      endpoint_(std::move(endpoint)),
      timeout_(timeout),
      requests_(rps, rps * kBurstSeconds, runtime.now()),
      changes_(write_rps, write_rps * kBurstSeconds, runtime.now()),
      queries_(rps, rps * kBurstSeconds, runtime.now()),
      query_rate_(rps, runtime.now()) {}

void Client::get(const std::string& key, std::function<void(GetResult)> done, Urgency urgency) {
  submit(urgency, Call{endpoint_, "GET", "/keys/" + key, "", timeout_}, 0,
         [done = std::move(done)](const Reply& r) {
           done(parsed<GetResult>(r, [](GetResult& g, const Json& o) { g.item = item_from(o); }));
         });
}

void Client::list(const std::string& prefix, const std::string& after,
                  std::function<void(ListResult)> done) {
  std::string path = "/keys?under=" + prefix + "&most=500";
  if (!after.empty()) path += "&since=" + after;
  submit(Urgency::final_status, Call{endpoint_, "GET", std::move(path), "", 2 * timeout_}, 0,
         [done = std::move(done)](const Reply& r) {
           done(parsed<ListResult>(r, [](ListResult& l, const Json& o) {
             for (const Json& row : o.at("rows")) l.items.push_back(item_from(row));
             l.more = wire::flag_field(o, "has_next");
             l.revision = wire::count_field(o, "ledger_rev");
           }));
         });
}

Client::Ticket Client::txn(Txn txn, Urgency urgency, std::function<void(TxnResult)> done) {
  Json conditions = Json::array();
  Json changes = Json::array();
  for (const Condition& c : txn.conditions)
    conditions.push_back({{"path", c.key}, {"stamp", c.version}});
  for (Change& c : txn.changes) {
    Json o = c.value ? Json{{"write", c.key}, {"v", std::move(*c.value)}} : Json{{"delete", c.key}};
    if (c.value && c.lease != 0) o["permit"] = c.lease;
    changes.push_back(std::move(o));
  }
  const int writes = static_cast<int>(txn.changes.size());
  Json body{{"if", std::move(conditions)}, {"apply", std::move(changes)}};
  return submit(urgency, Call{endpoint_, "POST", "/txn", body.dump(), timeout_}, writes,
                [done = std::move(done)](const Reply& r) {
                  done(parsed<TxnResult>(r, [](TxnResult& t, const Json& o) {
                    t.revision = wire::count_field(o, "ledger_rev");
                    if (t.outcome != Outcome::conflict) return;
                    for (const Json& k : o.at("failed")) t.failed.push_back(k.get<std::string>());
                  }));
                });
}

void Client::watch(const std::string& prefix, Version since, Ms wait,
                   std::function<void(WatchResult)> done) {
  std::string path = "/watch?under=" + prefix + "&since=" + std::to_string(since) +
                     "&block_ms=" + std::to_string(wait);
  submit(Urgency::lease, Call{endpoint_, "GET", std::move(path), "", wait + timeout_}, 0,
         [done = std::move(done)](const Reply& r) {
           done(parsed<WatchResult>(r, [](WatchResult& w, const Json& o) {
             w.revision = wire::count_field(o, "ledger_rev");
             for (const Json& e : o.at("log")) {
               Event event;
               event.version = wire::count_field(e, "stamp");
               if (e.contains("write")) {
                 event.key = wire::text_field(e, "write");
                 event.value = e.at("v");
               } else {
                 event.key = wire::text_field(e, "delete");
               }
               w.events.push_back(std::move(event));
             }
           }));
         });
}

void Client::grant_lease(Ms ttl, std::function<void(LeaseResult)> done) {
  submit(Urgency::lease, Call{endpoint_, "POST", "/leases", Json{{"ttl_ms", ttl}}.dump(), timeout_},
         0, [done = std::move(done)](const Reply& r) {
           done(parsed<LeaseResult>(
               r, [](LeaseResult& l, const Json& o) { l.lease = wire::count_field(o, "permit"); }));
         });
}

void Client::renew_lease(std::uint64_t lease, Ms timeout, std::function<void(Outcome)> done) {
  submit(Urgency::lease,
         Call{endpoint_, "POST", "/leases/" + std::to_string(lease) + "/extend", "", timeout}, 0,
         [done = std::move(done)](const Reply& r) { done(outcome_of(r)); });
}

void Client::revoke_lease(std::uint64_t lease, std::function<void(Outcome)> done) {
  submit(Urgency::lease,
         Call{endpoint_, "DELETE", "/leases/" + std::to_string(lease), "", timeout_}, 0,
         [done = std::move(done)](const Reply& r) { done(outcome_of(r)); });
}

Ms Client::backlog(Urgency urgency) const {
  std::size_t requests = 0;
  int writes = 0;
  // What is less urgent waits for it, and not the other way round.
  for (int u = 0; u <= static_cast<int>(urgency); ++u)
    for (const Pending& p : queues_[u]) {
      ++requests;
      writes += p.writes;
    }
  return net::ms(
      std::max(static_cast<double>(requests) / requests_.rate(), writes / changes_.rate()));
}

// Without this bound every poll that the leader can't answer becomes reads, on every controller:
// the service then refuses acceptances and the next leader's reads with them.
bool Client::admit_query() {
  refill();
  const bool waiting = std::any_of(std::begin(queues_), std::end(queues_),
                                   [](const auto& queue) { return !queue.empty(); });
  if (waiting || !requests_.has(kReadsPerQuery) || !queries_.has(kReadsPerQuery)) return false;
  queries_.take(kReadsPerQuery);
  return true;
}

bool Client::withdraw(Ticket ticket) {
  for (auto& queue : queues_) {
    const auto found = std::find_if(queue.begin(), queue.end(),
                                    [ticket](const Pending& p) { return p.ticket == ticket; });
    if (found == queue.end()) continue;
    queue.erase(found);
    return true;
  }
  return false;
}

Client::Ticket Client::submit(Urgency urgency, Call call, int writes, net::ReplyFn done) {
  Pending p{std::move(call), writes, std::move(done), ++last_ticket_};
  const Ticket ticket = p.ticket;
  // What keeps the leadership alive never waits behind other work.
  if (urgency == Urgency::lease) {
    refill();
    requests_.take(1);
    send(std::move(p));
    return ticket;
  }
  queues_[static_cast<int>(urgency)].push_back(std::move(p));
  pump();
  return ticket;
}

void Client::refill() {
  const Ms now = runtime_.now();
  for (TokenBucket* bucket : {&requests_, &changes_, &queries_}) bucket->refill(now);
}

void Client::pump() {
  refill();
  for (auto& q : queues_) {
    while (!q.empty()) {
      const bool enough = requests_.has(1) && (q.front().writes == 0 || changes_.has(1));
      if (!enough) {
        if (timer_ == 0)
          timer_ = runtime_.after(net::ms(1 / changes_.rate()), [this] {
            timer_ = 0;
            pump();
          });
        return;
      }
      Pending p = std::move(q.front());
      q.pop_front();
      requests_.take(1);
      changes_.take(p.writes);
      send(std::move(p));
    }
  }
}

std::size_t Client::waiting(bool writes) const {
  std::size_t count = 0;
  for (const auto& queue : queues_)
    count += static_cast<std::size_t>(
        std::count_if(queue.begin(), queue.end(),
                      [writes](const Pending& p) { return (p.writes > 0) == writes; }));
  return count;
}

void Client::send(Pending p) {
  ++(p.writes > 0 ? counters_.writes : counters_.reads);
  http_.call(std::move(p.call), [this, done = std::move(p.done)](const Reply& r) {
    const bool answered = r.fate == Reply::Fate::answered;
    const bool refused = is_refusal(r);
    failures_ = answered && !refused ? 0 : failures_ + 1;
    if (refused) ++counters_.refused;
    if (r.fate == net::Reply::Fate::unknown) ++counters_.unknown;
    if (answered) {
      refill();
      queries_.set_rate(query_rate_.on_answer(refused, runtime_.now()));
    }
    done(r);
  });
}

}  // namespace seampass::state
