// An upgrade while serving: leadership changes between the versions, the layout of the records
// changes, then the limits of the state service fall.
#include "fakes/rolling_upgrade.h"

#include "leader/records/task_record.h"

namespace seampass::fakes {
namespace {

using leader::Layout;
using leader::TaskRecord;

TEST_F(RollingUpgrade, SegmentsOnlyOnceAllSayThatTheyAreNew) {
  SimulatedCluster w(1, 6, kFalling, {"n0", "n1", "n2"});
  ASSERT_TRUE(w.wait_for_leader());
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
  w.expect_no_violations();
}

// Old follows new and new follows old, at each turn of the upgrade and back, with arrays, gangs and
// cancelled jobs under way.
TEST_F(RollingUpgrade, LeadershipChangesBetweenVersions) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    SimulatedCluster w(seed, 6, kFalling, {"n0", "n1", "n2"});
    ASSERT_TRUE(w.wait_for_leader());
    w.submit("n0", wide_job("wk-1", 60, 12));
    w.submit("n1", gang_job("wk-2", 2, 60));
    w.submit("n2", array_job("wk-3", 20, 300));
    w.time.run_for(12000);
    for (const char* node : {"n1", "n0", "n2"}) {
      w.cancel_without_waiting(node, "wk-3");
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
                w.cancel_until_final("n0", "wk-3", 60000).stage() == "withdrawn");
    w.expect_no_violations();
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
        f.drop = true;
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
    w.expect_no_violations();
  }
}

// This version takes over from one in production: what is finished stays so, the tasks at work on
// machines that nobody hears are not started again before they are surely off.
TEST_F(RollingUpgrade, RecoversWhatProductionLeft) {
  for (const bool segments_first : {false, true}) {
    SimulatedCluster w(1, 10, kFalling, {"n0", "n1", "n2"});
    leave_production_records(w);
    if (segments_first) leave_segments_in_use(w);
    for (std::uint32_t task = 0; task < 128; ++task) w.checker.finished.insert({"wk-1", task});
    w.time.run_for(5000);
    ASSERT_FALSE(w.leader().empty());
    for (int i = 0; i < 6; ++i) w.cloud.boot({"big", i % 2 == 0 ? "a" : "b", false}, 10);
    w.time.run_for(12000);
    EXPECT_EQ(w.poll("n0", "wk-1").body.value("done", 0), 128);
    EXPECT_EQ(w.start_count(), 0);  // not before the workers' leases are over
    EXPECT_TRUE(w.reaches("wk-1", "done", 200000));
    EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
    w.time.run_for(5000);
    EXPECT_EQ(w.state.count("work/"), 0u);
    w.expect_no_violations();
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
  for (std::uint32_t task = 0; task < 140; ++task) w.checker.finished.insert({"wk-1", task});
  EXPECT_TRUE(w.reaches("wk-1", "done", 15000));
  w.time.run_for(3000);
  EXPECT_EQ(w.state.count("work/wk-1/"), 0u);
  w.expect_no_violations();
}

// The limits fall at several moments after the last turn, with large records of the old layout
// about: every job proceeds, and the leader keeps its lease.
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
    w.expect_no_violations();
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
    w.expect_no_violations();
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
  w.expect_no_violations();
}

// So does a submission with dependencies.
TEST_F(RollingUpgrade, ADependencySaysThatTheUpgradeIsOver) {
  SimulatedCluster w(1, 4, kFalling);
  w.kill("n2");
  ASSERT_TRUE(w.wait_for_leader());
  w.submit("n0", array_job("wk-1", 2, 5));
  w.time.run_for(5000);
  EXPECT_FALSE(w.state.has("cluster"));
  auto second = array_job("wk-2", 2, 5);
  second.dependencies = {"wk-1"};
  w.submit("n0", second);
  w.time.run_for(3000);
  EXPECT_TRUE(w.state.has("cluster"));
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  w.expect_no_violations();
}

// A record that can't be read may hold attempts that are at work: its job is neither started nor
// called cancelled.
TEST_F(RollingUpgrade, AnUnreadableRecordIsNotTakenForNone) {
  SimulatedCluster w;
  ASSERT_TRUE(w.wait_for_leader());
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
  const int before = w.start_count();
  EXPECT_NE(w.cancel_until_final(old, "wk-1", 10000).stage(), "withdrawn");
  w.time.run_for(90000);
  EXPECT_EQ(w.start_count(), before);
  EXPECT_EQ(w.poll(old, "wk-1").status, 200);
  w.submit("n1", array_job("wk-2", 2, 5));
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  w.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
