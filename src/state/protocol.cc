#include "state/protocol.h"

#include <utility>

namespace seampass::state {

using net::Reply;
using wire::Json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

constexpr const char* kMaxItemsPerPage = "500";

// Decodes an answer. `fill` reads the body into the result; it runs only for the outcomes whose
// answers have a body. A malformed body makes the outcome unknown.
template <typename Result, typename Fill>
Result decode(const Reply& reply, Fill fill) {
  Result result;
  result.outcome = outcome_of(reply);
  if (result.outcome != Outcome::ok && result.outcome != Outcome::conflict) return result;
  try {
    fill(result, wire::parse_object(reply.body));
  } catch (const wire::Malformed&) {
    result = Result{};
  } catch (const Json::exception&) {
    result = Result{};
  }
  return result;
}

Item item_from(const Json& json) {
  Item item;
  item.key = wire::text_field(json, "path");
  item.value = json.at("v");
  item.version = wire::count_field(json, "stamp");
  if (json.contains("permit") && json.at("permit").is_number_unsigned())
    item.lease = json.at("permit").get<std::uint64_t>();
  return item;
}

Event event_from(const Json& json) {
  Event event;
  event.version = wire::count_field(json, "stamp");
  if (json.contains("write")) {
    event.key = wire::text_field(json, "write");
    event.value = json.at("v");
  } else {
    event.key = wire::text_field(json, "delete");
  }
  return event;
}

Json change_json(Change change) {
  if (!change.value) return Json{{"delete", std::move(change.key)}};
  Json json{{"write", std::move(change.key)}, {"v", std::move(*change.value)}};
  if (change.lease != 0) json["permit"] = change.lease;
  return json;
}

std::string lease_path(std::uint64_t lease) { return "/leases/" + std::to_string(lease); }

}  // namespace

Request get_request(const std::string& key) { return {"GET", "/keys/" + key, ""}; }

Request list_request(const std::string& prefix, const std::string& after) {
  std::string path = "/keys?under=" + prefix + "&most=" + kMaxItemsPerPage;
  if (!after.empty()) path += "&since=" + after;
  return {"GET", std::move(path), ""};
}

Request txn_request(Txn txn) {
  Json conditions = Json::array();
  for (const Condition& condition : txn.conditions)
    conditions.push_back({{"path", condition.key}, {"stamp", condition.version}});
  Json changes = Json::array();
  for (Change& change : txn.changes) changes.push_back(change_json(std::move(change)));
  const Json body{{"if", std::move(conditions)}, {"apply", std::move(changes)}};
  return {"POST", "/txn", body.dump()};
}

Request watch_request(const std::string& prefix, Version since, net::Ms wait) {
  return {"GET",
          "/watch?under=" + prefix + "&since=" + std::to_string(since) +
              "&block_ms=" + std::to_string(wait),
          ""};
}

Request grant_lease_request(net::Ms ttl) {
  return {"POST", "/leases", Json{{"ttl_ms", ttl}}.dump()};
}

Request renew_lease_request(std::uint64_t lease) {
  return {"POST", lease_path(lease) + "/extend", ""};
}

Request revoke_lease_request(std::uint64_t lease) { return {"DELETE", lease_path(lease), ""}; }

bool is_refusal(const Reply& reply) { return reply.is(kTooManyRequests) || reply.is(kUnavailable); }

Outcome outcome_of(const Reply& reply) {
  switch (reply.result) {
    case Reply::Result::not_sent:
      return Outcome::refused;
    case Reply::Result::unknown:
      return Outcome::unknown;
    case Reply::Result::answered:
      break;
  }
  switch (reply.status) {
    case kOk:
      return Outcome::ok;
    case kNotFound:
    case kGone:
      return Outcome::missing;
    case kConflict:
      return Outcome::conflict;
    case kBadRequest:
      return Outcome::invalid;
    default:
      return is_refusal(reply) ? Outcome::refused : Outcome::unknown;
  }
}

GetResult decode_get(const Reply& reply) {
  return decode<GetResult>(
      reply, [](GetResult& result, const Json& json) { result.item = item_from(json); });
}

ListResult decode_list(const Reply& reply) {
  return decode<ListResult>(reply, [](ListResult& result, const Json& json) {
    for (const Json& row : json.at("rows")) result.items.push_back(item_from(row));
    result.has_more = wire::flag_field(json, "has_next");
    result.revision = wire::count_field(json, "ledger_rev");
  });
}

TxnResult decode_txn(const Reply& reply) {
  return decode<TxnResult>(reply, [](TxnResult& result, const Json& json) {
    result.revision = wire::count_field(json, "ledger_rev");
    if (result.outcome != Outcome::conflict) return;
    for (const Json& key : json.at("failed")) result.failed.push_back(key.get<std::string>());
  });
}

WatchResult decode_watch(const Reply& reply) {
  return decode<WatchResult>(reply, [](WatchResult& result, const Json& json) {
    result.revision = wire::count_field(json, "ledger_rev");
    for (const Json& event : json.at("log")) result.events.push_back(event_from(event));
  });
}

LeaseResult decode_lease(const Reply& reply) {
  return decode<LeaseResult>(reply, [](LeaseResult& result, const Json& json) {
    result.lease = wire::count_field(json, "permit");
  });
}

}  // namespace seampass::state
