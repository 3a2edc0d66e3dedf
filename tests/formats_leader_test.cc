// What a leader keeps in the state service, as literals read from a whole deployment in simulated
// time: its own record, that of the cluster, and the task records and final statuses of its jobs.
//
// The next leader, perhaps of the previous version, has to read them. So a literal here may not be
// changed along with the program: one that no longer matches means that stored data, or the
// previous version, is no longer understood.
#include <gtest/gtest.h>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// What is stored of a job of two tasks that run on the only machine.
const char* const kRunning =
    R"({"attempt":1,"cpus":4.0,"first":0,"gpus":1.0,"memory":16.0,"of":2,"span":2,"tasks":[[0,1,"m-000001",1],[1,1,"m-000001",1]],"team":"blue"})";

// Such a job; `previous`: the controllers that are of the previous version, which reads chunks
// only.
struct RunningJob {
  explicit RunningJob(const std::set<std::string>& previous = {}) : world(1, 1, {}, previous) {
    EXPECT_TRUE(world.wait_for_leader());
    EXPECT_EQ(world.submit("n0", array_job("wk-8810", 2, 60)).status, 201);
    EXPECT_TRUE(world.reaches("wk-8810", "running", 30000));
  }

  SimulatedCluster world;
};

TEST(Formats, StoresTheLeaderAndTheClusterAsBefore) {
  const RunningJob running;
  EXPECT_EQ(running.world.state.dump("leader"),
            R"(leader = {"node":")" + running.world.leader() + "\"}\n");
  EXPECT_EQ(running.world.state.dump("cluster"),
            "cluster = {\"chunk_tasks\":128,\"segment_tasks\":213,\"version\":1}\n");
}

TEST(Formats, StoresTheTasksOfARunningJobAsBefore) {
  const RunningJob running;
  EXPECT_EQ(running.world.state.dump("work/"), std::string("work/wk-8810/s0 = ") + kRunning + "\n");
}

TEST(Formats, StoresChunksAsBeforeBesideThePreviousVersion) {
  const RunningJob running({"n1"});
  EXPECT_EQ(running.world.state.dump("work/"), std::string("work/wk-8810/0 = ") + kRunning + "\n");
  EXPECT_EQ(running.world.state.dump("cluster"), "");
}

TEST(Formats, ReadsTheClusterRecord) {
  SimulatedCluster world(1, 1);
  world.put("cluster", wire::Json::parse(R"({"chunk_tasks":16,"segment_tasks":10,"version":1})"));
  ASSERT_TRUE(world.wait_for_leader());
  ASSERT_EQ(world.submit("n0", array_job("wk-8811", 12, 60)).status, 201);
  ASSERT_TRUE(world.reaches("wk-8811", "running", 30000));
  EXPECT_EQ(
      world.state.dump("work/"),
      R"(work/wk-8811/s0 = {"attempt":1,"cpus":4.0,"first":0,"gpus":1.0,"memory":16.0,"of":12,"span":10,"tasks":[[0,1,"m-000001",1],[1,1,"m-000001",1]],"team":"blue"})"
      "\n");
}

TEST(Formats, StoresTheEndOfACancelledJobAsBefore) {
  RunningJob running;
  ASSERT_EQ(running.world.cancel_until_final("n0", "wk-8810", 60000).stage(), "withdrawn");
  EXPECT_TRUE(running.world.reaches("wk-8810", "withdrawn", 1000));
  EXPECT_EQ(running.world.state.dump("ends/"),
            "ends/wk-8810 = {\"done\":0,\"stage\":\"withdrawn\"}\n");
}

TEST(Formats, StoresTheEndOfAJobThatIsDoneAsBefore) {
  RunningJob running;
  ASSERT_TRUE(running.world.reaches("wk-8810", "done", 120000));
  running.world.time.run_for(5000);
  EXPECT_EQ(running.world.state.dump("ends/"), "ends/wk-8810 = {\"done\":2,\"stage\":\"done\"}\n");
  EXPECT_EQ(running.world.state.dump("open/") + running.world.state.dump("work/"), "");
}

}  // namespace
}  // namespace seampass::fakes
