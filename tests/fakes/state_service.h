// Our own fake of the state service, a consensus-backed key-value store with compare-and-swap,
// leases and watches, after its published protocol.
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

  // Set by tests. While it is down, every request is refused and no lease expires.
  bool down = false;
  int limit = 0;                // requests a second; what is above gets 429. 0: no limit
  int write_limit = 0;          // changes a second; what is above gets 429. 0: no limit
  std::size_t value_bytes = 0;  // a larger value gets 400. 0: no limit
  std::size_t txn_ops = 0;      // a transaction of more changes gets 400. 0: no limit

  // Counted for tests.
  int writes = 0;     // changes made
  int refused = 0;    // requests above a rate
  int too_large = 0;  // transactions above a size

  void handle(const net::Request& request, net::Answer answer);

  // Ends an outage: every lease gets its full time again.
  void come_back();
  [[nodiscard]] bool has(const std::string& key) const { return keys_.contains(key); }
  // How many keys have this prefix.
  [[nodiscard]] std::size_t count(const std::string& prefix) const;
  // The keys with this prefix and their values, one a line.
  [[nodiscard]] std::string dump(const std::string& prefix) const;
  [[nodiscard]] std::size_t largest_value() const;
  // Forgets the changes so far: a watch that has not seen all of them is told to list again.
  void compact() { changes_.clear(); }

 private:
  struct Entry {
    wire::Json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0: none
  };
  struct Lease {
    net::Ms ttl = 0;
    net::Ms until = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t version = 0;
    std::optional<wire::Json> value;  // none: deleted
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t since = 0;  // the last version that it has seen
    net::Answer answer;
  };
  using Watchers = std::map<std::uint64_t, Watcher>;
  enum class Wait { goes_on, is_over };

  static wire::Json row(const std::string& key, const Entry& entry);

  [[nodiscard]] net::Response read(const std::string& key) const;
  [[nodiscard]] net::Response list(const std::string& query) const;

  [[nodiscard]] net::Response execute(const wire::Json& transaction);
  [[nodiscard]] bool outsized(const wire::Json& changes) const;
  [[nodiscard]] bool names_expired_lease(const wire::Json& changes) const;
  // The keys whose version is not what the transaction expects.
  [[nodiscard]] wire::Json unmet(const wire::Json& conditions) const;
  void put(const std::string& key, const wire::Json& value, std::uint64_t lease);
  void erase(const std::string& key);

  [[nodiscard]] net::Response grant_lease(net::Ms ttl);
  [[nodiscard]] net::Response renew_or_revoke(const std::string& method, std::uint64_t id);
  void extend(Lease& lease);
  void end_lease(std::uint64_t id);
  void expire_leases();

  // A watch stays open until a change or the end of its wait, also through an outage.
  void watch(const std::string& query, net::Answer answer);
  void notify_watchers();
  void answer_watch(std::uint64_t id, Wait wait);
  [[nodiscard]] wire::Json events_for(const Watcher& watcher) const;
  void reply(Watchers::iterator watcher, const net::Response& response);

  net::Runtime& time_;
  RateLimit request_rate_;
  RateLimit write_rate_;
  std::uint64_t revision_ = 0;
  std::uint64_t last_lease_ = 0;
  std::uint64_t last_watch_ = 0;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> changes_;
  Watchers watchers_;
};

}  // namespace seampass::fakes
