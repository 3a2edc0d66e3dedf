// Tests how RecordStore writes task records and final statuses when answers are lost or late, when
// the writer no longer leads, and when a final status is already stored.
#include "leader/records/record_store.h"

#include <gtest/gtest.h>

#include "fakes/sim_net.h"
#include "fakes/state_service.h"
#include "leader/records/keys.h"

namespace seampass::leader {
namespace {

using fakes::Delivery;

// The store runs against a simulated state service. The renderer returns `rendered` for every
// record.
class RecordStoreTest : public ::testing::Test {
 protected:
  RecordStoreTest()
      : net(time, 5),
        service(time),
        process(time),
        http(net, "n0", process.alive()),
        client(process, http, "state:1", {1000, 1000, 100}, 500),
        records(process, client, {1000, 1000, 8, 10},
                {.render = [this](const std::string&, const RecordId&) { return rendered; },
                 .on_fenced = [this] { fenced = true; },
                 .on_final_status_found = [this](const std::string&,
                                                 wire::Stage) { final_status_found = true; },
                 .on_value_too_large = [this] { value_too_large = true; }}) {
    net.serve("state:1", [this](const net::Request& request, net::Answer answer) {
      service.handle(request, std::move(answer));
    });
    put(kLeaderKey, {{"node", "n0"}});
    records.start_term(last_revision);
  }
  void put(const std::string& key, const wire::Json& json) {
    state::Txn txn;
    txn.changes.push_back({key, json, 0});
    client.txn(std::move(txn), state::Urgency::final_status,
               [this](const state::TxnResult& result) { last_revision = result.revision; });
    time.run_for(100);
  }
  wire::Json stored(const std::string& key) {
    wire::Json found;
    client.get(key, [&](const state::GetResult& result) { found = result.item.value; });
    time.run_for(100);
    return found;
  }

  fakes::SimTime time;
  fakes::SimNet net;
  fakes::StateService service;
  fakes::Process process;
  fakes::SimCaller http;
  state::Client client;
  std::optional<wire::Json> rendered = wire::Json{{"n", 1}};
  bool fenced = false, final_status_found = false, value_too_large = false;
  const RecordId chunk{Layout::chunks, 0};
  RecordStore records;
  state::Version last_revision = 0;
};

TEST_F(RecordStoreTest, LostAnswerIsReadBackAndTheCallbackRunsOnce) {
  int txn_calls = 0, durable_count = 0;
  net.set_rule([&](const std::string&, const net::Call& call) {
    Delivery delivery;
    delivery.lose_answer = call.path == "/txn" && txn_calls++ == 0;
    return delivery;
  });
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { ++durable_count; });
  time.run_for(5000);
  EXPECT_EQ(durable_count, 1);
  EXPECT_EQ(stored("work/wk-1/0"), (wire::Json{{"n", 1}}));
  EXPECT_TRUE(records.settled("wk-1", chunk));
}

TEST_F(RecordStoreTest, LateCopyOfAnEarlierWriteDoesNotUndoANewerOne) {
  int txn_calls = 0, durable_count = 0;
  net.set_rule([&](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (call.path == "/txn" && txn_calls++ == 0) delivery.delay_without_answer = 20000;
    return delivery;
  });
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { ++durable_count; });
  time.run_for(1000);
  rendered = wire::Json{{"n", 2}};
  records.write("wk-1", chunk, state::Urgency::progress, [&] { ++durable_count; });
  time.run_for(5000);
  EXPECT_EQ(durable_count, 2);
  time.run_for(30000);  // the first transaction arrives now and must not be applied
  EXPECT_EQ(stored("work/wk-1/0"), (wire::Json{{"n", 2}}));
}

// The client has more transactions queued than its maximum write rate lets it send within the test.
// A queued progress write must not delay the final status of its job. The store withdraws the
// progress write and sends it in the same transaction as the final status.
TEST_F(RecordStoreTest, FinalStatusDoesNotWaitForQueuedProgressWriteOfItsJob) {
  state::Client rate_limited_client(process, http, "state:1", {1000, 4, 100}, 500);
  RecordStore rate_limited_store(
      process, rate_limited_client, {1000, 4, 8, 10},
      {.render = [this](const std::string&, const RecordId&) { return rendered; },
       .on_fenced = [] {},
       .on_final_status_found = [](const std::string&, wire::Stage) {},
       .on_value_too_large = [] {}});
  rate_limited_store.start_term(last_revision);
  for (int i = 10; i < 40; ++i)
    rate_limited_store.write("wk-" + std::to_string(i), chunk, state::Urgency::assignment);
  bool record_durable = false, final_status_durable = false;
  put("open/wk-1", {{"n", 1}});
  const state::Version open_version = last_revision;
  rate_limited_store.write("wk-1", chunk, state::Urgency::progress, [&] { record_durable = true; });
  rate_limited_store.write_final_status("wk-1", open_version, wire::Stage::done, 1,
                                        state::Urgency::final_status,
                                        [&](wire::Stage) { final_status_durable = true; });
  time.run_for(1500);
  EXPECT_TRUE(final_status_durable);
  EXPECT_TRUE(record_durable);
  EXPECT_TRUE(service.has("ends/wk-1"));
  EXPECT_FALSE(service.has("work/wk-39/0"));
}

TEST_F(RecordStoreTest, FormerLeaderIsFencedAndWritesNothing) {
  put(kLeaderKey, {{"node", "n1"}});
  bool durable = false;
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { durable = true; });
  time.run_for(2000);
  EXPECT_TRUE(fenced);
  EXPECT_FALSE(durable);
  EXPECT_FALSE(service.has("work/wk-1/0"));
}

TEST_F(RecordStoreTest, FinalStatusThatIsStoredFirstIsReported) {
  put("ends/wk-1", {{"stage", "withdrawn"}, {"done", 0}});
  wire::Stage stage = wire::Stage::queued;
  records.write_final_status("wk-1", 3, wire::Stage::done, 2, state::Urgency::final_status,
                             [&](wire::Stage actual) { stage = actual; });
  time.run_for(3000);
  EXPECT_EQ(stage, wire::Stage::cancelled);
}

TEST_F(RecordStoreTest, AssignmentIsNotWrittenAfterAFinalStatus) {
  put("ends/wk-1", {{"stage", "withdrawn"}, {"done", 0}});
  bool durable = false;
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { durable = true; });
  time.run_for(150);
  EXPECT_FALSE(durable);
  EXPECT_TRUE(final_status_found);
}

}  // namespace
}  // namespace seampass::leader
