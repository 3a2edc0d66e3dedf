// Tests the order in which a scheduling pass considers the pending jobs.
#include <gtest/gtest.h>

#include "sched/sched.h"
#include "sched_builders.h"

namespace seampass::sched {
namespace {

TEST(Sched, QueueOrderIsPriorityThenCreationTimeThenId) {
  std::vector<JobView> jobs(4);
  jobs[0].id = "wk-2";
  jobs[1].id = "wk-1";
  jobs[2].id = "wk-3";
  jobs[2].priority = wire::Priority::critical;
  jobs[2].created_ms = 50;
  jobs[3].id = "wk-0";
  jobs[3].created_ms = 7;
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{2, 1, 0, 3}));
}

TEST(Sched, FairShareRanksAlternateBetweenTeams) {
  std::vector<JobView> jobs;
  for (int i = 0; i < 4; ++i) {  // four jobs of red, all created before blue's
    jobs.push_back(pending_job("wk-" + std::to_string(i), wire::JobKind::array, 4, {1, 1, 1}));
    jobs.back().created_ms = i;
  }
  jobs.push_back(pending_job("wk-8", wire::JobKind::array, 4, {1, 1, 1}));
  jobs.back().team = "blue";
  jobs.back().created_ms = 9;
  jobs.push_back(jobs.back());
  jobs.back().id = "wk-9";
  set_fair_share_ranks(jobs, {}, {{"red", 4}, {"blue", 4}});
  // Each team's first job uses up its guarantee of 4 GPUs and has rank 0. Later jobs are ranked by
  // the requested multiple of the guarantee, so that the teams alternate.
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{0, 4, 1, 5, 2, 3}));
  for (JobView& job : jobs) job.fair_share_rank = 0;  // equal ranks: order by creation time
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{0, 1, 2, 3, 4, 5}));
}

}  // namespace
}  // namespace seampass::sched
