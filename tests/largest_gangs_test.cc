// Tests a deployment whose users submit gangs of the largest size that the protocol allows: far
// more tasks than the cloud has machines for. They run in simulated time.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// The memory of a controller of the deployment cepchene-laval.
constexpr long kMemoryLimitKib = 72L << 10;

// The most memory that this process has held so far. ctest runs each test in a process of its own,
// so that no earlier test has held more.
long peak_memory_kib() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

wire::Job largest_gang(const std::string& id) {
  wire::Job job = gang_job(id, wire::kMaxTasks);
  job.gpus = 0;  // the teams' quotas limit GPUs only
  job.one_zone = false;
  job.priority = wire::Priority::high;
  return job;
}

// Guards against controllers that run out of memory, one after the other, because of a few gangs of
// the largest size. The sanitizers keep freed memory, so only the plain build measures it; in both
// builds an ordinary job has to run.
TEST(LargestGangs, LeaveMemoryAndRoomForAnOrdinaryJob) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  [[maybe_unused]] const long peak_before = peak_memory_kib();
  for (const char* id : {"wk-1", "wk-2", "wk-3"})
    ASSERT_EQ(cluster.submit("n0", largest_gang(id)).status, 201);
  wire::Job ordinary = array_job("wk-4", 1);
  ordinary.priority = wire::Priority::high;
  ASSERT_EQ(cluster.submit("n1", ordinary).status, 201);

  // No job waits for 90 s beside free room.
  EXPECT_TRUE(cluster.reaches("wk-4", "done", 90000));

#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peak_memory_kib() - peak_before, kMemoryLimitKib);
#endif
  for (const char* id : {"wk-1", "wk-2", "wk-3"})
    EXPECT_EQ(cluster.cancel_until_final("n0", id, 60000).stage(), "withdrawn");
  cluster.expect_no_violations();
}

// Guards against a launch that holds the list of a gang's tasks once for each of its records.
TEST(LargestGangs, LaunchHoldsEachTaskOnce) {
  SimulatedCluster cluster(1, 4, {{100, 40, 8, 10}, {100, 40, 2, 10}});
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.time.run_for(10000);
  [[maybe_unused]] const long peak_before = peak_memory_kib();
  wire::Job gang = largest_gang("wk-1");
  gang.cpus = gang.memory_gb = 0.0001;
  ASSERT_EQ(cluster.submit("n0", gang).status, 201);

  for (int i = 0; i < 100 && cluster.state.count("work/") < 20; ++i) cluster.time.run_for(100);

  EXPECT_GE(cluster.state.count("work/"), 20u);
#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peak_memory_kib() - peak_before, kMemoryLimitKib);
#endif
  cluster.expect_no_violations();
}

// Guards against a leader that runs out of memory because nothing bounds the tasks on one machine:
// four machines have room for all of these.
TEST(LargestGangs, OfTinyTasksLeaveMemory) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  [[maybe_unused]] const long peak_before = peak_memory_kib();
  for (const char* id : {"wk-1", "wk-2", "wk-3"}) {
    wire::Job gang = largest_gang(id);
    gang.cpus = gang.memory_gb = 0.0001;
    ASSERT_EQ(cluster.submit("n0", gang).status, 201);
  }

  for (int i = 0; i < 100 && cluster.state.count("work/") < 20; ++i) cluster.time.run_for(100);

#if !defined(__SANITIZE_ADDRESS__)
  EXPECT_LT(peak_memory_kib() - peak_before, kMemoryLimitKib);
#endif
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
