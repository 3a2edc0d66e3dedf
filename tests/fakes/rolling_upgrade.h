// An upgrade while serving: the version in production and this one side by side and on each other's
// data. In simulated time, against our own stand-ins.
#pragma once

#include <gtest/gtest.h>

#include <cctype>
#include <string>

#include "fakes/production_records.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {

// Limits of the state service that fall once all controllers are new: with records as production
// writes them, and with larger ones.
inline const StoreLimits kFalling{{100, 40, 8, 10}, {100, 28, 2, 4}};
inline const StoreLimits kLargeRecords{{100, 40, 32, 12}, {100, 28, 2, 4}};

// Without accelerators, so that many tasks run at a time within the team's limit.
inline wire::Job wide_job(const std::string& id, std::uint32_t tasks, double run_s) {
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
    if (!w.wait_for_leader()) return false;
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

}  // namespace seampass::fakes
