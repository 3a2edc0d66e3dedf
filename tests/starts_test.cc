// Tests how starts reach the workers: only in the replies to heartbeats, for which the leader asks.
// They run in simulated time against fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fakes/calls.h"
#include "fakes/rolling_upgrade.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

constexpr std::size_t kMaxLineBytes = std::size_t{64} << 10;  // of the protocol

wire::Job tiny_task_job(const std::string& id, std::uint32_t tasks) {
  wire::Job job = wide_job(id, tasks, 600);
  job.cpus = 0.005;
  job.memory_gb = 0.01;
  return job;
}

// A worker sends a heartbeat half a second after the last one at the earliest, and fetches the
// image in 0.3 s. Regular heartbeats are 3 s apart.
TEST(Starts, DoNotWaitForTheHeartbeatInterval) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(wide_job("wk-900", 2, 900)));
  for (int i = 0; i < 6; ++i) {
    cluster.time.run_for(2000 + 370 * i);
    const std::string id = "wk-" + std::to_string(i);
    const Ms submitted_at = cluster.time.now();
    ASSERT_EQ(cluster.submit("n0", wide_job(id, 1, 900)).status, 201);
    while (cluster.running_tasks(id) == 0 && cluster.time.now() < submitted_at + 10000)
      cluster.time.run_for(10);
    EXPECT_LE(cluster.time.now() - submitted_at, 1200) << id;
  }
  cluster.expect_no_violations();
}

TEST(Starts, AreInNoCommand) {
  SimulatedCluster cluster(3, 4);
  cluster.cloud.capacity = 6;
  ASSERT_TRUE(cluster.wait_for_leader());
  const auto& commands = cluster.record_calls("/commands");
  cluster.submit("n0", array_job("wk-1", 12, 4));
  cluster.submit("n1", gang_job("wk-2", 2, 5));
  cluster.submit("n2", tiny_task_job("wk-3", 40));
  ASSERT_TRUE(cluster.reaches("wk-1", "done", 90000));
  ASSERT_TRUE(cluster.reaches("wk-2", "done", 90000));
  EXPECT_EQ(cluster.cancel_until_final("n0", "wk-3", 30000).stage(), "withdrawn");
  int heartbeat_requests = 0;
  ASSERT_FALSE(commands.empty());
  for (const net::Call& call : commands) {
    const wire::Json body = wire::Json::parse(call.body);
    for (const auto& command : body.at("orders")) {
      if (command.at("verb") != "run") continue;
      ++heartbeat_requests;
      const std::string task = command.at("pour");
      const auto slash = task.find('/');
      EXPECT_GE(std::stoul(task.substr(slash + 1)),
                cluster.checker.jobs[task.substr(0, slash)].spec.tasks)
          << task;
    }
  }
  EXPECT_GT(heartbeat_requests, 0);
  cluster.expect_no_violations();
}

TEST(Starts, OfManyTasksOnOneMachineKeepRepliesWithinTheLimitOfALine) {
  SimulatedCluster cluster(1, 1);
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(
      cluster.submit("n0", tiny_task_job("wk-1000000000000000000000000000000000001", 1200)).status,
      201);
  for (int i = 0;
       i < 60 && cluster.running_tasks("wk-1000000000000000000000000000000000001") < 1200; ++i)
    cluster.time.run_for(1000);
  EXPECT_EQ(cluster.running_tasks("wk-1000000000000000000000000000000000001"), 1200);
  EXPECT_GT(cluster.checker.longest_reply, 0u);
  EXPECT_LE(cluster.checker.longest_reply, kMaxLineBytes);
  cluster.expect_no_violations();
}

// Every index below the maximum number of tasks is a task of such a job, so the leader can't name
// one that does not exist.
TEST(Starts, OfAJobOfTheLargestSizeWaitForTheNextHeartbeat) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(array_job("wk-900", 3, 900)));  // leaves room for one task
  cluster.time.run_for(5000);
  const auto& commands = cluster.record_calls("/commands");
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", wire::kMaxTasks, 100)).status, 201);
  cluster.time.run_for(5000);
  EXPECT_EQ(cluster.running_tasks("wk-1"), 1);
  EXPECT_TRUE(commands.empty());
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
