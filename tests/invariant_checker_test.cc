// Each test violates one invariant on purpose and expects the checker to report it. Without these
// tests a checker that reports nothing would let every simulation pass.
#include "fakes/invariant_checker.h"

#include <gtest/gtest.h>

#include "fakes/jobs.h"

namespace seampass::fakes {
namespace {

// One job of three tasks, and two machines in two zones. The machine m2 is a spot instance.
class InvariantCheckerTest : public ::testing::Test {
 protected:
  InvariantCheckerTest() {
    checker_.cancel_ms = 40000;
    checker_.gpus_max["blue"] = 2;
    checker_.machines = {{"m1", {"big", "a", false}}, {"m2", {"big", "b", true}}};
    checker_.jobs["wk-1"].spec = array_job("wk-1", 3);
  }

  // The names of the violated invariants, separated by spaces.
  [[nodiscard]] std::string violations() const {
    std::string names;
    for (const std::string& line : checker_.violations) {
      if (!names.empty()) names += " ";
      names += line.substr(0, line.find(' '));
    }
    return names;
  }
  wire::Job& spec() { return checker_.jobs["wk-1"].spec; }
  void start_one_task_on_each_machine() {
    checker_.task_started({"wk-1", 0}, "m1", 1);
    checker_.task_started({"wk-1", 1}, "m2", 1);
  }
  void cancel() {
    checker_.jobs["wk-1"].cancelled = true;
    checker_.jobs["wk-1"].cancelled_at = 10;
  }
  void add_dependent_job() {
    checker_.jobs["wk-2"].spec = array_job("wk-2", 1);
    checker_.jobs["wk-2"].spec.dependencies = {"wk-1"};
  }

  InvariantChecker checker_;
};

TEST_F(InvariantCheckerTest, ReportsNothingWhenAllInvariantsHold) {
  checker_.task_started({"wk-1", 0}, "m1", 1);
  checker_.task_started({"wk-1", 1}, "m2", 2);
  checker_.jobs["wk-1"].accepted = true;
  checker_.job_answered("wk-1", 200, "running");
  checker_.task_stopped({"wk-1", 0}, "m1", 3);
  checker_.task_started({"wk-1", 0}, "m2", 4);
  checker_.job_answered("wk-2", 404, "");
  EXPECT_EQ(violations(), "");
}

TEST_F(InvariantCheckerTest, ReportsATaskThatRunsOnTwoMachinesAtOnce) {
  checker_.task_started({"wk-1", 0}, "m1", 1);
  checker_.task_started({"wk-1", 0}, "m2", 2);
  EXPECT_EQ(violations(), "ran_twice");
}

TEST_F(InvariantCheckerTest, ReportsATeamAboveItsGpuQuota) {
  for (std::uint32_t i = 0; i < 3; ++i) checker_.task_started({"wk-1", i}, "m1", 1);
  EXPECT_EQ(violations(), "quota");
}

TEST_F(InvariantCheckerTest, ReportsATaskOutsideTheRequiredZone) {
  spec().zone = "a";
  start_one_task_on_each_machine();
  EXPECT_EQ(violations(), "wrong_place");
}

TEST_F(InvariantCheckerTest, ReportsASingleZoneJobInTwoZones) {
  spec().one_zone = true;
  start_one_task_on_each_machine();
  EXPECT_EQ(violations(), "wrong_place");
}

TEST_F(InvariantCheckerTest, ReportsATaskOnADisallowedSpotInstance) {
  spec().spot = false;
  start_one_task_on_each_machine();
  EXPECT_EQ(violations(), "wrong_place");
}

TEST_F(InvariantCheckerTest, ReportsTasksOnADisallowedMachineType) {
  spec().types = {{"small"}};
  start_one_task_on_each_machine();
  EXPECT_EQ(violations(), "wrong_place wrong_place");
}

TEST_F(InvariantCheckerTest, ReportsASpreadJobInOneZone) {
  spec().spread = true;
  spec().tasks = 2;
  checker_.task_started({"wk-1", 0}, "m1", 1);
  checker_.task_started({"wk-1", 1}, "m1", 1);
  EXPECT_EQ(violations(), "wrong_place");
}

TEST_F(InvariantCheckerTest, ReportsAStartAfterTheCancellation) {
  cancel();
  checker_.task_started({"wk-1", 0}, "m1", 11);
  EXPECT_EQ(violations(), "started_cancelled");
}

TEST_F(InvariantCheckerTest, ReportsATaskThatRunsTooLongAfterTheCancellation) {
  checker_.task_started({"wk-1", 0}, "m1", 1);
  cancel();
  checker_.check_deadlines(40010);
  EXPECT_EQ(violations(), "");
  checker_.check_deadlines(40011);
  EXPECT_EQ(violations(), "ran_cancelled");
}

TEST_F(InvariantCheckerTest, ReportsNotFoundForAnAcceptedJob) {
  checker_.jobs["wk-1"].accepted = true;
  checker_.job_answered("wk-1", 404, "");
  EXPECT_EQ(violations(), "forgotten");
}

TEST_F(InvariantCheckerTest, ReportsAnAnswerAboutAJobThatWasNeverSubmitted) {
  checker_.job_answered("wk-9", 200, "queued");
  EXPECT_EQ(violations(), "invented");
}

TEST_F(InvariantCheckerTest, ReportsDoneBeforeAllTasksFinished) {
  checker_.finished = {{"wk-1", 0}, {"wk-1", 2}};
  checker_.job_answered("wk-1", 200, "done");
  EXPECT_EQ(violations(), "not_done");
}

TEST_F(InvariantCheckerTest, ReportsAStartBeforeADependencyIsDone) {
  add_dependent_job();
  checker_.finished = {{"wk-1", 0}, {"wk-1", 1}};
  checker_.task_started({"wk-2", 0}, "m1", 1);
  EXPECT_EQ(violations(), "too_early");
}

TEST_F(InvariantCheckerTest, ReportsAQueuedJobLongAfterItsDependencyWasCancelled) {
  add_dependent_job();
  cancel();
  checker_.job_answered("wk-2", 200, "queued", 40010);
  EXPECT_EQ(violations(), "");
  checker_.job_answered("wk-2", 200, "queued", 40011);
  EXPECT_EQ(violations(), "orphaned");
}

TEST_F(InvariantCheckerTest, ReportsACancellationThatWasNeverRequested) {
  checker_.job_answered("wk-1", 200, "withdrawn");
  EXPECT_EQ(violations(), "cancelled_unasked");
}

TEST_F(InvariantCheckerTest, ReportsAnotherStageAfterAFinalOne) {
  checker_.jobs["wk-1"].cancel_requested = true;
  checker_.job_answered("wk-1", 200, "withdrawn");
  checker_.job_answered("wk-1", 503, "");
  checker_.job_answered("wk-1", 200, "running");
  EXPECT_EQ(violations(), "went_back");
}

}  // namespace
}  // namespace seampass::fakes
