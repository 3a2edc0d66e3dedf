// An upgrade while serving: the version in production and this one side by side and on each other's
// data, then the limits of the state service fall. In simulated time, against our own stand-ins.
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

#include <cstring>

#include "fakes/production_peer.capnp.h"
#include "fakes/world.h"
#include "leader/records/task_record.h"
#include "rpc/peer_codec.h"

namespace seampass::fakes {
namespace {

using leader::Layout;
using leader::RecordId;
using leader::RecordLayout;
using leader::RecordSpans;
using leader::TaskRecord;

const StoreLimits kFalling{{100, 40, 8, 10}, {100, 28, 2, 4}};
const StoreLimits kLargeRecords{{100, 40, 32, 12}, {100, 28, 2, 4}};

// Written by the version in production (its own test world, 8 KiB a value): an array of 140 tasks
// under way, and a gang of which no start was sent yet.
const std::map<std::string, std::string> kProductionRecords{
    {"open/wk-1",
     R"({"created_ms":1700000000508,"job":{"accelerators":1.0,"apart":false,"barrels":null,"blend":"i","cellar":null,"cpus":4.0,"cuvee_class":"k","due_s":null,"expected_s":9.0,"lent_racks":true,"memory_gb":16.0,"owner_crew":"blue","pours":140,"pull_gb":1.0,"rack_every_s":0.0,"rack_s":0.0,"rank":"normal","ref":"wk-1","shape":"sweep","together":false}})"},
    {"open/wk-2",
     R"({"created_ms":1700000095525,"job":{"accelerators":1.0,"apart":false,"barrels":null,"blend":"i","cellar":null,"cpus":8.0,"cuvee_class":"k","due_s":null,"expected_s":100.0,"lent_racks":true,"memory_gb":16.0,"owner_crew":"blue","pours":3,"pull_gb":1.0,"rack_every_s":0.0,"rack_s":0.0,"rank":"normal","ref":"wk-2","shape":"group","together":true}})"},
    {"work/wk-1/0",
     R"({"attempt":16,"cpus":4.0,"finished":"ffffffffffffffffffffffffffffffff","gpus":1.0,"memory":16.0,"of":140,"tasks":[],"team":"blue"})"},
    {"work/wk-1/1",
     R"({"attempt":17,"cpus":4.0,"gpus":1.0,"memory":16.0,"of":140,"tasks":[[128,16,"m-000001",1],[129,16,"m-000001",1],[130,17,"m-000002",1],[131,17,"m-000002",1],[132,17,"m-000003",1],[133,17,"m-000003",1],[134,17,"m-000004",1],[135,17,"m-000004",1],[136,17,"m-000005",1],[137,17,"m-000005",1],[138,17,"m-000006",1],[139,17,"m-000006",1]],"team":"blue"})"},
    {"work/wk-2/0",
     R"({"attempt":1,"cpus":8.0,"gpus":1.0,"memory":16.0,"of":3,"tasks":[[0,1,"m-000009",1],[1,1,"m-000010",1],[2,1,"m-000007",1]],"team":"blue"})"},
};

// Its messages: Accepted, Ask, Answer, Leads, Word.
const std::vector<std::string> kProductionFrames{
    "00000000090000000000000001000100000000000000000000000000010002004d00000000000000050000002a0000"
    "00050000005a000000776b2d31000000007b226a6f62223a7b7d7d000000000000",
    "00000000090000000000000001000100010000000000000000000000020002000c0000000000000001000000000000"
    "00050000002a000000050000001a000000776b2d32000000007b7d000000000000",
    "0000000007000000000000000100010002000000000000000000000004000000090000000000000001000100000000"
    "0003000000000000000400000000000000",
    "0000000005000000000000000100010003000000000000000000000002000000050000000000000006000000000000"
    "00",
    "0000000006000000000000000100010004000000000000000000000003000000070000000000000008000000000000"
    "000900000000000000",
};

std::string bytes_from(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16)));
  return bytes;
}

TEST(Upgrade, MessagesOfProductionAreRead) {
  const auto read = [](std::size_t i) {
    const std::string bytes = bytes_from(kProductionFrames.at(i));
    const rpc::Envelope envelope = rpc::decode(bytes);
    EXPECT_EQ(envelope.version, rpc::kVersionUnsaid);
    return envelope.message;
  };
  const auto accepted = std::get<rpc::JobAccepted>(read(0));
  EXPECT_EQ(accepted.id + accepted.record, R"(wk-1{"job":{}})");
  EXPECT_EQ(accepted.version, 77u);
  const auto ask = std::get<rpc::JobRequest>(read(1));
  EXPECT_EQ(ask.number, 12u);
  EXPECT_TRUE(ask.cancel);
  EXPECT_EQ(std::get<rpc::JobReply>(read(2)).status.running, 4u);
  EXPECT_EQ(std::get<rpc::LeaderAnnouncement>(read(3)).round, 6u);
  EXPECT_EQ(std::get<rpc::EpochConfirmation>(read(4)).up_ms, 9);
}

// With production's own schema: the version that was added does not change what it reads.
TEST(Upgrade, ProductionReadsTheMessagesOfThisVersion) {
  const auto read = [](const rpc::Message& message, const auto& check) {
    const std::string bytes = rpc::encode(message);
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), bytes.size());
    capnp::FlatArrayMessageReader reader(words);
    check(reader.getRoot<production::Envelope>());
  };
  using Envelope = production::Envelope::Reader;
  read(rpc::JobAccepted{"wk-1", "{}", 77}, [](const Envelope& e) {
    EXPECT_EQ(std::string(e.getAccepted().getId().cStr()), "wk-1");
    EXPECT_EQ(e.getAccepted().getVersion(), 77u);
  });
  read(rpc::JobRequest{12, "wk-2", true, "{}"}, [](const Envelope& e) {
    EXPECT_EQ(e.getAsk().getNumber(), 12u);
    EXPECT_TRUE(e.getAsk().getCancel());
  });
  rpc::JobReply answer;
  answer.number = 9;
  answer.lookup = rpc::Lookup::not_found;
  answer.status.stage = wire::Stage::cancelled;
  read(answer, [](const Envelope& e) {
    EXPECT_EQ(e.getAnswer().getVerdict(), production::Answer::Verdict::UNKNOWN);
    EXPECT_EQ(e.getAnswer().getStage(), 3);
  });
  read(rpc::LeaderAnnouncement{5, rpc::kVersionRound}, [](const Envelope& e) {
    EXPECT_EQ(e.getLeads().getWarrant(), 5u);
    EXPECT_EQ(e.getLeads().getRound(), rpc::kVersionRound);
  });
  read(rpc::EpochConfirmation{7, 8, 9},
       [](const Envelope& e) { EXPECT_EQ(e.getWord().getUpMs(), 9); });
}

// How the version in production reads a record: its chunk from the key, finished tasks relative to
// that, assigned tasks by their own numbers. A slow plain copy of what it does.
struct ProductionReader {
  std::uint32_t chunk_tasks = 0;
  std::set<std::uint32_t> finished;
  std::map<std::uint32_t, std::string> assigned;

  void read(const std::string& name, const wire::Json& v) {
    const auto chunk = static_cast<std::uint32_t>(std::stoul(name));
    const std::uint32_t tasks = v.at("of").get<std::uint32_t>();
    for (const char* field : {"attempt", "cpus", "gpus", "memory"}) v.at(field).get<double>();
    v.at("team").get<std::string>();
    const std::string bits = v.value("finished", "");
    for (std::size_t i = 0; i < bits.size() * 4; ++i) {
      const char c = bits[i / 4];
      const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
      const std::uint32_t task = chunk * chunk_tasks + static_cast<std::uint32_t>(i);
      if ((digit >> (i % 4) & 1) != 0 && task < tasks) finished.insert(task);
    }
    for (const wire::Json& t : v.at("tasks"))
      if (t.at(0).get<std::uint32_t>() < tasks)
        assigned.emplace(t.at(0).get<std::uint32_t>(), t.at(2).get<std::string>());
  }
};

TEST(Upgrade, ProductionReadsTheChunksOfThisVersion) {
  RecordLayout layout(RecordSpans::for_values(8, 2));
  for (std::uint32_t index = 0; index < 2; ++index) {
    TaskRecord record;
    record.id = {Layout::chunks, index};
    record.range = layout.range(record.id, 200);
    record.team = "blue";
    record.job_tasks = 200;
    record.finished.assign(record.range.end - record.range.first, false);
    record.finished[5] = record.finished.back() = true;
    record.assignments = {{record.range.first + 7, 3, "m-000001", 2}};
    ProductionReader reader{128, {}, {}};
    reader.read(leader::record_name(record.id), leader::encode(record));
    EXPECT_EQ(reader.finished,
              (std::set<std::uint32_t>{record.range.first + 5, record.range.end - 1}));
    EXPECT_EQ(reader.assigned.size(), 1u);
    EXPECT_TRUE(reader.assigned.contains(record.range.first + 7));
  }
}

TEST(Upgrade, RecordsComeBackAsTheyWere) {
  RecordLayout layout(RecordSpans::for_values(32, 2));
  layout.use(Layout::segments, layout.spans());
  for (const std::uint32_t task : {0U, 41U, 42U, 511U, 512U, 99999U}) {
    const RecordId id = layout.record_of(task);
    EXPECT_TRUE(layout.range(id, 100000).contains(task));
    EXPECT_TRUE(layout.range(layout.chunk_of(task), 100000).contains(task));
    EXPECT_EQ(leader::record_id_from(leader::record_name(id)), id);
  }
  for (const char* bad : {"", "s", "x1", "1x", "s1x", "-1", "99999999999"})
    EXPECT_FALSE(leader::record_id_from(bad)) << bad;
  const wire::Json good = wire::Json::parse(
      R"({"attempt":3,"cpus":1.0,"gpus":0.0,"memory":2.0,"team":"t","of":5,"tasks":[[1,2,"m-1",1]]})");
  EXPECT_EQ(leader::decode_task_record({}, good, layout).assignments.size(), 1u);
  const auto refuses = [&](const char* field, const wire::Json& value) {
    wire::Json bad = good;
    bad[field] = value;
    EXPECT_THROW(leader::decode_task_record({}, bad, layout), wire::Malformed) << field;
  };
  const auto json = [](const char* text) { return wire::Json::parse(text); };
  refuses("attempt", json("\"3\""));
  refuses("of", json("1e9"));
  refuses("of", json("1073741824"));
  refuses("tasks", json("[[7,2,\"m-1\",1]]"));
  refuses("tasks", json("[[1,2,\"m-1\"]]"));
  refuses("tasks", json("3"));
  refuses("finished", json("\"zz\""));
  refuses("finished", json("\"00000f\""));
  refuses("span", json("6"));
  EXPECT_THROW(leader::decode_task_record({}, "text", layout), wire::Malformed);
}

// A segment fits the smallest value with the longest ordinary names and numbers.
TEST(Upgrade, FullSegmentsFitTheSmallestValue) {
  RecordLayout layout(RecordSpans::for_values(32, 2));
  layout.use(Layout::segments, layout.spans());
  TaskRecord record;
  record.id = layout.record_of(99990);
  record.range = layout.range(record.id, 100000);
  record.last_attempt = 9999;
  record.team = std::string(200, 't');
  record.request = {123.456, 12.345, 1234.567};
  record.job_tasks = 100000;
  record.finished.assign(record.range.end - record.range.first, true);
  for (std::uint32_t task = record.range.first; task < record.range.end; ++task)
    record.assignments.push_back({task, 9999, "m-0000000123", 9999});
  EXPECT_LE(leader::encode(record).dump().size(), 2048u * 15 / 16);
}

TEST(Upgrade, RecordsOfProductionAreRead) {
  const RecordLayout layout(RecordSpans::for_values(8, 2));
  const auto read = [&](const std::string& key) {
    const auto id = leader::record_id_from(key.substr(key.rfind('/') + 1));
    return leader::decode_task_record(*id, wire::Json::parse(kProductionRecords.at(key)), layout);
  };
  const TaskRecord first = read("work/wk-1/0");
  EXPECT_EQ(first.range.first, 0u);
  EXPECT_EQ(first.finished, std::vector<bool>(128, true));
  const TaskRecord second = read("work/wk-1/1");
  EXPECT_EQ(second.range.first, 128u);
  EXPECT_EQ(second.range.end, 140u);
  EXPECT_EQ(second.finished, std::vector<bool>(12, false));
  EXPECT_EQ(second.assignments.size(), 12u);
  EXPECT_EQ(second.assignments.front().machine, "m-000001");
  EXPECT_EQ(read("work/wk-2/0").assignments.size(), 3u);
}

// Without accelerators, so that many tasks run at a time within the team's limit.
wire::Job wide_job(const std::string& id, std::uint32_t tasks, double run_s) {
  wire::Job job = array_job(id, tasks, run_s);
  job.cpus = 1;
  job.gpus = 0;
  job.memory_gb = 1;
  return job;
}

class RollingUpgrade : public ::testing::Test {
 protected:
  // An array of `tasks` has been at work for so long.
  static bool begin_array(SimulatedCluster& w, std::uint32_t tasks, Ms at_work) {
    if (!w.settle()) return false;
    w.submit("n0", wide_job("wk-1", tasks, 25));
    const bool running = w.reaches("wk-1", "running", 30000);
    w.time.run_for(at_work);
    return running;
  }
  // What production left, on machines that are listed and that nobody hears.
  static void leave_production_records(SimulatedCluster& w) {
    w.time.run_for(20);
    w.cloud.machines.clear();
    for (const auto& [key, value] : kProductionRecords) w.put(key, wire::Json::parse(value));
    w.checker.jobs["wk-1"].spec = array_job("wk-1", 140, 9);
    w.checker.jobs["wk-2"].spec = gang_job("wk-2", 3, 10);
  }
  static void leave_segments_in_use(SimulatedCluster& w) {
    w.put("cluster", {{"version", 1}, {"segment_tasks", 42}, {"chunk_tasks", 128}});
  }
  static int segments(const SimulatedCluster& w) {
    return static_cast<int>(w.state.count("work/") - chunks(w));
  }
  static int chunks(const SimulatedCluster& w) {
    int n = 0;
    const std::string all = w.state.dump("work/");
    for (std::size_t at = 0; (at = all.find("work/", at)) != std::string::npos; ++at) {
      const auto slash = all.find('/', at + 5);
      n += std::isdigit(static_cast<unsigned char>(all[slash + 1])) != 0 ? 1 : 0;
    }
    return n;
  }
};

TEST_F(RollingUpgrade, SegmentsOnlyOnceAllSayThatTheyAreNew) {
  SimulatedCluster w(1, 6, kFalling, {"n0", "n1", "n2"});
  ASSERT_TRUE(w.settle());
  w.submit("n0", wide_job("wk-1", 100, 100));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  for (const char* node : {"n0", "n1"}) {
    w.upgrade(node);
    w.time.run_for(20000);
    EXPECT_FALSE(w.state.has("cluster"));
    EXPECT_EQ(segments(w), 0);
    EXPECT_GT(chunks(w), 0);
  }
  w.upgrade("n2");
  w.time.run_for(20000);
  EXPECT_TRUE(w.state.has("cluster"));
  w.submit("n0", wide_job("wk-2", 100, 100));
  ASSERT_TRUE(w.reaches("wk-2", "running", 200000));
  EXPECT_GT(segments(w), 0);
  EXPECT_TRUE(w.reaches("wk-1", "done", 400000));
  EXPECT_TRUE(w.reaches("wk-2", "done", 400000));
  w.time.run_for(5000);
  EXPECT_EQ(w.state.count("work/"), 0u);
  w.expect_rules();
}

// Old follows new and new follows old, at each turn of the upgrade and back, with arrays, gangs and
// cancelled jobs under way.
TEST_F(RollingUpgrade, LeadershipChangesBetweenVersions) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    SimulatedCluster w(seed, 6, kFalling, {"n0", "n1", "n2"});
    ASSERT_TRUE(w.settle());
    w.submit("n0", wide_job("wk-1", 60, 12));
    w.submit("n1", gang_job("wk-2", 2, 60));
    w.submit("n2", array_job("wk-3", 20, 300));
    w.time.run_for(12000);
    for (const char* node : {"n1", "n0", "n2"}) {
      w.cancel_soon(node, "wk-3");
      const std::string old = w.leader();
      if (!old.empty()) w.kill(old);
      w.time.run_for(1500 * seed);
      if (!old.empty()) w.start(old);
      w.upgrade(node);
      w.time.run_for(9000);
    }
    EXPECT_TRUE(w.reaches("wk-1", "done", 300000));
    EXPECT_TRUE(w.reaches("wk-2", "done", 300000));
    EXPECT_TRUE(w.reaches("wk-3", "withdrawn", 100000) ||
                w.cancel_until_told("n0", "wk-3", 60000).stage() == "withdrawn");
    w.expect_rules();
  }
}

// A leader ends after any transaction of the change of layout: the next one counts what is there.
TEST_F(RollingUpgrade, EachStepFromChunksToSegmentsIsSafeToStopAfter) {
  for (int stop_after = 1; stop_after <= 5; ++stop_after) {
    SimulatedCluster w(1, 8, kLargeRecords, {"n2"});
    ASSERT_TRUE(begin_array(w, 400, 40000));  // some are done, some at work
    const std::string old = w.leader();
    int written = 0;
    w.net.set_rule([&](const std::string& from, const net::Call& c) {
      Delivery f;
      if (from == old && c.path == "/txn" && c.body.find("work/wk-1/s") != std::string::npos &&
          ++written > stop_after)
        f.never = true;
      return f;
    });
    w.upgrade("n2");
    for (int i = 0; i < 20000 && written <= stop_after; ++i) w.time.run_for(1);
    EXPECT_GT(written, stop_after);
    w.kill(old);
    w.net.set_rule({});
    w.time.run_for(12000);
    w.start(old);
    EXPECT_TRUE(w.reaches("wk-1", "done", 600000));
    w.time.run_for(5000);
    EXPECT_EQ(w.state.count("work/"), 0u);
    w.expect_rules();
  }
}

// This version takes over from one in production: what is finished stays so, the tasks at work on
// machines that nobody hears are not started again before they are surely off.
TEST_F(RollingUpgrade, RecoversWhatProductionLeft) {
  for (const bool segments_first : {false, true}) {
    SimulatedCluster w(1, 10, kFalling, {"n0", "n1", "n2"});
    leave_production_records(w);
    if (segments_first) leave_segments_in_use(w);
    for (std::uint32_t task = 0; task < 128; ++task) w.checker.done.insert({"wk-1", task});
    w.time.run_for(5000);
    ASSERT_FALSE(w.leader().empty());
    for (int i = 0; i < 6; ++i) w.cloud.boot("big", i % 2 == 0 ? "a" : "b", false, 10);
    w.time.run_for(12000);
    EXPECT_EQ(w.poll("n0", "wk-1").body.value("done", 0), 128);
    EXPECT_EQ(w.starts(), 0);  // not before the workers' leases are over
    EXPECT_TRUE(w.reaches("wk-1", "done", 200000));
    EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
    w.time.run_for(5000);
    EXPECT_EQ(w.state.count("work/"), 0u);
    w.expect_rules();
  }
}

// A former leader wrote a segment and did not get to delete the chunk: what the segment says
// counts, and no attempt of the chunk is waited for.
TEST_F(RollingUpgrade, ASegmentCountsBeforeTheChunk) {
  SimulatedCluster w(1, 10, kFalling);
  leave_production_records(w);
  leave_segments_in_use(w);
  TaskRecord segment;
  segment.id = {Layout::segments, 3};
  segment.range = {126, 140};
  segment.last_attempt = 18;
  segment.team = "blue";
  segment.job_tasks = 140;
  segment.finished.assign(14, true);
  w.put("work/wk-1/s3", leader::encode(segment));
  for (std::uint32_t task = 0; task < 140; ++task) w.checker.done.insert({"wk-1", task});
  EXPECT_TRUE(w.reaches("wk-1", "done", 15000));
  w.time.run_for(3000);
  EXPECT_EQ(w.state.count("work/wk-1/"), 0u);
  w.expect_rules();
}

// The limits fall at several moments after the last turn, with large records of the old layout
// about: nothing stands still, and the leader keeps its lease.
TEST_F(RollingUpgrade, LimitsFallWithoutNotice) {
  for (const Ms after : {0, 500, 3000, 15000}) {
    SimulatedCluster w(1, 8, kLargeRecords, {"n2"});
    ASSERT_TRUE(begin_array(w, 400, 20000));
    w.upgrade("n2");
    w.time.run_for(after);
    w.apply_limits(kLargeRecords.next);
    const std::string leading = w.leader();
    w.submit("n1", wide_job("wk-2", 60, 10));
    w.submit("n1", gang_job("wk-3", 2, 10));
    for (int i = 0; i < 60; ++i) {
      w.time.run_for(1000);
      EXPECT_EQ(w.leader(), leading);
    }
    EXPECT_TRUE(w.reaches("wk-1", "done", 600000));
    EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
    EXPECT_TRUE(w.reaches("wk-3", "done", 200000));
    EXPECT_LE(w.state.too_large, 3);
    w.time.run_for(5000);
    EXPECT_EQ(w.state.count("work/"), 0u);
    w.expect_rules();
  }
}

TEST_F(RollingUpgrade, LimitsFallDuringARecoveryOrAnElection) {
  for (const Ms after : {100, 2500, 4500, 6000}) {
    SimulatedCluster w(1, 8, kLargeRecords, {"n2"});
    ASSERT_TRUE(begin_array(w, 200, 20000));
    w.upgrade("n2");
    w.time.run_for(300);
    const std::string old = w.leader();
    if (!old.empty()) w.kill(old);
    w.time.run_for(after);
    w.apply_limits(kLargeRecords.next);
    w.time.run_for(8000);
    if (!old.empty()) w.start(old);
    EXPECT_TRUE(w.submit_until_accepted("n1", wide_job("wk-2", 60, 10)));
    EXPECT_TRUE(w.reaches("wk-1", "done", 600000));
    EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
    w.expect_rules();
  }
}

// One peer can't be heard all along, and the limits fall: a value that is not taken says that the
// upgrade is over.
TEST_F(RollingUpgrade, LimitsFallWhileAPeerIsSilent) {
  SimulatedCluster w(1, 8, kLargeRecords);
  w.kill("n2");
  ASSERT_TRUE(begin_array(w, 400, 20000));
  EXPECT_FALSE(w.state.has("cluster"));
  w.apply_limits(kLargeRecords.next);
  w.submit("n1", wide_job("wk-2", 60, 10));
  EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
  EXPECT_TRUE(w.reaches("wk-1", "done", 600000));
  EXPECT_LE(w.state.too_large, 12);
  w.expect_rules();
}

// So does a submission with dependencies.
TEST_F(RollingUpgrade, ADependencySaysThatTheUpgradeIsOver) {
  SimulatedCluster w(1, 4, kFalling);
  w.kill("n2");
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 2, 5));
  w.time.run_for(5000);
  EXPECT_FALSE(w.state.has("cluster"));
  auto second = array_job("wk-2", 2, 5);
  second.dependencies = {"wk-1"};
  w.submit("n0", second);
  w.time.run_for(3000);
  EXPECT_TRUE(w.state.has("cluster"));
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  w.expect_rules();
}

// A record that can't be read may hold attempts that are at work: its job is neither started nor
// called cancelled.
TEST_F(RollingUpgrade, AnUnreadableRecordIsNotTakenForNone) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 2, 300));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(3000);
  const std::string old = w.leader();
  w.kill(old);
  w.put("work/wk-1/s0", {{"attempt", 1}, {"tasks", "none"}});
  // The machines that ran it are silent, so that nothing tells of the tasks.
  for (auto& [name, machine] : w.cloud.machines) machine->hang(60000);
  w.time.run_for(20000);
  w.start(old);
  const int before = w.starts();
  EXPECT_NE(w.cancel_until_told(old, "wk-1", 10000).stage(), "withdrawn");
  w.time.run_for(90000);
  EXPECT_EQ(w.starts(), before);
  EXPECT_EQ(w.poll(old, "wk-1").status, 200);
  w.submit("n1", array_job("wk-2", 2, 5));
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  w.expect_rules();
}

}  // namespace
}  // namespace seampass::fakes
