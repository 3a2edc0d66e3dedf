// Our own stand-in for the state service, after its published protocol.
#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/runtime.h"
#include "wire/codec.h"

namespace seampass::fakes {

class StateService {
 public:
  explicit StateService(net::Runtime& time) : time_(time) {}

  bool down = false;
  int writes = 0;
  // Requests a second, with bursts of a second's worth; 0: no limit. What is above is refused.
  int limit = 0;
  int refused = 0;
  // 0: no limit. A larger value or transaction gets 400, changes beyond the rate 429.
  std::size_t value_bytes = 0;
  std::size_t txn_ops = 0;
  int write_limit = 0;
  int too_large = 0;

  void handle(const net::Request& r, net::Answer answer) {
    expire();
    if (requests_.exceeded(limit, 1, time_.now())) {
      ++refused;
      return answer({429, R"({"error":"too many requests"})", 0});
    }
    const auto q = r.path.find('?');
    const std::string path = r.path.substr(0, q);
    const std::string query = q == std::string::npos ? "" : r.path.substr(q + 1);
    if (path == "/watch") return watch(query, std::move(answer));
    if (down) return answer({503, R"({"error":"trouble"})", 0});
    if (path == "/txn") return answer(txn(wire::Json::parse(r.body)));
    if (path == "/keys") return answer(list(query));
    if (path.starts_with("/keys/")) {
      const auto it = keys_.find(path.substr(6));
      if (it == keys_.end()) return answer({404, wire::Json{{"ledger_rev", revision_}}.dump(), 0});
      return answer({200, row(it->first, it->second).dump(), 0});
    }
    if (path == "/leases") {
      const auto ttl = wire::Json::parse(r.body).at("ttl_ms").get<net::Ms>();
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl, time_.now() + ttl};
      arm(ttl);
      return answer({200, wire::Json{{"permit", id}}.dump(), 0});
    }
    if (path.starts_with("/leases/")) {
      const std::uint64_t id = std::stoull(path.substr(8));
      const auto it = leases_.find(id);
      if (it == leases_.end()) return answer({404, "{}", 0});
      if (r.method == "DELETE") {
        end_lease(id);
      } else {
        it->second.until = time_.now() + it->second.ttl;
        arm(it->second.ttl);
      }
      return answer({200, "{}", 0});
    }
    answer({400, "{}", 0});
  }

  // After an outage, all leases get their full time again.
  void come_back() {
    down = false;
    for (auto& [id, l] : leases_) {
      l.until = time_.now() + l.ttl;
      arm(l.ttl);
    }
    notify();
  }
  bool has(const std::string& key) const { return keys_.count(key) != 0; }
  std::size_t count(const std::string& prefix) const {
    std::size_t n = 0;
    for (const auto& [k, v] : keys_) n += k.starts_with(prefix) ? 1 : 0;
    return n;
  }
  std::string dump(const std::string& prefix) const {
    std::string out;
    for (const auto& [k, e] : keys_)
      if (k.starts_with(prefix)) out += k + " = " + e.value.dump() + "\n";
    return out;
  }
  std::size_t largest_value() const {
    std::size_t n = 0;
    for (const auto& [k, e] : keys_) n = std::max(n, e.value.dump().size());
    return n;
  }
  void forget_log() { log_.clear(); }

 private:
  struct Entry {
    wire::Json value;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    net::Ms ttl = 0, until = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t version = 0;
    std::optional<wire::Json> value;
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t since = 0;
    net::Answer answer;
  };

  // So much a second, with bursts of a second's worth; 0: no limit.
  struct Allowance {
    double left = 0;
    net::Ms counted_at = 0;

    bool exceeded(int limit, double amount, net::Ms now) {
      if (limit == 0) return false;
      const double seconds = static_cast<double>(now - counted_at) / 1000.0;
      counted_at = now;
      left = std::min<double>(limit, left + seconds * limit);
      if (left < amount) return true;
      left -= amount;
      return false;
    }
  };

  static std::string param(const std::string& query, const std::string& name) {
    std::size_t at = 0;
    while (at < query.size()) {
      const auto end = std::min(query.find('&', at), query.size());
      const std::string pair = query.substr(at, end - at);
      const auto eq = pair.find('=');
      if (pair.substr(0, eq) == name) return pair.substr(eq + 1);
      at = end + 1;
    }
    return "";
  }
  static wire::Json row(const std::string& key, const Entry& e) {
    wire::Json o{{"path", key}, {"v", e.value}, {"stamp", e.version}};
    if (e.lease != 0) o["permit"] = e.lease;
    return o;
  }

  net::Response list(const std::string& query) {
    const std::string prefix = param(query, "under"), after = param(query, "since");
    const std::size_t most = std::stoul(param(query, "most"));
    wire::Json rows = wire::Json::array();
    bool more = false;
    for (auto it = after.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(after);
         it != keys_.end() && it->first.starts_with(prefix); ++it) {
      if (rows.size() == most) {
        more = true;
        break;
      }
      rows.push_back(row(it->first, it->second));
    }
    return {200, wire::Json{{"rows", rows}, {"has_next", more}, {"ledger_rev", revision_}}.dump(),
            0};
  }

  bool outsized(const wire::Json& changes) const {
    if (txn_ops != 0 && changes.size() > txn_ops) return true;
    return value_bytes != 0 && std::any_of(changes.begin(), changes.end(), [this](const auto& c) {
             return c.contains("v") && c.at("v").dump().size() > value_bytes;
           });
  }
  net::Response txn(const wire::Json& o) {
    if (outsized(o.at("apply"))) {
      ++too_large;
      return {400, R"({"error":"too large"})", 0};
    }
    if (changes_.exceeded(write_limit, static_cast<double>(o.at("apply").size()), time_.now())) {
      ++refused;
      return {429, R"({"error":"too many changes"})", 0};
    }
    for (const auto& c : o.at("apply"))
      if (c.contains("permit") && leases_.count(c.at("permit").get<std::uint64_t>()) == 0)
        return {400, R"({"error":"no such lease"})", 0};
    wire::Json failed = wire::Json::array();
    for (const auto& c : o.at("if")) {
      const auto it = keys_.find(c.at("path"));
      const std::uint64_t v = it == keys_.end() ? 0 : it->second.version;
      if (v != c.at("stamp").get<std::uint64_t>()) failed.push_back(c.at("path"));
    }
    if (!failed.empty())
      return {409, wire::Json{{"failed", failed}, {"ledger_rev", revision_}}.dump(), 0};
    ++revision_;
    for (const auto& c : o.at("apply")) {
      ++writes;
      if (c.contains("write")) {
        put(c.at("write"), c.at("v"),
            c.contains("permit") ? c.at("permit").get<std::uint64_t>() : 0);
      } else {
        erase(c.at("delete"));
      }
    }
    const net::Response done{200, wire::Json{{"ledger_rev", revision_}}.dump(), 0};
    notify();
    return done;
  }

  void put(const std::string& key, const wire::Json& value, std::uint64_t lease) {
    keys_[key] = {value, revision_, lease};
    log_.push_back({key, revision_, value});
  }
  void erase(const std::string& key) {
    if (keys_.erase(key) != 0) log_.push_back({key, revision_, std::nullopt});
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> gone;
    for (const auto& [k, e] : keys_)
      if (e.lease == id) gone.push_back(k);
    if (gone.empty()) return;
    ++revision_;
    for (const auto& k : gone) erase(k);
    notify();
  }
  void arm(net::Ms ttl) {
    time_.after(ttl + 50, [this] { expire(); });
  }
  void expire() {
    if (down) return;
    std::vector<std::uint64_t> over;
    for (const auto& [id, l] : leases_)
      if (time_.now() > l.until) over.push_back(id);
    for (const auto id : over) end_lease(id);
  }

  void watch(const std::string& query, net::Answer answer) {
    const std::uint64_t id = ++last_watch_;
    watchers_[id] = {param(query, "under"), std::stoull(param(query, "since")), std::move(answer)};
    const net::Ms wait = std::stoll(param(query, "block_ms"));
    time_.after(wait, [this, id] { answer_watch(id, true); });
    answer_watch(id, false);
  }
  void notify() {
    if (down) return;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, w] : watchers_) ids.push_back(id);
    for (const auto id : ids) answer_watch(id, false);
  }
  void answer_watch(std::uint64_t id, bool over) {
    const auto it = watchers_.find(id);
    if (it == watchers_.end() || down) return;
    const Watcher& w = it->second;
    const std::uint64_t oldest = log_.empty() ? revision_ + 1 : log_.front().version;
    if (w.since + 1 < oldest && w.since < revision_) {
      auto answer = std::move(it->second.answer);
      watchers_.erase(it);
      return answer({410, "{}", 0});
    }
    wire::Json events = wire::Json::array();
    for (const Change& c : log_) {
      if (c.version <= w.since || !c.key.starts_with(w.prefix)) continue;
      if (c.value)
        events.push_back({{"write", c.key}, {"v", *c.value}, {"stamp", c.version}});
      else
        events.push_back({{"delete", c.key}, {"stamp", c.version}});
    }
    if (events.empty() && !over) return;
    auto answer = std::move(it->second.answer);
    watchers_.erase(it);
    answer({200, wire::Json{{"ledger_rev", revision_}, {"log", events}}.dump(), 0});
  }

  net::Runtime& time_;
  Allowance requests_, changes_;
  std::uint64_t revision_ = 0, last_lease_ = 0, last_watch_ = 0;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Change> log_;
  std::map<std::uint64_t, Watcher> watchers_;
};

}  // namespace seampass::fakes
