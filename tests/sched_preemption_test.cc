#include <gtest/gtest.h>

#include "sched/snapshot.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, ClearsRoomOnlyForUrgentWorkOfHigherPriority) {
  ClusterSnapshot snapshot;
  MachineView machine;
  machine.type = "big";
  machine.zone = "a";
  machine.schedulable = true;
  machine.total = {8, 4, 64};
  machine.free = {0, 2, 32};
  machine.preemptible_tasks = {{"wk-8", 0, wire::Priority::normal, {4, 1, 16}},
                               {"wk-8", 1, wire::Priority::normal, {4, 1, 16}}};
  snapshot.machines = {machine, machine};
  snapshot.machines[1].preemptible_tasks.pop_back();
  snapshot.machines[1].free.cpus = 4;
  JobView job = waiting("wk-1", wire::JobKind::gang, 1, {8, 0, 16});
  job.urgent = true;
  snapshot.jobs = {job};
  ClusterSnapshot same = snapshot;
  EXPECT_TRUE(run_pass(same).preemptions.empty());  // equal priority stops nothing
  snapshot.jobs[0].priority = wire::Priority::high;
  same = snapshot;
  const Decisions decisions = run_pass(same);
  ASSERT_EQ(decisions.preemptions.size(), 1u);
  EXPECT_EQ(decisions.preemptions[0].machine, 1u);  // one task there, two on the other
  EXPECT_EQ(decisions.preemptions[0].tasks.size(), 1u);
  // Once cleared, the room is for that job alone, and it clears no more.
  snapshot.machines[1].nominated_job = "wk-1";
  snapshot.machines[1].free = {8, 4, 64};
  snapshot.machines[1].preemptible_tasks.clear();
  JobView other = waiting("wk-0", wire::JobKind::array, 1, {4, 0, 8});
  other.priority = wire::Priority::critical;
  snapshot.jobs = {other, snapshot.jobs[0]};
  const Decisions after = run_pass(snapshot);
  ASSERT_EQ(after.starts.size(), 1u);
  EXPECT_EQ(after.starts[0].job, 1u);
  EXPECT_TRUE(after.preemptions.empty());
}

}  // namespace
}  // namespace seampass::sched
