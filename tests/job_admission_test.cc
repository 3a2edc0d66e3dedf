// Tests which jobs JobAdmission rejects because they can never run, and the error text for the
// user.
#include "jobs/job_admission.h"

#include <gtest/gtest.h>

#include "wire/user_codec.h"

namespace seampass::jobs {
namespace {

class JobAdmissionTest : public testing::Test {
 protected:
  JobAdmissionTest() {
    settings_.teams = {{"red", 0, 64, 0, 8}};
    settings_.state_limits.value_kb = 1;
    settings_.next_state_limits = settings_.state_limits;
    wire::MachineType& type = types_["big"];
    type = {"big", 16, 4, 64, 0, 0, 1, 1, 45, {"a", "b"}};
    job_.id = "wk-1";
    job_.team = "red";
    job_.tasks = 2;
    job_.cpus = 8;
    job_.gpus = 4;
    job_.memory_gb = 16;
  }

  std::string rejection() const {
    return JobAdmission(settings_).rejection(job_, record_, types_).value_or("none");
  }

  config::Settings settings_;
  JobAdmission::MachineTypes types_;
  wire::Job job_;
  wire::Json record_ = wire::Json::object();
};

TEST_F(JobAdmissionTest, AcceptsAJobThatFits) { EXPECT_EQ(rejection(), "none"); }

TEST_F(JobAdmissionTest, RejectsAnUnknownTeam) {
  job_.team = "green";
  EXPECT_EQ(rejection(), "unknown team");
}

TEST_F(JobAdmissionTest, RejectsADependencyOnItself) {
  job_.dependencies = {"wk-2", "wk-1"};
  EXPECT_EQ(rejection(), "it depends on itself");
}

TEST_F(JobAdmissionTest, RejectsATaskThatFitsNoAllowedMachineType) {
  job_.gpus = 5;
  EXPECT_EQ(rejection(), "a task fits no allowed machine type");
  job_.gpus = 4;
  job_.zone = "c";
  EXPECT_EQ(rejection(), "a task fits no allowed machine type");
}

TEST_F(JobAdmissionTest, SpreadNeedsTwoZonesUnlessTheJobIsAnArray) {
  job_.spread = true;
  job_.zone = "a";
  EXPECT_EQ(rejection(), "none");
  job_.kind = wire::JobKind::gang;
  EXPECT_EQ(rejection(), "its tasks may not be in one zone, and fit no other");
  job_.zone.reset();
  EXPECT_EQ(rejection(), "none");
  job_.one_zone = true;
  EXPECT_EQ(rejection(), "its tasks may not be in one zone, and fit no other");
}

TEST_F(JobAdmissionTest, QuotaCountsAllTasksOfAGangAndOneTaskOfAnArray) {
  job_.tasks = 3;
  EXPECT_EQ(rejection(), "none");
  job_.kind = wire::JobKind::gang;
  EXPECT_EQ(rejection(), "over the team's limit");
}

TEST_F(JobAdmissionTest, RejectsARecordAboveNineTenthsOfTheMaximumValueSize) {
  record_ = std::string(919, 'x');  // 921 bytes as JSON; the maximum is 0.9 * 1024
  EXPECT_EQ(rejection(), "none");
  record_ = std::string(920, 'x');
  EXPECT_EQ(rejection(), "too large to be stored");
}

}  // namespace
}  // namespace seampass::jobs
