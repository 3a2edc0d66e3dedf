#include <gtest/gtest.h>

#include "sched/snapshot.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, EmptiesMachinesOnlyWhereTheirTasksFitOnFullerOnes) {
  ClusterSnapshot snapshot;
  MachineView machine;
  machine.type = "big";
  machine.zone = "a";
  machine.schedulable = true;
  machine.total = {8, 4, 64};
  machine.images = {"i0"};
  const PreemptibleTask task{"wk-8", 0, wire::Priority::normal, {2, 1, 16}, "i0", false, true,
                             100,    3};
  for (std::size_t tasks : {1u, 3u, 2u}) {
    machine.free = machine.total;
    machine.tasks = tasks;
    machine.preemptible_tasks.assign(tasks, task);
    for (std::size_t i = 0; i < tasks; ++i) machine.free -= task.request;
    snapshot.machines.push_back(machine);
  }
  using Indices = std::vector<std::size_t>;
  EXPECT_EQ(consolidation_candidates(snapshot, 1, 3, 9),
            Indices{0});  // the one task goes to the machine of three
  ClusterSnapshot other = snapshot;
  other.machines[0].preemptible_tasks[0].remaining_s = 11;  // hardly longer than its stop and start
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = snapshot;
  other.machines[1].images.clear();  // the machine of two has the image, and room
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{0});
  other.machines[2].images.clear();
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = snapshot;
  other.machines[1].spot = other.machines[2].spot = true;  // the task may not use those
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = snapshot;
  other.machines[0].tasks = 2;  // one more on it that can't be moved
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  snapshot.jobs.push_back(waiting("wk-1", wire::JobKind::array, 1, {9, 1, 8}));  // somebody waits
  EXPECT_EQ(consolidation_candidates(snapshot, 1, 3, 9), Indices{});
}

}  // namespace
}  // namespace seampass::sched
