// The state service's protocol has field names of its own, which appear here only in string
// literals: `ledger_rev` is the store's revision, `stamp` is a key's version, `permit` is the id of
// a lease, and `log` is a list of changes.
#include "fakes/state_service.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace seampass::fakes {
namespace {

constexpr std::string_view kKeysPrefix = "/keys/";
constexpr std::string_view kLeasesPrefix = "/leases/";
// The fake checks a lease for expiry this long after its time to live has passed.
constexpr net::Ms kExpiryDelay = 50;

std::string parameter(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const auto end = std::min(query.find('&', at), query.size());
    const std::string pair = query.substr(at, end - at);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) return pair.substr(equals + 1);
    at = end + 1;
  }
  return "";
}

std::uint64_t lease_of(const wire::Json& change) {
  return change.contains("permit") ? change.at("permit").get<std::uint64_t>() : 0;
}

}  // namespace

void StateService::handle(const net::Request& request, net::Answer answer) {
  expire_leases();
  if (request_rate_.exceeded(request_limit, 1, time_.now())) {
    ++rate_limited;
    return answer({429, R"({"error":"too many requests"})", 0});
  }
  const auto query_start = request.path.find('?');
  const std::string path = request.path.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : request.path.substr(query_start + 1);
  if (path == "/watch") return watch(query, std::move(answer));
  if (down) return answer({503, R"({"error":"service unavailable"})", 0});
  if (path == "/txn") return answer(execute(wire::Json::parse(request.body)));
  if (path == "/keys") return answer(list(query));
  if (path.starts_with(kKeysPrefix)) return answer(read(path.substr(kKeysPrefix.size())));
  if (path == "/leases")
    return answer(grant_lease(wire::Json::parse(request.body).at("ttl_ms").get<net::Ms>()));
  if (path.starts_with(kLeasesPrefix))
    return answer(renew_or_revoke(request.method, std::stoull(path.substr(kLeasesPrefix.size()))));
  answer({400, "{}", 0});
}

void StateService::end_outage() {
  down = false;
  for (auto& [id, lease] : leases_) extend(lease);
  notify_watchers();
}

std::size_t StateService::count(const std::string& prefix) const {
  return static_cast<std::size_t>(
      std::count_if(keys_.begin(), keys_.end(),
                    [&prefix](const auto& entry) { return entry.first.starts_with(prefix); }));
}

std::string StateService::dump(const std::string& prefix) const {
  std::string lines;
  for (const auto& [key, entry] : keys_)
    if (key.starts_with(prefix)) lines += key + " = " + entry.value.dump() + "\n";
  return lines;
}

std::size_t StateService::largest_value() const {
  std::size_t largest = 0;
  for (const auto& [key, entry] : keys_) largest = std::max(largest, entry.value.dump().size());
  return largest;
}

wire::Json StateService::row(const std::string& key, const Entry& entry) {
  wire::Json row{{"path", key}, {"v", entry.value}, {"stamp", entry.version}};
  if (entry.lease != 0) row["permit"] = entry.lease;
  return row;
}

net::Response StateService::read(const std::string& key) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return {404, wire::Json{{"ledger_rev", revision_}}.dump(), 0};
  return {200, row(it->first, it->second).dump(), 0};
}

net::Response StateService::list(const std::string& query) const {
  const std::string prefix = parameter(query, "under");
  const std::string after = parameter(query, "since");
  const std::size_t page_size = std::stoul(parameter(query, "most"));
  wire::Json rows = wire::Json::array();
  bool has_next = false;
  for (auto it = after.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(after);
       it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (rows.size() == page_size) {
      has_next = true;
      break;
    }
    rows.push_back(row(it->first, it->second));
  }
  return {200, wire::Json{{"rows", rows}, {"has_next", has_next}, {"ledger_rev", revision_}}.dump(),
          0};
}

net::Response StateService::execute(const wire::Json& transaction) {
  const wire::Json& changes = transaction.at("apply");
  if (exceeds_size_limits(changes)) {
    ++too_large;
    return {400, R"({"error":"too large"})", 0};
  }
  if (write_rate_.exceeded(write_limit, static_cast<double>(changes.size()), time_.now())) {
    ++rate_limited;
    return {429, R"({"error":"too many changes"})", 0};
  }
  if (uses_expired_lease(changes)) return {400, R"({"error":"no such lease"})", 0};
  const wire::Json failed = failed_conditions(transaction.at("if"));
  if (!failed.empty())
    return {409, wire::Json{{"failed", failed}, {"ledger_rev", revision_}}.dump(), 0};
  ++revision_;
  for (const auto& change : changes) {
    ++writes;
    if (change.contains("write"))
      put(change.at("write"), change.at("v"), lease_of(change));
    else
      erase(change.at("delete"));
  }
  net::Response done{200, wire::Json{{"ledger_rev", revision_}}.dump(), 0};
  notify_watchers();
  return done;
}

bool StateService::exceeds_size_limits(const wire::Json& changes) const {
  if (txn_ops != 0 && changes.size() > txn_ops) return true;
  return value_bytes != 0 &&
         std::any_of(changes.begin(), changes.end(), [this](const auto& change) {
           return change.contains("v") && change.at("v").dump().size() > value_bytes;
         });
}

bool StateService::uses_expired_lease(const wire::Json& changes) const {
  return std::any_of(changes.begin(), changes.end(), [this](const auto& change) {
    return change.contains("permit") && !leases_.contains(lease_of(change));
  });
}

wire::Json StateService::failed_conditions(const wire::Json& conditions) const {
  wire::Json failed = wire::Json::array();
  for (const auto& condition : conditions) {
    const auto it = keys_.find(condition.at("path"));
    const std::uint64_t version = it == keys_.end() ? 0 : it->second.version;
    if (version != condition.at("stamp").get<std::uint64_t>())
      failed.push_back(condition.at("path"));
  }
  return failed;
}

void StateService::put(const std::string& key, const wire::Json& value, std::uint64_t lease) {
  keys_[key] = {value, revision_, lease};
  changes_.push_back({key, revision_, value});
}

void StateService::erase(const std::string& key) {
  if (keys_.erase(key) != 0) changes_.push_back({key, revision_, std::nullopt});
}

net::Response StateService::grant_lease(net::Ms ttl) {
  const std::uint64_t id = ++last_lease_id_;
  extend(leases_[id] = {ttl, 0});
  return {200, wire::Json{{"permit", id}}.dump(), 0};
}

net::Response StateService::renew_or_revoke(const std::string& method, std::uint64_t id) {
  const auto it = leases_.find(id);
  if (it == leases_.end()) return {404, "{}", 0};
  if (method == "DELETE")
    end_lease(id);
  else
    extend(it->second);
  return {200, "{}", 0};
}

void StateService::extend(Lease& lease) {
  lease.expires_at = time_.now() + lease.ttl;
  time_.after(lease.ttl + kExpiryDelay, [this] { expire_leases(); });
}

void StateService::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> deleted;
  for (const auto& [key, entry] : keys_)
    if (entry.lease == id) deleted.push_back(key);
  if (deleted.empty()) return;
  ++revision_;
  for (const std::string& key : deleted) erase(key);
  notify_watchers();
}

void StateService::expire_leases() {
  if (down) return;
  std::vector<std::uint64_t> expired;
  for (const auto& [id, lease] : leases_)
    if (time_.now() > lease.expires_at) expired.push_back(id);
  for (const auto id : expired) end_lease(id);
}

void StateService::watch(const std::string& query, net::Answer answer) {
  const std::uint64_t id = ++last_watch_id_;
  watchers_[id] = {parameter(query, "under"), std::stoull(parameter(query, "since")),
                   std::move(answer)};
  const net::Ms wait = std::stoll(parameter(query, "block_ms"));
  time_.after(wait, [this, id] { answer_watch(id, Wait::timed_out); });
  answer_watch(id, Wait::pending);
}

void StateService::notify_watchers() {
  if (down) return;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, watcher] : watchers_) ids.push_back(id);
  for (const auto id : ids) answer_watch(id, Wait::pending);
}

void StateService::answer_watch(std::uint64_t id, Wait wait) {
  const auto it = watchers_.find(id);
  if (it == watchers_.end() || down) return;
  const Watcher& watcher = it->second;
  const std::uint64_t oldest = changes_.empty() ? revision_ + 1 : changes_.front().version;
  if (watcher.last_seen_version + 1 < oldest && watcher.last_seen_version < revision_)
    return reply(it, {410, "{}", 0});
  const wire::Json events = events_for(watcher);
  if (events.empty() && wait == Wait::pending) return;
  reply(it, {200, wire::Json{{"ledger_rev", revision_}, {"log", events}}.dump(), 0});
}

wire::Json StateService::events_for(const Watcher& watcher) const {
  wire::Json events = wire::Json::array();
  for (const Change& change : changes_) {
    if (change.version <= watcher.last_seen_version || !change.key.starts_with(watcher.prefix))
      continue;
    if (change.value)
      events.push_back({{"write", change.key}, {"v", *change.value}, {"stamp", change.version}});
    else
      events.push_back({{"delete", change.key}, {"stamp", change.version}});
  }
  return events;
}

void StateService::reply(Watchers::iterator watcher, const net::Response& response) {
  // The watcher is removed before it is answered, because the answer may immediately cause the next
  // request.
  const net::Answer answer = std::move(watcher->second.answer);
  watchers_.erase(watcher);
  answer(response);
}

}  // namespace seampass::fakes
