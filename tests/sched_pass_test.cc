#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "model/plain_scheduler.h"
#include "sched/snapshot.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

std::vector<model::Placed> placements(const Decisions& decisions) {
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

TEST(Sched, AgreesWithThePlainModel) {
  std::mt19937 random(4711);
  int started = 0, reserved = 0;
  for (int round = 0; round < 3000; ++round) {
    ClusterSnapshot snapshot = random_snapshot(random, MachineChoice::first_fit);
    const ClusterSnapshot before = snapshot;
    const Decisions decisions = run_pass(snapshot);
    const std::vector<model::Placed> real = placements(decisions);
    ASSERT_EQ(real, model::PlainScheduler(before).run()) << "round " << round;
    for (const auto& placement : real) (placement.reserved ? reserved : started) += 1;
  }
  EXPECT_GT(started, 5000);
  EXPECT_GT(reserved, 300);
}

// At the size of a large deployment: the same decisions as the plain model's, at a cost that goes
// by machines and jobs, not by machines times tasks.
TEST(Sched, LooksAtFewMachinesInALargeCluster) {
  std::mt19937 random(8);
  const auto pick = [&](unsigned bound) { return static_cast<unsigned>(random() % bound); };
  ClusterSnapshot snapshot;
  snapshot.choice = MachineChoice::first_fit;
  snapshot.teams["red"];
  for (int i = 0; i < 1300; ++i) {
    MachineView machine;
    machine.name = "m" + std::to_string(i);
    machine.type = pick(2) ? "big" : "small";
    machine.zone = std::string(1, static_cast<char>('a' + pick(3)));
    machine.schedulable = true;
    machine.total = {16, 4, 64};
    // Nearly all are full, as machines of a busy cluster are; some room is left over on each.
    machine.free = pick(40) == 0 ? machine.total : Resources{pick(3) * 1.0, 0, 8};
    snapshot.machines.push_back(machine);
  }
  std::size_t tasks = 0;
  for (int i = 0; i < 60; ++i) {
    JobView job = waiting("wk-" + std::to_string(100 + i),
                          pick(2) ? wire::JobKind::gang : wire::JobKind::array, 1 + pick(12),
                          {4.0 + pick(4), 1, 8});
    job.one_zone = job.kind == wire::JobKind::gang;
    job.created_ms = pick(50);
    tasks += job.tasks;
    snapshot.jobs.push_back(job);
  }
  const ClusterSnapshot before = snapshot;
  const Decisions decisions = run_pass(snapshot);
  const std::vector<model::Placed> real = placements(decisions);
  EXPECT_EQ(real, model::PlainScheduler(before).run());
  EXPECT_GT(real.size(), 30u);
  EXPECT_LT(decisions.machines_examined,
            snapshot.machines.size() * 16);  // a look at each machine for each task is 300 times
  EXPECT_GT(tasks, 300u);
}

// Scored choice puts tasks elsewhere, but under the same limits.
TEST(Sched, ScoredChoiceKeepsEveryLimit) {
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
        ASSERT_EQ(job.anti_affinity.count({placement.task, placement.machine}), 0u);
        ASSERT_TRUE(machine.schedulable && allowed(job, machine.type, machine.zone, machine.spot));
        ASSERT_TRUE(job.request.fits_in(free[placement.machine]));
        free[placement.machine] -= job.request;
        TeamView& team = teams[job.team];
        ASSERT_GE(team.allows(job.request), 1u);
        team.cpus += job.request.cpus;
        team.gpus += job.request.gpus;
        ++zones[machine.zone];
      }
      std::uint32_t used = 0;
      for (const auto& [zone, count] : zones) {
        used += count > 0 ? 1 : 0;
        ASSERT_TRUE(!job.spread || count <= (job.tasks + 1) / 2);
      }
      ASSERT_TRUE(!job.one_zone || used <= 1);
      if (job.kind == wire::JobKind::gang) {
        // A gang starts whole or reserves room; one that timed out reserves nothing.
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
