// Rolling upgrades from the version in production to this one, while jobs run. Leadership changes
// between the two versions, the layout of the task records changes from chunks to segments, and
// then the limits of the state service fall: writes per second, the size of a value, and the number
// of changes in a transaction.
#include "fakes/rolling_upgrade.h"

#include "leader/records/task_record.h"

namespace seampass::fakes {
namespace {

using leader::Layout;
using leader::TaskRecord;

// A controller of the production version cannot read segments, so task records stay in chunks until
// every controller is upgraded. Only then does the leader write the key `cluster`, and segments.
TEST_F(RollingUpgrade, SegmentsAreWrittenOnlyOnceAllNodesAreUpgraded) {
  SimulatedCluster cluster(1, 6, kFallingLimits, {"n0", "n1", "n2"});
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", wide_job("wk-1", 100, 100));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  for (const char* node : {"n0", "n1"}) {
    cluster.upgrade(node);
    cluster.time.run_for(20000);
    EXPECT_FALSE(cluster.state.has("cluster"));
    EXPECT_EQ(segments(cluster), 0);
    EXPECT_GT(chunks(cluster), 0);
  }
  cluster.upgrade("n2");
  cluster.time.run_for(20000);
  EXPECT_TRUE(cluster.state.has("cluster"));
  cluster.submit("n0", wide_job("wk-2", 100, 100));
  ASSERT_TRUE(cluster.reaches("wk-2", "running", 200000));
  EXPECT_GT(segments(cluster), 0);
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 400000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 400000));
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.state.count("work/"), 0u);
  cluster.expect_no_violations();
}

// Before each node is upgraded, the current leader is killed and restarted. Leadership may
// therefore pass from the production version to the new one and back, while arrays, gangs and
// cancelled jobs are open.
TEST_F(RollingUpgrade, JobsSurviveLeadershipChangesBetweenVersions) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    SimulatedCluster cluster(seed, 6, kFallingLimits, {"n0", "n1", "n2"});
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.submit("n0", wide_job("wk-1", 60, 12));
    cluster.submit("n1", gang_job("wk-2", 2, 60));
    cluster.submit("n2", array_job("wk-3", 20, 300));
    cluster.time.run_for(12000);
    for (const char* node : {"n1", "n0", "n2"}) {
      cluster.cancel_without_waiting(node, "wk-3");
      const std::string old_leader = cluster.leader();
      if (!old_leader.empty()) cluster.kill(old_leader);
      cluster.time.run_for(1500 * seed);
      if (!old_leader.empty()) cluster.start(old_leader);
      cluster.upgrade(node);
      cluster.time.run_for(9000);
    }
    EXPECT_TRUE(cluster.reaches("wk-1", "done", 300000));
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 300000));
    EXPECT_TRUE(cluster.reaches("wk-3", "withdrawn", 100000) ||
                cluster.cancel_until_final("n0", "wk-3", 60000).stage() == "withdrawn");
    cluster.expect_no_violations();
  }
}

// While the leader replaces chunks by segments, it crashes after one to five transactions that
// write segments. The next leader recovers every task from the chunks and segments that it finds.
TEST_F(RollingUpgrade, LeaderMayCrashAtAnyStepFromChunksToSegments) {
  for (int writes_before_crash = 1; writes_before_crash <= 5; ++writes_before_crash) {
    SimulatedCluster cluster(1, 8, kFallingLimitsWithLargeRecords, {"n2"});
    ASSERT_TRUE(
        submit_and_run_array(cluster, 400, 40000));  // some tasks are done, some are running
    const std::string old_leader = cluster.leader();
    int segment_writes = 0;
    cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
      Delivery delivery;
      if (from == old_leader && call.path == "/txn" &&
          call.body.find("work/wk-1/s") != std::string::npos &&
          ++segment_writes > writes_before_crash)
        delivery.drop = true;
      return delivery;
    });
    cluster.upgrade("n2");
    for (int i = 0; i < 20000 && segment_writes <= writes_before_crash; ++i)
      cluster.time.run_for(1);
    EXPECT_GT(segment_writes, writes_before_crash);
    cluster.kill(old_leader);
    cluster.net.set_rule({});
    cluster.time.run_for(12000);
    cluster.start(old_leader);
    EXPECT_TRUE(cluster.reaches("wk-1", "done", 600000));
    cluster.time.run_for(5000);
    EXPECT_EQ(cluster.state.count("work/"), 0u);
    cluster.expect_no_violations();
  }
}

// This version takes over records that the version in production wrote. Finished tasks stay
// finished. The records also name attempts on machines that send no heartbeats: their tasks are not
// started again before these attempts are proven absent.
TEST_F(RollingUpgrade, RecoversRecordsOfTheProductionVersion) {
  for (const bool segments_in_use : {false, true}) {
    SimulatedCluster cluster(1, 10, kFallingLimits, {"n0", "n1", "n2"});
    leave_production_records(cluster);
    if (segments_in_use) leave_segments_in_use(cluster);
    for (std::uint32_t task = 0; task < 128; ++task)
      cluster.checker.finished.insert({"wk-1", task});
    cluster.time.run_for(5000);
    ASSERT_FALSE(cluster.leader().empty());
    for (int i = 0; i < 6; ++i) cluster.cloud.boot({"big", i % 2 == 0 ? "a" : "b", false}, 10);
    cluster.time.run_for(12000);
    EXPECT_EQ(cluster.poll("n0", "wk-1").body.value("done", 0), 128);
    EXPECT_EQ(cluster.start_count(), 0);  // nothing starts before the workers' leases expire
    EXPECT_TRUE(cluster.reaches("wk-1", "done", 200000));
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
    cluster.time.run_for(5000);
    EXPECT_EQ(cluster.state.count("work/"), 0u);
    cluster.expect_no_violations();
  }
}

// A former leader wrote a segment, but ended before it deleted the chunk that the segment replaces.
// The next leader uses the segment, and does not wait for attempts that only the chunk names.
TEST_F(RollingUpgrade, SegmentTakesPrecedenceOverChunk) {
  SimulatedCluster cluster(1, 10, kFallingLimits);
  leave_production_records(cluster);
  leave_segments_in_use(cluster);
  TaskRecord segment;
  segment.id = {Layout::segments, 3};
  segment.range = {126, 140};
  segment.last_attempt = 18;
  segment.team = "blue";
  segment.job_tasks = 140;
  segment.finished.assign(14, true);
  cluster.put("work/wk-1/s3", leader::encode(segment));
  for (std::uint32_t task = 0; task < 140; ++task) cluster.checker.finished.insert({"wk-1", task});
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 15000));
  cluster.time.run_for(3000);
  EXPECT_EQ(cluster.state.count("work/wk-1/"), 0u);
  cluster.expect_no_violations();
}

// The limits of the state service fall at different times after the last node is upgraded, while
// large records of the chunk layout still exist. Every job still ends, and the leader stays the
// same.
TEST_F(RollingUpgrade, JobsEndWhenLimitsFallAfterTheUpgrade) {
  for (const Ms delay : {0, 500, 3000, 15000}) {
    SimulatedCluster cluster(1, 8, kFallingLimitsWithLargeRecords, {"n2"});
    ASSERT_TRUE(submit_and_run_array(cluster, 400, 20000));
    cluster.upgrade("n2");
    cluster.time.run_for(delay);
    cluster.apply_limits(kFallingLimitsWithLargeRecords.next);
    const std::string leader_before = cluster.leader();
    cluster.submit("n1", wide_job("wk-2", 60, 10));
    cluster.submit("n1", gang_job("wk-3", 2, 10));
    for (int i = 0; i < 60; ++i) {
      cluster.time.run_for(1000);
      EXPECT_EQ(cluster.leader(), leader_before);
    }
    EXPECT_TRUE(cluster.reaches("wk-1", "done", 600000));
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
    EXPECT_TRUE(cluster.reaches("wk-3", "done", 200000));
    EXPECT_LE(cluster.state.too_large, 3);
    cluster.time.run_for(5000);
    EXPECT_EQ(cluster.state.count("work/"), 0u);
    cluster.expect_no_violations();
  }
}

// The leader is killed just after the last node is upgraded. The limits of the state service fall
// while the next leader is being elected or recovers, and large chunks still exist.
TEST_F(RollingUpgrade, JobsEndWhenLimitsFallDuringElectionOrRecovery) {
  for (const Ms delay : {100, 2500, 4500, 6000}) {
    SimulatedCluster cluster(1, 8, kFallingLimitsWithLargeRecords, {"n2"});
    ASSERT_TRUE(submit_and_run_array(cluster, 200, 20000));
    cluster.upgrade("n2");
    cluster.time.run_for(300);
    const std::string old_leader = cluster.leader();
    if (!old_leader.empty()) cluster.kill(old_leader);
    cluster.time.run_for(delay);
    cluster.apply_limits(kFallingLimitsWithLargeRecords.next);
    cluster.time.run_for(8000);
    if (!old_leader.empty()) cluster.start(old_leader);
    EXPECT_TRUE(cluster.submit_until_accepted("n1", wide_job("wk-2", 60, 10)));
    EXPECT_TRUE(cluster.reaches("wk-1", "done", 600000));
    EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
    cluster.expect_no_violations();
  }
}

// One node is down throughout, so the leader never learns its version. The limits of the state
// service fall only once all controllers are upgraded. The leader therefore finalizes the cluster
// version when the state service refuses a value as too large, and continues with segments.
TEST_F(RollingUpgrade, TooLargeValueFinalizesTheClusterVersion) {
  SimulatedCluster cluster(1, 8, kFallingLimitsWithLargeRecords);
  cluster.kill("n2");
  ASSERT_TRUE(submit_and_run_array(cluster, 400, 20000));
  EXPECT_FALSE(cluster.state.has("cluster"));
  cluster.apply_limits(kFallingLimitsWithLargeRecords.next);
  cluster.submit("n1", wide_job("wk-2", 60, 10));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 600000));
  EXPECT_LE(cluster.state.too_large, 12);
  cluster.expect_no_violations();
}

// One node is down throughout, so the leader never learns its version. Only the new version offers
// dependencies. The leader therefore finalizes the cluster version (key `cluster`) when a user
// submits a job that has some.
TEST_F(RollingUpgrade, SubmittedDependencyFinalizesTheClusterVersion) {
  SimulatedCluster cluster(1, 4, kFallingLimits);
  cluster.kill("n2");
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 2, 5));
  cluster.time.run_for(5000);
  EXPECT_FALSE(cluster.state.has("cluster"));
  auto dependent = array_job("wk-2", 2, 5);
  dependent.dependencies = {"wk-1"};
  cluster.submit("n0", dependent);
  cluster.time.run_for(3000);
  EXPECT_TRUE(cluster.state.has("cluster"));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
  cluster.expect_no_violations();
}

// An unreadable task record may name attempts that are still running. The leader therefore neither
// starts tasks of its job nor reports the job as withdrawn.
TEST_F(RollingUpgrade, UnreadableTaskRecordIsNotTreatedAsMissing) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 2, 300));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.time.run_for(3000);
  const std::string old_leader = cluster.leader();
  cluster.kill(old_leader);
  cluster.put("work/wk-1/s0", {{"attempt", 1}, {"tasks", "none"}});
  // The machines hang and send no heartbeats, so that the leader cannot learn from them which tasks
  // they run.
  for (auto& [name, machine] : cluster.cloud.machines) machine->hang(60000);
  cluster.time.run_for(20000);
  cluster.start(old_leader);
  const int starts_before = cluster.start_count();
  EXPECT_NE(cluster.cancel_until_final(old_leader, "wk-1", 10000).stage(), "withdrawn");
  cluster.time.run_for(90000);
  EXPECT_EQ(cluster.start_count(), starts_before);
  EXPECT_EQ(cluster.poll(old_leader, "wk-1").status, 200);
  cluster.submit("n1", array_job("wk-2", 2, 5));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
