// A fake of the state service, written from its published protocol: a consensus-backed key-value
// store with compare-and-swap, leases and watches. SimulatedCluster owns the fake and routes
// requests to it. Times are in milliseconds.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fakes/rate_limit.h"
#include "net/http_server.h"
#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::fakes {

class StateService {
 public:
  explicit StateService(net::Runtime& time) : time_(time) {}

  // Tests set these. While the service is down, watches are not answered, every other request is
  // answered with 503, and no lease expires.
  bool down = false;
  // Limits, of which 0 means no limit. Requests above a rate are answered with 429, transactions
  // above a size with 400.
  int request_limit = 0;        // maximum requests per second
  int write_limit = 0;          // maximum changes per second
  std::size_t value_bytes = 0;  // maximum size of a value
  std::size_t txn_ops = 0;      // maximum number of changes in a transaction

  // Counters that tests read.
  int writes = 0;        // changes made
  int rate_limited = 0;  // requests and transactions refused because of a rate limit
  int too_large = 0;     // transactions refused because of a size limit

  void handle(const net::Request& request, net::Answer answer);

  // Ends an outage (`down`). Every lease is extended by its full time to live.
  void end_outage();
  [[nodiscard]] bool has(const std::string& key) const { return keys_.contains(key); }
  // The number of keys with this prefix.
  [[nodiscard]] std::size_t count(const std::string& prefix) const;
  // The keys with this prefix and their values, one key per line.
  [[nodiscard]] std::string dump(const std::string& prefix) const;
  [[nodiscard]] std::size_t largest_value() const;
  // Discards the history of changes. A watch that has not received all of them is answered with
  // 410, upon which the client lists the keys again.
  void compact() { changes_.clear(); }

 private:
  struct Entry {
    wire::Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0: not bound to a lease
  };
  struct Lease {
    net::Ms ttl = 0;
    net::Ms expires_at = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t version = 0;
    std::optional<wire::Json> value;  // empty if the key was deleted
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t last_seen_version = 0;  // the last version that the client has received
    net::Answer answer;
  };
  using Watchers = std::map<std::uint64_t, Watcher>;
  enum class Wait { pending, timed_out };

  static wire::Json row(const std::string& key, const Entry& entry);

  [[nodiscard]] net::Response read(const std::string& key) const;
  [[nodiscard]] net::Response list(const std::string& query) const;

  [[nodiscard]] net::Response execute(const wire::Json& transaction);
  [[nodiscard]] bool exceeds_size_limits(const wire::Json& changes) const;
  [[nodiscard]] bool uses_expired_lease(const wire::Json& changes) const;
  // The keys whose current version differs from the one that the transaction expects.
  [[nodiscard]] wire::Json failed_conditions(const wire::Json& conditions) const;
  void put(const std::string& key, const wire::Json& value, std::uint64_t lease);
  void erase(const std::string& key);

  [[nodiscard]] net::Response grant_lease(net::Ms ttl);
  [[nodiscard]] net::Response renew_or_revoke(const std::string& method, std::uint64_t id);
  void extend(Lease& lease);
  void end_lease(std::uint64_t id);
  void expire_leases();

  // Opens a watch. It is answered when a key with its prefix changes or when its maximum wait has
  // ended. It stays open during an outage.
  void watch(const std::string& query, net::Answer answer);
  void notify_watchers();
  void answer_watch(std::uint64_t id, Wait wait);
  [[nodiscard]] wire::Json events_for(const Watcher& watcher) const;
  void reply(Watchers::iterator watcher, const net::Response& response);

  net::Runtime& time_;
  RateLimit request_rate_;
  RateLimit write_rate_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_id_ = 0;
  std::uint64_t last_watch_id_ = 0;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  Watchers watchers_;
};

}  // namespace seampass::fakes
