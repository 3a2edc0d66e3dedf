// Compares the controllers' HTTP requests with literals: the requests to the state service, the
// cloud and the workers, with their paths and bodies. Responses from these services are literals as
// well.
//
// The state service, the cloud and the workers are not upgraded together with the controllers. A
// change of the program must therefore not change a literal in this file: if a literal no longer
// matches, these programs no longer understand the controllers, or the controllers them.
#include <gtest/gtest.h>

#include "cloud/client.h"
#include "fakes/simulated_cluster.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass::fakes {
namespace {

// Records each request as a string and returns the same reply to all of them.
class RecordingCaller : public net::HttpCaller {
 public:
  void call(net::Call call, net::ReplyFn done) override {
    requests.push_back(call.endpoint + " " + call.method + " " + call.path + " " + call.body);
    done(reply);
  }

  std::vector<std::string> requests;
  net::Reply reply{net::Reply::Result::answered, 200, "{}"};
};

using Requests = std::vector<std::string>;

// A state::Client whose requests are recorded.
struct RecordedStateClient {
  SimTime time;
  RecordingCaller http;
  state::Client client{time, http, "state:1", {1000, 1000, 100}, 500};

  void answer(int status, const char* body) {
    http.reply = {net::Reply::Result::answered, status, body};
  }
};

TEST(Formats, KeyReadIsUnchanged) {
  RecordedStateClient state;
  state::GetResult found;
  state.answer(200, R"({"path":"open/wk-8801","v":{"a":1},"stamp":17,"permit":4})");
  state.client.get("open/wk-8801", [&](const state::GetResult& result) { found = result; });
  EXPECT_EQ(state.http.requests, (Requests{"state:1 GET /keys/open/wk-8801 "}));
  EXPECT_EQ(found.outcome, state::Outcome::ok);
  EXPECT_EQ(found.item.key, "open/wk-8801");
  EXPECT_EQ(found.item.value.dump(), R"({"a":1})");
  EXPECT_EQ(found.item.version, 17U);
  EXPECT_EQ(found.item.lease, 4U);
}

TEST(Formats, KeyListingIsUnchanged) {
  RecordedStateClient state;
  state::ListResult found;
  state.answer(200,
               R"({"rows":[{"path":"open/wk-1","v":3,"stamp":5}],"has_next":true,"ledger_rev":9})");
  state.client.list("open/", "", [&](const state::ListResult& result) { found = result; });
  state.client.list("open/", "open/wk-1", [](const state::ListResult&) {});
  EXPECT_EQ(state.http.requests,
            (Requests{"state:1 GET /keys?under=open/&most=500 ",
                      "state:1 GET /keys?under=open/&most=500&since=open/wk-1 "}));
  ASSERT_EQ(found.items.size(), 1U);
  EXPECT_EQ(found.items[0].key, "open/wk-1");
  EXPECT_EQ(found.items[0].version, 5U);
  EXPECT_TRUE(found.has_more);
  EXPECT_EQ(found.revision, 9U);
}

TEST(Formats, TransactionIsUnchanged) {
  RecordedStateClient state;
  state::TxnResult result;
  state::Txn txn;
  txn.conditions = {{"leader", 91}, {"ends/wk-8801", 0}};
  txn.changes.push_back({"work/wk-8801/s7", wire::Json{{"n", 1}}, 0});
  txn.changes.push_back({"leader", wire::Json{{"node", "n1"}}, 6});
  txn.changes.push_back({"open/wk-8801", std::nullopt, 0});
  state.answer(409, R"({"failed":["ends/wk-8801"],"ledger_rev":12})");
  state.client.txn(std::move(txn), state::Urgency::final_status,
                   [&](const state::TxnResult& received) { result = received; });
  EXPECT_EQ(
      state.http.requests,
      (Requests{
          R"(state:1 POST /txn {"apply":[{"v":{"n":1},"write":"work/wk-8801/s7"},{"permit":6,"v":{"node":"n1"},"write":"leader"},{"delete":"open/wk-8801"}],"if":[{"path":"leader","stamp":91},{"path":"ends/wk-8801","stamp":0}]})"}));
  EXPECT_EQ(result.outcome, state::Outcome::conflict);
  EXPECT_EQ(result.failed, (std::vector<std::string>{"ends/wk-8801"}));
  EXPECT_EQ(result.revision, 12U);
}

TEST(Formats, WatchIsUnchanged) {
  RecordedStateClient state;
  state::WatchResult result;
  state.answer(
      200,
      R"({"log":[{"write":"leader","v":{"node":"n1"},"stamp":13},{"delete":"leader","stamp":14}],"ledger_rev":15})");
  state.client.watch("leader", 12, 4000,
                     [&](const state::WatchResult& received) { result = received; });
  EXPECT_EQ(state.http.requests,
            (Requests{"state:1 GET /watch?under=leader&since=12&block_ms=4000 "}));
  EXPECT_EQ(result.revision, 15U);
  ASSERT_EQ(result.events.size(), 2U);
  EXPECT_EQ(result.events[0].key, "leader");
  EXPECT_EQ(result.events[0].value, (wire::Json{{"node", "n1"}}));
  EXPECT_EQ(result.events[0].version, 13U);
  EXPECT_EQ(result.events[1].key, "leader");
  EXPECT_FALSE(result.events[1].value);
  EXPECT_EQ(result.events[1].version, 14U);
}

TEST(Formats, LeaseRequestsAreUnchanged) {
  RecordedStateClient state;
  state::LeaseResult granted;
  state.answer(200, R"({"permit":6})");
  state.client.grant_lease(3333, [&](const state::LeaseResult& result) { granted = result; });
  state.client.renew_lease(6, 500, [](state::Outcome) {});
  state.client.revoke_lease(6, [](state::Outcome) {});
  EXPECT_EQ(state.http.requests,
            (Requests{R"(state:1 POST /leases {"ttl_ms":3333})", "state:1 POST /leases/6/extend ",
                      "state:1 DELETE /leases/6 "}));
  EXPECT_EQ(granted.lease, 6U);
}

TEST(Formats, RequestsToTheCloudAreUnchanged) {
  SimTime time;
  RecordingCaller http;
  cloud::Client client(time, http, "cloud:1", 100, 1000);
  client.catalog([](bool, const std::vector<wire::MachineType>&) {});
  client.rent({"n1-17", "t-large", "zone-3", false, 2},
              [](cloud::RentalResult, const std::vector<std::string>&) {});
  client.remove({"m-000051"}, [](bool) {});
  client.machines("", [](bool, const wire::MachinePage&) {});
  client.machines("m-000051", [](bool, const wire::MachinePage&) {});
  EXPECT_EQ(
      http.requests,
      (Requests{
          "cloud:1 GET /catalog ",
          R"(cloud:1 POST /rentals {"barrel":"t-large","cellar":"zone-3","count":2,"hire_ask":"n1-17","lent_racks":false})",
          R"(cloud:1 POST /rentals/delete {"hosts":["m-000051"]})",
          "cloud:1 GET /rentals?most=500 ", "cloud:1 GET /rentals?most=500&since=m-000051 "}));
}

TEST(Formats, RecognizesThatTheCloudHasNoCapacity) {
  const auto rented = [](const char* body) {
    SimTime time;
    RecordingCaller http;
    cloud::Client client(time, http, "cloud:1", 100, 1000);
    http.reply = {net::Reply::Result::answered, 503, body};
    std::optional<cloud::RentalResult> result;
    client.rent({}, [&](cloud::RentalResult received, const std::vector<std::string>&) {
      result = received;
    });
    return result;
  };
  EXPECT_EQ(rented(R"({"error":"no capacity"})"), cloud::RentalResult::no_capacity);
  EXPECT_EQ(rented(R"({"error":"trouble"})"), cloud::RentalResult::failed);
}

TEST(Formats, RequestsToWorkersAreUnchanged) {
  RecordingCaller http;
  workers::Client client(http, 1000, 10);
  client.send("10.9.8.7:9100", 91, 3, {{wire::Verb::forget, "wk-8803", 5, 1, 0}},
              [](workers::CommandResult, const std::optional<wire::Heartbeat>&) {});
  client.inspect("10.9.8.7:9100", [](const std::optional<wire::Heartbeat>&) {});
  EXPECT_EQ(
      http.requests,
      (Requests{
          R"(10.9.8.7:9100 POST /commands {"orders":[{"pour":"wk-8803/5","try":1,"verb":"reap"}],"shift":3,"warrant":91})",
          "10.9.8.7:9100 GET /inspect "}));
}

}  // namespace
}  // namespace seampass::fakes
