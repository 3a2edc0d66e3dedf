// The base class of tests of a rolling upgrade: the version in production and the new version run
// side by side and read each other's records. The tests run in simulated time against fakes of the
// state service, the cloud and the workers.
#pragma once

#include <gtest/gtest.h>

#include <cctype>
#include <string>

#include "fakes/production_records.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {

// The current limits of the state service, followed by the lower limits that apply once all
// controllers run the new version. With kFallingLimits the current limits are those under which
// production writes its records; with kFallingLimitsWithLargeRecords they allow larger records.
inline const StoreLimits kFallingLimits{{100, 40, 8, 10}, {100, 28, 2, 4}};
inline const StoreLimits kFallingLimitsWithLargeRecords{{100, 40, 32, 12}, {100, 28, 2, 4}};

// An array job whose tasks use no GPU, so that the team's GPU quota does not bound how many of them
// run at the same time.
inline wire::Job wide_job(const std::string& id, std::uint32_t tasks, double run_s) {
  wire::Job job = array_job(id, tasks, run_s);
  job.cpus = 1;
  job.gpus = 0;
  job.memory_gb = 1;
  return job;
}

class RollingUpgrade : public ::testing::Test {
 protected:
  // Submits an array job of `tasks` tasks as wk-1, waits until it runs, and then runs the
  // simulation for another `run_time`. Returns false if no node leads or the job does not run
  // in time.
  static bool submit_and_run_array(SimulatedCluster& cluster, std::uint32_t tasks, Ms run_time) {
    if (!cluster.wait_for_leader()) return false;
    cluster.submit("n0", wide_job("wk-1", tasks, 25));
    const bool running = cluster.reaches("wk-1", "running", 30000);
    cluster.time.run_for(run_time);
    return running;
  }
  // Writes the records that production leaves behind. The machines in them are still listed by the
  // cloud but send no heartbeats.
  static void leave_production_records(SimulatedCluster& cluster) {
    cluster.time.run_for(20);
    cluster.cloud.machines.clear();
    for (const auto& [key, value] : kProductionRecords) cluster.put(key, wire::Json::parse(value));
    cluster.checker.jobs["wk-1"].spec = array_job("wk-1", 140, 9);
    cluster.checker.jobs["wk-2"].spec = gang_job("wk-2", 3, 10);
  }
  // Writes the key `cluster` with the contents that it has once task records use the segment
  // layout.
  static void leave_segments_in_use(SimulatedCluster& cluster) {
    cluster.put("cluster", {{"version", 1}, {"segment_tasks", 42}, {"chunk_tasks", 128}});
  }
  // Returns the number of task records that have the segment layout.
  static int segments(const SimulatedCluster& cluster) {
    return static_cast<int>(cluster.state.count("work/") - chunks(cluster));
  }
  // Returns the number of task records that have the chunk layout. The last part of a chunk's key
  // begins with a digit, that of a segment's key with `s`.
  static int chunks(const SimulatedCluster& cluster) {
    int count = 0;
    const std::string records = cluster.state.dump("work/");
    for (std::size_t at = 0; (at = records.find("work/", at)) != std::string::npos; ++at) {
      const auto slash = records.find('/', at + 5);
      count += std::isdigit(static_cast<unsigned char>(records[slash + 1])) != 0 ? 1 : 0;
    }
    return count;
  }
};

}  // namespace seampass::fakes
