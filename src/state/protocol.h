// The state service's protocol: typed requests and results, and the functions that encode them to
// and decode them from HTTP and JSON. The functions are pure and the types are plain values.
// state::Client is the only caller of the functions. Only protocol.cc contains the service's own
// names of paths and fields.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::state {

// A revision of the service's store. The version of a key is the revision at which the key was last
// written.
using Version = std::uint64_t;

struct Item {
  std::string key;
  wire::Json value;
  Version version = 0;
  std::uint64_t lease = 0;  // the lease that the key is bound to; 0: none
};

struct Condition {
  std::string key;
  Version version = 0;  // 0: the key does not exist
};

struct Change {
  std::string key;
  std::optional<wire::Json> value;  // none: the key is deleted
  std::uint64_t lease = 0;          // the service deletes the key when this lease ends; 0: no lease
};

// A compare-and-swap: the service makes all changes if all conditions hold, and none otherwise.
struct Txn {
  std::vector<Condition> conditions;
  std::vector<Change> changes;
};

// What the caller can conclude about a request from its answer, or from the lack of an answer.
enum class Outcome {
  ok,        // 200: executed
  conflict,  // 409: nothing changed; TxnResult::failed names the keys
  missing,   // 404 or 410: no such key, the lease has ended, or the revision is too old
  refused,   // 429, 503 or not sent: not executed, so the caller may repeat it at once
  // 400: not executed, and the same request would fail again. It is too large, or the lease that it
  // names has ended.
  invalid,
  // No usable answer: the service may have executed the request, or may still execute it. The
  // caller may repeat it only if a second execution does no harm, as with a read or with a
  // transaction that compares versions.
  unknown,
};

struct TxnResult {
  Outcome outcome = Outcome::unknown;
  Version revision = 0;             // if ok: the new version of every key written
  std::vector<std::string> failed;  // if conflict: the keys whose condition did not hold

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
  bool has_more = false;    // true: further keys follow; list again after the last item
  Version revision = 0;     // the store's revision when the page was read
};

struct Event {
  std::string key;
  std::optional<wire::Json> value;  // none: the key was deleted
  Version version = 0;
};

struct WatchResult {
  Outcome outcome = Outcome::unknown;  // missing: `since` is too old
  Version revision = 0;                // the revision to watch from next
  std::vector<Event> events;
};

struct LeaseResult {
  Outcome outcome = Outcome::unknown;
  std::uint64_t lease = 0;
};

// An HTTP request without its endpoint and timeout, which Client adds.
struct Request {
  const char* method = "GET";
  std::string path;
  std::string body;
};

[[nodiscard]] Request get_request(const std::string& key);
// `after`: the last key of the previous page; empty for the first page.
[[nodiscard]] Request list_request(const std::string& prefix, const std::string& after);
[[nodiscard]] Request txn_request(Txn txn);
// `wait`: how long, in ms, the service may delay its answer while no event occurs.
[[nodiscard]] Request watch_request(const std::string& prefix, Version since, net::Ms wait);
[[nodiscard]] Request grant_lease_request(net::Ms ttl);
[[nodiscard]] Request renew_lease_request(std::uint64_t lease);
[[nodiscard]] Request revoke_lease_request(std::uint64_t lease);

// Returns true if the service refused the request because it is overloaded (429 or 503).
[[nodiscard]] bool is_refusal(const net::Reply& reply);
[[nodiscard]] Outcome outcome_of(const net::Reply& reply);
// The decode functions do not throw. They treat a malformed answer as no answer, so its outcome is
// Outcome::unknown.
[[nodiscard]] GetResult decode_get(const net::Reply& reply);
[[nodiscard]] ListResult decode_list(const net::Reply& reply);
[[nodiscard]] TxnResult decode_txn(const net::Reply& reply);
[[nodiscard]] WatchResult decode_watch(const net::Reply& reply);
[[nodiscard]] LeaseResult decode_lease(const net::Reply& reply);

}  // namespace seampass::state
