// Tests which tasks a scheduling pass preempts, and for which jobs.
#include <gtest/gtest.h>

#include "sched/sched.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, PreemptsOnlyForUrgentJobsOfHigherPriority) {
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
  JobView job = pending_job("wk-1", wire::JobKind::gang, 1, {8, 0, 16});
  job.has_start_objective = true;
  snapshot.jobs = {job};
  ClusterSnapshot pass_input = snapshot;
  // Tasks of equal priority are not preempted.
  EXPECT_TRUE(run_pass(pass_input).preemptions.empty());
  snapshot.jobs[0].priority = wire::Priority::high;
  pass_input = snapshot;
  const Decisions decisions = run_pass(pass_input);
  ASSERT_EQ(decisions.preemptions.size(), 1u);
  // Machine 1 has the fewest tasks to stop: one, against two on machine 0.
  EXPECT_EQ(decisions.preemptions[0].machine, 1u);
  EXPECT_EQ(decisions.preemptions[0].tasks.size(), 1u);
  // After the preemption only the nominated job may use the machine, even if another job has a
  // higher priority, and the nominated job preempts nothing more.
  snapshot.machines[1].nominated_job = "wk-1";
  snapshot.machines[1].free = {8, 4, 64};
  snapshot.machines[1].preemptible_tasks.clear();
  JobView other = pending_job("wk-0", wire::JobKind::array, 1, {4, 0, 8});
  other.priority = wire::Priority::critical;
  snapshot.jobs = {other, snapshot.jobs[0]};
  const Decisions after = run_pass(snapshot);
  ASSERT_EQ(after.starts.size(), 1u);
  EXPECT_EQ(after.starts[0].job, 1u);
  EXPECT_TRUE(after.preemptions.empty());
}

}  // namespace
}  // namespace seampass::sched
