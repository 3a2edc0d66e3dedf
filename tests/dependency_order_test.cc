// When the tasks of a job that depends on others start.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// A diamond, submitted at once through all nodes: each starts when those before it are done.
TEST(Dependencies, RunInTheirOrder) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 3, 8)).status, 201);
  ASSERT_EQ(cluster.submit("n1", after(array_job("wk-2", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(cluster.submit("n2", after(gang_job("wk-3", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(cluster.submit("n0", after(array_job("wk-4", 1, 3), {"wk-2", "wk-3"})).status, 201);
  EXPECT_EQ(cluster.poll("n1", "wk-4").stage(), "queued");
  EXPECT_TRUE(cluster.reaches("wk-4", "done", 90000));
  // Submitted when those that it names are over; and once more.
  ASSERT_EQ(cluster.submit("n1", after(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status, 201);
  EXPECT_TRUE(cluster.reaches("wk-5", "done", 60000));
  EXPECT_EQ(cluster.submit("n2", after(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status, 200);
  cluster.expect_no_violations();
}

// A successor follows by the event, not at the next tick: well within a report interval.
TEST(Dependencies, SuccessorStartsAtOnce) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  submit_chain(cluster, {array_job("wk-1", 1, 10), array_job("wk-2", 1, 10)});
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  while (!cluster.state.has("ends/wk-1") && cluster.time.now() < 60000) cluster.time.run_for(10);
  const Ms ended = cluster.time.now();
  while (cluster.running_tasks("wk-2") == 0 && cluster.time.now() - ended < 20000)
    cluster.time.run_for(10);
  EXPECT_LT(cluster.time.now() - ended, 1000);  // its image is there already
  cluster.expect_no_violations();
}

// What waits holds nothing: a team at its limit by waiting jobs alone would never start anything.
TEST(Dependencies, WaitingJobsHoldNothing) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 40));
  for (int i = 10; i < 20; ++i)
    cluster.submit("n0", after(gang_job("wk-" + std::to_string(i), 4, 5), {"wk-1"}));
  const std::size_t machines = cluster.cloud.machines.size();
  cluster.submit("n1", array_job("wk-2", 8, 5));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 39000));
  EXPECT_LE(cluster.cloud.machines.size(), machines + 1);
  cluster.expect_no_violations();
}

// The next leader knows of the ends that the former one wrote, and starts nothing on a guess.
TEST(Dependencies, SurviveChangesOfLeader) {
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
    const std::string old = cluster.leader();
    if (old.empty()) continue;
    cluster.kill(old);
    cluster.time.run_for(3000);
    cluster.start(old);
  }
  for (int chain = 0; chain < 4; ++chain)
    EXPECT_TRUE(cluster.reaches("wk-" + std::to_string(chain * 10 + 5), "done", 240000));
  cluster.expect_no_violations();
}

// `done` of a job is in the leader's memory, and not in the store: nothing that depends on it may
// start, since the next leader may run it on.
TEST(Dependencies, WaitForTheDurableEnd) {
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

// A job whose own priority is low goes before others for the sake of one that needs it.
TEST(Dependencies, HaveThePriorityOfWhatNeedsThem) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  // Each takes all of the team's limit.
  const auto job = [](const char* id, wire::Priority priority) {
    wire::Job made = array_job(id, 4, 10);
    made.team = "red";
    made.gpus = 2;
    made.priority = priority;
    return made;
  };
  cluster.submit("n0", job("wk-1", wire::Priority::normal));
  ASSERT_TRUE(cluster.reaches("wk-1", "running", 30000));
  cluster.submit("n0", job("wk-2", wire::Priority::normal));
  cluster.submit("n0", job("wk-3", wire::Priority::low));
  cluster.submit("n0", after(job("wk-4", wire::Priority::high), {"wk-3"}));
  while (cluster.checker.starts.count({"wk-3", 0}) == 0 && cluster.time.now() < 300000)
    cluster.time.run_for(100);
  EXPECT_EQ(cluster.checker.starts.count({"wk-2", 0}), 0u);
  EXPECT_TRUE(cluster.reaches("wk-4", "done", 200000));
  EXPECT_TRUE(cluster.reaches("wk-2", "done", 200000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
