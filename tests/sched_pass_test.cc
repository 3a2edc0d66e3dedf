// Tests the placements of a scheduling pass: against a reference scheduler, and against the limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "model/reference_scheduler.h"
#include "sched/sched.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

std::vector<model::Placed> sorted_placements(const Decisions& decisions) {
  std::vector<model::Placed> list;
  for (const JobPlacements& batch : decisions.starts)
    for (const Placement& placement : batch.tasks)
      list.push_back({batch.job, placement.task, placement.machine, false});
  for (const JobPlacements& batch : decisions.reservations)
    for (const Placement& placement : batch.tasks)
      list.push_back({batch.job, placement.task, placement.machine, true});
  std::sort(list.begin(), list.end());
  return list;
}

TEST(Sched, PassAgreesWithTheReferenceScheduler) {
  std::mt19937 random(4711);
  int started = 0, reserved = 0;
  for (int round = 0; round < 3000; ++round) {
    ClusterSnapshot snapshot = random_snapshot(random, MachineChoice::first_fit);
    const ClusterSnapshot before = snapshot;
    const Decisions decisions = run_pass(snapshot);
    const std::vector<model::Placed> actual = sorted_placements(decisions);
    ASSERT_EQ(actual, model::ReferenceScheduler(before).run()) << "round " << round;
    for (const auto& placement : actual) (placement.reserved ? reserved : started) += 1;
  }
  EXPECT_GT(started, 5000);
  EXPECT_GT(reserved, 300);
}

// In a large cluster, a pass makes the same decisions as the reference scheduler, and its cost
// depends on the numbers of machines and jobs, not on machines times tasks. The test guards against
// a pass that compares every task with every machine.
TEST(Sched, PassExaminesFewMachinesInALargeCluster) {
  std::mt19937 random(8);
  const auto random_below = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  ClusterSnapshot snapshot;
  snapshot.machine_choice = MachineChoice::first_fit;
  snapshot.teams["red"];
  for (int i = 0; i < 1300; ++i) {
    MachineView machine;
    machine.name = "m" + std::to_string(i);
    machine.type = random_below(2) ? "big" : "small";
    machine.zone = std::string(1, static_cast<char>('a' + random_below(3)));
    machine.schedulable = true;
    machine.total = {16, 4, 64};
    // Nearly all machines are full, as in a busy cluster. Each has a small remainder of free
    // resources.
    machine.free = random_below(40) == 0 ? machine.total : Resources{random_below(3) * 1.0, 0, 8};
    snapshot.machines.push_back(machine);
  }
  std::size_t tasks = 0;
  for (int i = 0; i < 60; ++i) {
    JobView job = pending_job("wk-" + std::to_string(100 + i),
                              random_below(2) ? wire::JobKind::gang : wire::JobKind::array,
                              1 + random_below(12), {4.0 + random_below(4), 1, 8});
    job.one_zone = job.kind == wire::JobKind::gang;
    job.created_ms = random_below(50);
    tasks += job.task_count;
    snapshot.jobs.push_back(job);
  }
  const ClusterSnapshot before = snapshot;
  const Decisions decisions = run_pass(snapshot);
  const std::vector<model::Placed> actual = sorted_placements(decisions);
  EXPECT_EQ(actual, model::ReferenceScheduler(before).run());
  EXPECT_GT(actual.size(), 30u);
  // Examining every machine for each task would make the factor larger than 300 (see below).
  EXPECT_LT(decisions.machines_examined, snapshot.machines.size() * 16);
  EXPECT_GT(tasks, 300u);
}

// Scored machine choice differs from the reference scheduler's first fit, so this test checks the
// placements against the limits instead: filter, zone rules, quota, free resources and gang rules.
TEST(Sched, ScoredChoiceRespectsAllLimits) {
  std::mt19937 random(99);
  for (int round = 0; round < 3000; ++round) {
    ClusterSnapshot snapshot = random_snapshot(random, MachineChoice::scored);
    const ClusterSnapshot before = snapshot;
    const Decisions decisions = run_pass(snapshot);
    std::vector<Resources> free;
    for (const auto& machine : before.machines) free.push_back(machine.free);
    auto teams = before.teams;
    const auto check = [&](const JobPlacements& batch, bool start) {
      const JobView& job = before.jobs[batch.job];
      auto zones = job.placed;
      ASSERT_FALSE(job.blocked);
      for (const Placement& placement : batch.tasks) {
        const MachineView& machine = before.machines[placement.machine];
        ASSERT_TRUE(machine.schedulable && allowed(job, machine.type, machine.zone, machine.spot));
        ASSERT_TRUE(job.request.fits_in(free[placement.machine]));
        free[placement.machine] -= job.request;
        TeamView& team = teams[job.team];
        ASSERT_GE(team.tasks_within_quota(job.request), 1u);
        team.cpus += job.request.cpus;
        team.gpus += job.request.gpus;
        ++zones[machine.zone];
      }
      std::uint32_t used_zones = 0;
      for (const auto& [zone, count] : zones) {
        used_zones += count > 0 ? 1 : 0;
        ASSERT_TRUE(!job.spread || count <= (job.task_count + 1) / 2);
      }
      ASSERT_TRUE(!job.one_zone || used_zones <= 1);
      if (job.kind == wire::JobKind::gang) {
        // A gang starts as a whole or reserves resources. A gang whose reservations timed out
        // reserves nothing.
        ASSERT_EQ(batch.tasks.size() == job.pending.size(), start);
        ASSERT_TRUE(start || !job.all_or_nothing);
      }
    };
    for (const JobPlacements& batch : decisions.starts) check(batch, true);
    for (const JobPlacements& batch : decisions.reservations) check(batch, false);
  }
}

}  // namespace
}  // namespace seampass::sched
