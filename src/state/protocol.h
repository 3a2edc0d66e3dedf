// The state service's protocol: typed requests and results, and their forms in HTTP and JSON. Pure
// functions and plain values; state::Client is the only caller of the codec. Nothing else in the
// program knows the service's own words.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::state {

// The service's revision at which a key was last written; also a revision of the whole store.
using Version = std::uint64_t;

struct Item {
  std::string key;
  wire::Json value;
  Version version = 0;
  std::uint64_t lease = 0;  // 0: lives on its own
};

struct Condition {
  std::string key;
  Version version = 0;  // 0: the key does not exist
};

struct Change {
  std::string key;
  std::optional<wire::Json> value;  // none: delete
  std::uint64_t lease = 0;          // the key goes with this lease; 0: lives on its own
};

// A compare-and-swap: all changes are made if all conditions hold, or else none.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

// What is known of a request after its answer, or for want of one.
enum class Outcome {
  ok,        // 200: executed
  conflict,  // 409: nothing changed; TxnResult::failed names the keys
  missing,   // 404 or 410: no such key, a lease that ended, or a revision that is too old
  refused,   // certainly not executed (429, 503, not sent): may be repeated at once
  // 400: not executed, and never will be as it is: too large, or its lease has ended.
  invalid,
  // May have been executed, or may still be: only a repeat that does no harm in either case may be
  // sent, such as a read or a transaction that compares versions.
  unknown,
};

struct TxnResult {
  Outcome outcome = Outcome::unknown;
  Version revision = 0;             // if ok: the version of every key that was written
  std::vector<std::string> failed;  // keys whose condition did not hold

  [[nodiscard]] bool failed_on(const std::string& key) const {
    return std::find(failed.begin(), failed.end(), key) != failed.end();
  }
};

struct GetResult {
  Outcome outcome = Outcome::unknown;
  Item item;
};

struct ListResult {
  Outcome outcome = Outcome::unknown;
  std::vector<Item> items;  // in the order of their keys
  bool more = false;        // list again, after the last of these
  Version revision = 0;     // of the store when it was listed
};

struct Event {
  std::string key;
  std::optional<wire::Json> value;  // none: deleted
  Version version = 0;
};

struct WatchResult {
  Outcome outcome = Outcome::unknown;  // missing: `since` is too old
  Version revision = 0;                // watch on from here
  std::vector<Event> events;
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t lease = 0;
};

// A request without where it goes and for how long it is waited for.
struct Request {
  const char* method = "GET";
  std::string path;
  std::string body;
};

[[nodiscard]] Request get_request(const std::string& key);
// `after`: the last key of the page before; empty for the first page.
[[nodiscard]] Request list_request(const std::string& prefix, const std::string& after);
[[nodiscard]] Request txn_request(Txn txn);
// `wait`: ms for which the service may hold the answer back if nothing happens.
[[nodiscard]] Request watch_request(const std::string& prefix, Version since, net::Ms wait);
[[nodiscard]] Request grant_lease_request(net::Ms ttl);
[[nodiscard]] Request renew_lease_request(std::uint64_t lease);
[[nodiscard]] Request revoke_lease_request(std::uint64_t lease);

// The service has more to do than it takes: 429 or 503.
[[nodiscard]] bool is_refusal(const net::Reply& reply);
[[nodiscard]] Outcome outcome_of(const net::Reply& reply);
// None of these throws: a malformed answer counts as none, so that its outcome is unknown.
[[nodiscard]] GetResult decode_get(const net::Reply& reply);
[[nodiscard]] ListResult decode_list(const net::Reply& reply);
[[nodiscard]] TxnResult decode_txn(const net::Reply& reply);
[[nodiscard]] WatchResult decode_watch(const net::Reply& reply);
[[nodiscard]] LeaseResult decode_lease(const net::Reply& reply);

}  // namespace seampass::state
