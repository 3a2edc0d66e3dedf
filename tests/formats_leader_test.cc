// Compares with literals what a leader stores in the state service: its own record, the cluster
// record, and the task records and final statuses of its jobs. The tests run a whole deployment in
// simulated time.
//
// The next leader must read these records, and it may run the previous version. A literal here must
// therefore never be changed together with the program. If a literal no longer matches, a
// controller of this version or of the previous one can no longer read what is stored.
#include <gtest/gtest.h>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// The task record of a job whose two tasks run on the deployment's only machine.
const char* const kRunningTaskRecord =
    R"({"attempt":1,"cpus":4.0,"first":0,"gpus":1.0,"memory":16.0,"of":2,"span":2,"tasks":[[0,1,"m-000001",1],[1,1,"m-000001",1]],"team":"blue"})";

// A deployment in which that job runs. `previous` names the controllers that run the previous
// version, which reads only chunks.
struct RunningJob {
  explicit RunningJob(const std::set<std::string>& previous = {}) : cluster(1, 1, {}, previous) {
    EXPECT_TRUE(cluster.wait_for_leader());
    EXPECT_EQ(cluster.submit("n0", array_job("wk-8810", 2, 60)).status, 201);
    EXPECT_TRUE(cluster.reaches("wk-8810", "running", 30000));
  }

  SimulatedCluster cluster;
};

TEST(Formats, RecordsOfTheLeaderAndTheClusterAreUnchanged) {
  const RunningJob running;
  EXPECT_EQ(running.cluster.state.dump("leader"),
            R"(leader = {"node":")" + running.cluster.leader() + "\"}\n");
  EXPECT_EQ(running.cluster.state.dump("cluster"),
            "cluster = {\"chunk_tasks\":128,\"segment_tasks\":213,\"version\":1}\n");
}

TEST(Formats, TaskRecordOfARunningJobIsUnchanged) {
  const RunningJob running;
  EXPECT_EQ(running.cluster.state.dump("work/"),
            std::string("work/wk-8810/s0 = ") + kRunningTaskRecord + "\n");
}

TEST(Formats, WritesChunksWhileThePreviousVersionRuns) {
  const RunningJob running({"n1"});
  EXPECT_EQ(running.cluster.state.dump("work/"),
            std::string("work/wk-8810/0 = ") + kRunningTaskRecord + "\n");
  EXPECT_EQ(running.cluster.state.dump("cluster"), "");
}

TEST(Formats, ReadsTheClusterRecord) {
  SimulatedCluster cluster(1, 1);
  cluster.put("cluster", wire::Json::parse(R"({"chunk_tasks":16,"segment_tasks":10,"version":1})"));
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-8811", 12, 60)).status, 201);
  ASSERT_TRUE(cluster.reaches("wk-8811", "running", 30000));
  EXPECT_EQ(
      cluster.state.dump("work/"),
      R"(work/wk-8811/s0 = {"attempt":1,"cpus":4.0,"first":0,"gpus":1.0,"memory":16.0,"of":12,"span":10,"tasks":[[0,1,"m-000001",1],[1,1,"m-000001",1]],"team":"blue"})"
      "\n");
}

TEST(Formats, FinalStatusOfACancelledJobIsUnchanged) {
  RunningJob running;
  ASSERT_EQ(running.cluster.cancel_until_final("n0", "wk-8810", 60000).stage(), "withdrawn");
  EXPECT_TRUE(running.cluster.reaches("wk-8810", "withdrawn", 1000));
  EXPECT_EQ(running.cluster.state.dump("ends/"),
            "ends/wk-8810 = {\"done\":0,\"stage\":\"withdrawn\"}\n");
}

TEST(Formats, FinalStatusOfADoneJobIsUnchanged) {
  RunningJob running;
  ASSERT_TRUE(running.cluster.reaches("wk-8810", "done", 120000));
  running.cluster.time.run_for(5000);
  EXPECT_EQ(running.cluster.state.dump("ends/"),
            "ends/wk-8810 = {\"done\":2,\"stage\":\"done\"}\n");
  EXPECT_EQ(running.cluster.state.dump("open/") + running.cluster.state.dump("work/"), "");
}

}  // namespace
}  // namespace seampass::fakes
