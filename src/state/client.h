// The actor that speaks to the state service: pacing, and outcomes told apart. It repeats nothing
// by itself, since only the asker knows what a repeat would mean.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "state/rate_limiter.h"
#include "wire/codec.h"

namespace seampass::state {

using Version = std::uint64_t;

struct Item {
  std::string key;
  wire::Json value;
  Version version = 0;
  std::uint64_t lease = 0;
};

struct Condition {
  std::string key;
  Version version = 0;  // 0: the key does not exist
};

struct Change {
  std::string key;
  std::optional<wire::Json> value;  // none: delete
  std::uint64_t lease = 0;
};

struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

enum class Outcome {
  ok,
  conflict,  // 409: nothing changed; `failed` names the keys
  missing,   // 404, or a lease that ended
  refused,   // certainly not executed: 429, 503, not sent
  invalid,   // 400: not executed, and never will be as it is: too large, or its lease has ended
  unknown,   // may have been executed, or may still be
};

struct TxnResult {
  Outcome outcome = Outcome::unknown;
  Version revision = 0;
  std::vector<std::string> failed;
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  Item item;
  Version revision = 0;
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Item> items;
  bool more = false;
  Version revision = 0;
};

struct Event {
  std::string key;
  std::optional<wire::Json> value;
  Version version = 0;
};

struct WatchResult {
  Outcome outcome = Outcome::unknown;  // missing: `since` is too old
  Version revision = 0;
  std::vector<Event> events;
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t lease = 0;
};

// In order of danger when late.
enum class Urgency { lease, final_status, assignment, progress };

// What was asked of the service since this process began, and what became of it.
struct Counters {
  std::uint64_t reads = 0, writes = 0, refused = 0, unknown = 0;
};

class Client {
 public:
  // share: of the service's limits, which all controllers draw on.
  Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint, double rps,
         double write_rps, net::Ms timeout);

  void get(const std::string& key, std::function<void(GetResult)> done,
           Urgency urgency = Urgency::final_status);
  void list(const std::string& prefix, const std::string& after,
            std::function<void(ListResult)> done);
  // A name for the request while it waits for its turn.
  using Ticket = std::uint64_t;
  Ticket txn(Txn txn, Urgency urgency, std::function<void(TxnResult)> done);
  // Takes a request back that was not sent yet: `done` is not called. False if it is too late.
  bool withdraw(Ticket ticket);
  void watch(const std::string& prefix, Version since, net::Ms wait,
             std::function<void(WatchResult)> done);
  void grant_lease(net::Ms ttl, std::function<void(LeaseResult)> done);
  void renew_lease(std::uint64_t lease, net::Ms timeout, std::function<void(Outcome)> done);
  void revoke_lease(std::uint64_t lease, std::function<void(Outcome)> done);

  // Whether the reads that answer one status query may be made now. Queries come as often as users
  // ask, so they get what the rest leaves: none while anything waits, and fewer once the service
  // refuses.
  bool admit_query();

  // How long a request of this urgency would wait for its turn now.
  net::Ms backlog(Urgency urgency) const;
  const Counters& counters() const { return counters_; }
  // Requests that wait for their turn, those that write among them.
  std::size_t waiting(bool writes) const;
  // The last few requests all failed, or were refused.
  bool seems_down() const { return failures_ >= 3; }

 private:
  struct Pending {
    net::Call call;
    int writes = 0;
    net::ReplyFn done;
    Ticket ticket = 0;
  };
  Ticket submit(Urgency urgency, net::Call call, int writes, net::ReplyFn done);
  void pump();
  void refill();
  void send(Pending p);

  net::Runtime& runtime_;
  net::HttpCaller& http_;
  std::string endpoint_;
  net::Ms timeout_;
  TokenBucket requests_;
  TokenBucket changes_;
  TokenBucket queries_;
  AdaptiveRate query_rate_;
  std::deque<Pending> queues_[4];
  net::TimerId timer_ = 0;
  Ticket last_ticket_ = 0;
  int failures_ = 0;
  Counters counters_;
};

}  // namespace seampass::state
