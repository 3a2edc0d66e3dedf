// Tests when a job with dependencies starts, and which job runs first.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Four jobs whose dependencies form a diamond are submitted through different nodes, without a
// pause. Each job starts once its dependencies are done.
TEST(Dependencies, DependentsStartAfterTheirDependencies) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 3, 8)).status, 201);
  ASSERT_EQ(cluster.submit("n1", with_dependencies(array_job("wk-2", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(cluster.submit("n2", with_dependencies(gang_job("wk-3", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(
      cluster.submit("n0", with_dependencies(array_job("wk-4", 1, 3), {"wk-2", "wk-3"})).status,
      201);
  EXPECT_EQ(cluster.poll("n1", "wk-4").stage(), "queued");
  EXPECT_TRUE(cluster.reaches("wk-4", "done", 90000));
  // wk-5 is submitted when its dependencies are already done, and then a second time.
  ASSERT_EQ(
      cluster.submit("n1", with_dependencies(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status,
      201);
  EXPECT_TRUE(cluster.reaches("wk-5", "done", 60000));
  EXPECT_EQ(
      cluster.submit("n2", with_dependencies(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status,
      200);
  cluster.expect_no_violations();
}

// The final status of a job triggers the start of its dependents. These do not wait for the
// leader's next periodic scheduling run, and start well within a heartbeat interval.
TEST(Dependencies, DependentStartsAtOnce) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 1, 10), array_job("wk-2", 1, 10)});
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  while (!cluster.state.has("ends/wk-1") && cluster.time.now() < 60000) cluster.time.run_for(10);
  const Ms ended_at = cluster.time.now();
  while (cluster.running_tasks("wk-2") == 0 && cluster.time.now() - ended_at < 20000)
    cluster.time.run_for(10);
  EXPECT_LT(cluster.time.now() - ended_at, 1000);  // the machine has already loaded the image
  cluster.expect_no_violations();
}

// A job that waits for its dependencies uses none of its team's quota, and no machines are started
// for it. If waiting jobs used quota, they alone could use up all of it, and the team could never
// start anything.
TEST(Dependencies, WaitingJobsUseNoQuotaAndNoMachines) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 40));
  for (int i = 10; i < 20; ++i)
    cluster.submit("n0", with_dependencies(gang_job("wk-" + std::to_string(i), 4, 5), {"wk-1"}));
  const std::size_t machines_before = cluster.cloud.machines.size();
  cluster.submit("n1", array_job("wk-2", 8, 5));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 39000));
  EXPECT_LE(cluster.cloud.machines.size(), machines_before + 1);
  cluster.expect_no_violations();
}

// A new leader reads the final statuses that its predecessors wrote. It starts no dependent before
// it knows that the dependencies are done.
TEST(Dependencies, DependentsSurviveFailovers) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  for (int chain = 0; chain < 4; ++chain) {
    std::vector<wire::Job> jobs;
    for (int i = 1; i <= 5; ++i)
      jobs.push_back(array_job("wk-" + std::to_string(chain * 10 + i), 2, 6));
    submit_chain(cluster, jobs);
  }
  for (int i = 0; i < 4; ++i) {
    cluster.time.run_for(9000 + 700 * i);
    const std::string old_leader = cluster.leader();
    if (old_leader.empty()) continue;
    cluster.kill(old_leader);
    cluster.time.run_for(3000);
    cluster.start(old_leader);
  }
  for (int chain = 0; chain < 4; ++chain)
    EXPECT_TRUE(cluster.reaches("wk-" + std::to_string(chain * 10 + 5), "done", 240000));
  cluster.expect_no_violations();
}

// All tasks of a job have finished, but its final status `done` is not yet stored. No dependent may
// start: the next leader does not know of this `done`, and may continue to run the job.
TEST(Dependencies, DependentsWaitForTheDurableFinalStatus) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 1, 6), array_job("wk-2", 1, 6)});
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.net.set_rule([](const std::string&, const net::Call& call) {
    Delivery delivery;
    if (call.body.find("\"write\":\"ends/") != std::string::npos) delivery.status = 503;
    return delivery;
  });
  cluster.time.run_for(20000);
  EXPECT_EQ(cluster.unfinished_tasks("wk-1"), 0);
  EXPECT_EQ(cluster.checker.starts.count({"wk-2", 0}), 0u);
  cluster.net.set_rule({});
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 60000));
  cluster.expect_no_violations();
}

// A job of low priority runs before jobs of normal priority if a job of high priority depends on
// it.
TEST(Dependencies, InheritThePriorityOfTheirDependents) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  // Each of these jobs needs the whole quota of its team, so that only one can run at a time.
  const auto full_quota_job = [](const char* id, wire::Priority priority) {
    wire::Job job = array_job(id, 4, 10);
    job.team = "red";
    job.gpus = 2;
    job.priority = priority;
    return job;
  };
  cluster.submit("n0", full_quota_job("wk-1", wire::Priority::normal));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.submit("n0", full_quota_job("wk-2", wire::Priority::normal));
  cluster.submit("n0", full_quota_job("wk-3", wire::Priority::low));
  cluster.submit("n0", with_dependencies(full_quota_job("wk-4", wire::Priority::high), {"wk-3"}));
  while (cluster.checker.starts.count({"wk-3", 0}) == 0 && cluster.time.now() < 300000)
    cluster.time.run_for(100);
  EXPECT_EQ(cluster.checker.starts.count({"wk-2", 0}), 0u);
  EXPECT_TRUE(cluster.reaches("wk-4", "done", 200000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
