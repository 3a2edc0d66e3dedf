// The base class of tests that run many simulations with random faults, each from its own seed. The
// sequence of random draws is part of such a test: one draw more or less changes every later fault
// of that seed, so the test then covers a different simulation.
#pragma once

#include <gtest/gtest.h>

#include <iterator>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {

class RandomizedCluster : public ::testing::TestWithParam<unsigned> {
 protected:
  RandomizedCluster(int machines, unsigned random_seed)
      : cluster_(GetParam(), machines), random_(random_seed) {}

  // A random number from 0 to `bound` - 1.
  unsigned pick(unsigned bound) { return static_cast<unsigned>(random_() % bound); }
  Ms pick_ms(unsigned bound) { return static_cast<Ms>(pick(bound)); }
  std::string pick_node() { return "n" + std::to_string(pick(3)); }
  // A random accepted job. At least one job must have been accepted.
  std::string pick_job() { return accepted_[pick(static_cast<unsigned>(accepted_.size()))]; }
  // A random machine that is up. At least one machine must be up.
  std::string pick_machine() {
    auto machine = cluster_.cloud.machines.begin();
    const auto count = static_cast<unsigned>(cluster_.cloud.machines.size());
    std::advance(machine, static_cast<long>(pick(count)));
    return machine->first;
  }
  Worker& worker(const std::string& machine) { return *cluster_.cloud.machines.at(machine); }
  [[nodiscard]] bool no_machine_is_up() const { return cluster_.cloud.machines.empty(); }

  void kill(const std::string& node) {
    cluster_.kill(node);
    killed_.insert(node);
  }
  void start_one_killed_node() {
    cluster_.start(*killed_.begin());
    killed_.erase(killed_.begin());
  }
  void start_killed_nodes() {
    for (const std::string& node : killed_) cluster_.start(node);
    killed_.clear();
  }

  static void make_preemptible(wire::Job& job) {
    job.checkpoint_s = 2;
    job.save_s = 1;
  }
  static void make_urgent(wire::Job& job) {
    job.job_class = "urgent";
    job.priority = wire::Priority::high;
  }

  SimulatedCluster cluster_;
  std::vector<std::string> accepted_;  // ids of the accepted jobs
  std::set<std::string> killed_;       // names of the nodes that are currently killed

 private:
  std::mt19937 random_;
};

}  // namespace seampass::fakes
