#include "leader/records/record_store.h"

#include <gtest/gtest.h>

#include "fakes/sim_net.h"
#include "fakes/state_service.h"
#include "leader/records/keys.h"

namespace seampass::leader {
namespace {

using fakes::Delivery;

class RecordStoreTest : public ::testing::Test {
 protected:
  RecordStoreTest()
      : net(time, 5),
        service(time),
        process(time),
        http(net, "n0", process.alive()),
        client(process, http, "state:1", 1000, 1000, 500),
        records(process, client, {1000, 1000, 8, 10},
                {.render = [this](const std::string&, const RecordId&) { return value; },
                 .on_fenced = [this] { fenced = true; },
                 .on_final_status_found = [this](const std::string&,
                                                 wire::Stage) { ended_elsewhere = true; },
                 .on_value_too_large = [this] { rejected = true; }}) {
    net.serve("state:1", [this](const net::Request& request, net::Answer answer) {
      service.handle(request, std::move(answer));
    });
    put(kLeaderKey, {{"node", "n0"}});
    records.start_term(revision);
  }
  void put(const std::string& key, const wire::Json& json) {
    state::Txn txn;
    txn.changes.push_back({key, json, 0});
    client.txn(std::move(txn), state::Urgency::final_status,
               [this](const state::TxnResult& result) { revision = result.revision; });
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
  std::optional<wire::Json> value = wire::Json{{"n", 1}};
  bool fenced = false, ended_elsewhere = false, rejected = false;
  const RecordId chunk{Layout::chunks, 0};
  RecordStore records;
  state::Version revision = 0;
};

TEST_F(RecordStoreTest, LostAnswerIsReadBackAndReportedOnce) {
  int lost = 0, durable = 0;
  net.set_rule([&](const std::string&, const net::Call& call) {
    Delivery delivery;
    delivery.lose_answer = call.path == "/txn" && lost++ == 0;
    return delivery;
  });
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { ++durable; });
  time.run_for(5000);
  EXPECT_EQ(durable, 1);
  EXPECT_EQ(stored("work/wk-1/0"), (wire::Json{{"n", 1}}));
  EXPECT_TRUE(records.settled("wk-1", chunk));
}

TEST_F(RecordStoreTest, LateWriteCannotUndoANewerOne) {
  int sent = 0, durable = 0;
  net.set_rule([&](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (call.path == "/txn" && sent++ == 0) delivery.late = 20000;
    return delivery;
  });
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { ++durable; });
  time.run_for(1000);
  value = wire::Json{{"n", 2}};
  records.write("wk-1", chunk, state::Urgency::progress, [&] { ++durable; });
  time.run_for(5000);
  EXPECT_EQ(durable, 2);
  time.run_for(30000);  // the first is applied now, or rather not
  EXPECT_EQ(stored("work/wk-1/0"), (wire::Json{{"n", 2}}));
}

// More is to be written than the service takes: what of a job waits behind all of that does not
// hold up its end, and goes with it in one transaction.
TEST_F(RecordStoreTest, AnEndDoesNotWaitForProgressOfItsJob) {
  state::Client slow(process, http, "state:1", 1000, 4, 500);
  RecordStore busy(process, slow, {1000, 4, 8, 10},
                   {.render = [this](const std::string&, const RecordId&) { return value; },
                    .on_fenced = [] {},
                    .on_final_status_found = [](const std::string&, wire::Stage) {},
                    .on_value_too_large = [] {}});
  busy.start_term(revision);
  for (int i = 10; i < 40; ++i)
    busy.write("wk-" + std::to_string(i), chunk, state::Urgency::assignment);
  bool recorded = false, ended = false;
  put("open/wk-1", {{"n", 1}});
  const state::Version open = revision;
  busy.write("wk-1", chunk, state::Urgency::progress, [&] { recorded = true; });
  busy.write_final_status("wk-1", open, wire::Stage::done, 1, state::Urgency::final_status,
                          [&](wire::Stage) { ended = true; });
  time.run_for(1500);
  EXPECT_TRUE(ended);
  EXPECT_TRUE(recorded);
  EXPECT_TRUE(service.has("ends/wk-1"));
  EXPECT_FALSE(service.has("work/wk-39/0"));
}

TEST_F(RecordStoreTest, FormerLeaderWritesNothing) {
  put(kLeaderKey, {{"node", "n1"}});
  bool durable = false;
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { durable = true; });
  time.run_for(2000);
  EXPECT_TRUE(fenced);
  EXPECT_FALSE(durable);
  EXPECT_FALSE(service.has("work/wk-1/0"));
}

TEST_F(RecordStoreTest, FirstFinalStatusStands) {
  put("ends/wk-1", {{"stage", "withdrawn"}, {"done", 0}});
  wire::Stage stage = wire::Stage::queued;
  records.write_final_status("wk-1", 3, wire::Stage::done, 2, state::Urgency::final_status,
                             [&](wire::Stage actual) { stage = actual; });
  time.run_for(3000);
  EXPECT_EQ(stage, wire::Stage::cancelled);
}

TEST_F(RecordStoreTest, NoStartIsRecordedAfterAFinalStatus) {
  put("ends/wk-1", {{"stage", "withdrawn"}, {"done", 0}});
  bool durable = false;
  records.write("wk-1", chunk, state::Urgency::assignment, [&] { durable = true; });
  time.run_for(150);
  EXPECT_FALSE(durable);
  EXPECT_TRUE(ended_elsewhere);
}

}  // namespace
}  // namespace seampass::leader
