// Tests which machines are rented for pending jobs and which are kept as headroom.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "sched/sched.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, RentsTheCheapestFittingMachinesAndCountsBootingOnes) {
  const std::vector<ScaleOutOption> options = {{"big", "a", false, 4, {16, 4, 64}},
                                               {"big", "b", true, 1.5, {16, 4, 64}},
                                               {"small", "a", false, 1, {4, 0, 16}}};
  ClusterSnapshot snapshot;
  snapshot.jobs.push_back(pending_job("wk-1", wire::JobKind::array, 6, {4, 1, 8}));
  auto scale_out = plan_scaling(snapshot, options, {}).scale_out;
  ASSERT_EQ(scale_out.size(), 1u);
  EXPECT_EQ(scale_out[0].option, 1u);
  EXPECT_EQ(scale_out[0].count, 2);
  MachineView machine;
  machine.type = "big";
  machine.zone = "a";
  machine.booting = true;
  machine.total = machine.free = {16, 4, 64};
  snapshot.machines.push_back(machine);
  scale_out = plan_scaling(snapshot, options, {}).scale_out;
  ASSERT_EQ(scale_out.size(), 1u);
  EXPECT_EQ(scale_out[0].count, 1);
  snapshot.jobs[0].spot = false;
  EXPECT_EQ(plan_scaling(snapshot, options, {}).scale_out[0].option, 0u);
  snapshot.teams["red"].gpus_max = 4;  // the quota allows no more than 4 tasks
  EXPECT_TRUE(plan_scaling(snapshot, options, {}).scale_out.empty());
}

TEST(Sched, RentsAGangsMachinesInOneZone) {
  const std::vector<ScaleOutOption> options = {{"small", "a", false, 1, {4, 0, 16}},
                                               {"small", "b", true, 0.5, {4, 0, 16}}};
  ClusterSnapshot snapshot;
  snapshot.jobs.push_back(pending_job("wk-1", wire::JobKind::gang, 3, {4, 0, 8}));
  snapshot.jobs[0].one_zone = true;
  snapshot.jobs[0].spot = false;
  const auto scale_out = plan_scaling(snapshot, options, {}).scale_out;
  ASSERT_EQ(scale_out.size(), 1u);
  EXPECT_EQ(scale_out[0].option, 0u);
  EXPECT_EQ(scale_out[0].count, 3);
}

// Guards against a plan that holds a machine for every task that a user asks for, so that a
// controller runs out of memory.
TEST(Sched, PlansNoMoreMachinesThanTheCloudRentsForGangsOfTheLargestSize) {
  const std::vector<ScaleOutOption> options = {{"big", "a", false, 4, {16, 4, 64}, 50},
                                               {"big", "b", false, 5, {16, 4, 64}, 50}};
  ClusterSnapshot snapshot;
  for (const char* id : {"wk-1", "wk-2", "wk-3"})
    snapshot.jobs.push_back(pending_job(id, wire::JobKind::gang, wire::kMaxTasks, {15, 0, 60}));
  for (int i = 0; i < 400; ++i)
    snapshot.jobs.push_back(
        pending_job("wk-" + std::to_string(100 + i), wire::JobKind::array, 256, {15, 0, 60}));

  const ScalingPlan plan = plan_scaling(snapshot, options, {});

  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].option, 0u);
  EXPECT_EQ(plan.scale_out[0].count, 50);
}

TEST(Sched, RentsOtherMachinesForAJobThatCannotUseTheOptionThatIsUsedUp) {
  const std::vector<ScaleOutOption> options = {{"big", "a", false, 4, {16, 4, 64}, 50},
                                               {"big", "b", false, 5, {16, 4, 64}, 50}};
  ClusterSnapshot snapshot;
  snapshot.jobs.push_back(pending_job("wk-1", wire::JobKind::gang, wire::kMaxTasks, {15, 0, 60}));
  snapshot.jobs.push_back(pending_job("wk-2", wire::JobKind::array, 3, {15, 0, 60}));
  snapshot.jobs[1].zone = "b";

  const ScalingPlan plan = plan_scaling(snapshot, options, {});

  ASSERT_EQ(plan.scale_out.size(), 2u);
  EXPECT_EQ(plan.scale_out[1].option, 1u);
  EXPECT_EQ(plan.scale_out[1].count, 3);
}

TEST(Sched, KeepsHeadroomWithinItsBudget) {
  const std::vector<ScaleOutOption> options = {{"small", "a", false, 1, {4, 0, 16}}};
  ClusterSnapshot snapshot;
  MachineView machine;
  machine.type = "small";
  machine.zone = "a";
  machine.schedulable = true;
  machine.price = 1;
  machine.total = machine.free = {4, 0, 16};
  snapshot.machines = {machine, machine};
  Headroom headroom{pending_job("", wire::JobKind::array, 4, {4, 0, 8}), 3, 2};
  ScalingPlan plan = plan_scaling(snapshot, options, {headroom});
  EXPECT_EQ(plan.headroom_machines.size(), 2u);  // both exist already; the budget covers one more
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].count, 1);
  headroom.max_price = 0.5;
  EXPECT_TRUE(plan_scaling(snapshot, options, {headroom}).headroom_machines.empty());
  headroom.max_price = 2;
  headroom.budget = 1;
  plan = plan_scaling(snapshot, options, {headroom});
  EXPECT_EQ(plan.headroom_machines.size(), 1u);
  EXPECT_TRUE(plan.scale_out.empty());
}

}  // namespace
}  // namespace seampass::sched
