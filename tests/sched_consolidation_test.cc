// Tests which machines are emptied because their tasks fit on fuller machines.
#include <gtest/gtest.h>

#include "sched/sched.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, ConsolidatesOnlyMachinesWhoseTasksFitOnFullerOnes) {
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
    machine.task_count = tasks;
    machine.preemptible_tasks.assign(tasks, task);
    for (std::size_t i = 0; i < tasks; ++i) machine.free -= task.request;
    snapshot.machines.push_back(machine);
  }
  using Indices = std::vector<std::size_t>;
  // The only task of machine 0 moves to the machine with three tasks.
  EXPECT_EQ(consolidation_candidates(snapshot, 1, 3, 9), Indices{0});
  ClusterSnapshot changed = snapshot;
  // The remaining run time is below 3 x (3 s save + 1 s restart) = 12 s.
  changed.machines[0].preemptible_tasks[0].remaining_s = 11;
  EXPECT_EQ(consolidation_candidates(changed, 1, 3, 9), Indices{});
  changed = snapshot;
  changed.machines[1].images.clear();  // the machine with two tasks still has the image
  EXPECT_EQ(consolidation_candidates(changed, 1, 3, 9), Indices{0});
  changed.machines[2].images.clear();
  EXPECT_EQ(consolidation_candidates(changed, 1, 3, 9), Indices{});
  changed = snapshot;
  changed.machines[1].spot = changed.machines[2].spot = true;  // the task may not use spot machines
  EXPECT_EQ(consolidation_candidates(changed, 1, 3, 9), Indices{});
  changed = snapshot;
  changed.machines[0].task_count = 2;  // the second task is not preemptible
  EXPECT_EQ(consolidation_candidates(changed, 1, 3, 9), Indices{});
  // No machine is emptied while a job is pending.
  snapshot.jobs.push_back(pending_job("wk-1", wire::JobKind::array, 1, {9, 1, 8}));
  EXPECT_EQ(consolidation_candidates(snapshot, 1, 3, 9), Indices{});
}

}  // namespace
}  // namespace seampass::sched
