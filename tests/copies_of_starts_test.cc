// Tests of late copies of the messages that start tasks. A machine ends and is back at once under
// its name, so its worker begins again with incarnation 1 and knows no epoch; then everything that
// was sent to its former life is delivered to it once more. No copy may start a task. The tests run
// in simulated time against fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// What became of the task whose start is delivered again.
enum class Fate { cancelled, moved, done, gang_cancelled, gang_moved, dependent_cancelled };
// What happens to the leader before the copies arrive.
enum class Leader { stays, is_replaced, is_back_at_once };

const char* name_of(Fate fate) {
  switch (fate) {
    case Fate::cancelled:
      return "Cancelled";
    case Fate::moved:
      return "Moved";
    case Fate::done:
      return "Done";
    case Fate::gang_cancelled:
      return "GangCancelled";
    case Fate::gang_moved:
      return "GangMoved";
    case Fate::dependent_cancelled:
      return "DependentCancelled";
  }
  return "";
}

const char* name_of(Leader leader) {
  switch (leader) {
    case Leader::stays:
      return "LeaderStays";
    case Leader::is_replaced:
      return "LeaderIsReplaced";
    case Leader::is_back_at_once:
      return "LeaderIsBackAtOnce";
  }
  return "";
}

using Case = std::tuple<Fate, Leader, Ms>;

std::string name_of_case(const ::testing::TestParamInfo<Case>& info) {
  const auto [fate, leader, delay] = info.param;
  return std::string(name_of(fate)) + name_of(leader) + "After" + std::to_string(delay) + "Ms";
}

class CopiesOfStarts : public ::testing::TestWithParam<Case> {
 protected:
  CopiesOfStarts() { cluster_.cloud.capacity = 4; }

  // Runs the job and then what its fate is. Records all commands that are sent meanwhile.
  void play(Fate fate) {
    ASSERT_TRUE(cluster_.wait_for_leader());
    // One of these tasks on each machine keeps it rented and leaves room for one task of the job.
    wire::Job keeper = array_job("wk-900", 4, 900);
    keeper.gpus = 1.5;
    ASSERT_TRUE(cluster_.submit_and_run(keeper));
    while (cluster_.running_tasks("wk-900") < 4) cluster_.time.run_for(100);
    commands_ = &cluster_.record_calls("/commands");
    switch (fate) {
      case Fate::cancelled:
        run_and_cancel(small_job(600));
        break;
      case Fate::moved:
        for (const char* name : {"m-000001", "m-000002"})
          cluster_.cloud.machines.at(name)->fail_next(wire::ExitCause::error);
        run_until_moved(small_job(600));
        break;
      case Fate::done:
        cluster_.submit("n0", small_job(2));
        ASSERT_TRUE(cluster_.reaches("wk-1", "done", 30000));
        cluster_.time.run_for(10000);
        break;
      case Fate::gang_cancelled:
        run_and_cancel(small_gang());
        break;
      case Fate::gang_moved:
        cluster_.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
        run_until_moved(small_gang());
        break;
      case Fate::dependent_cancelled:
        run_dependent_and_cancel();
        break;
    }
  }
  void change_leader(Leader leader) {
    if (leader == Leader::stays) return;
    const std::string former = cluster_.leader();
    cluster_.kill(former);
    if (leader == Leader::is_back_at_once) {
      cluster_.time.run_for(200);
      cluster_.start(former);
    }
    ASSERT_TRUE(cluster_.wait_for_leader());
    cluster_.time.run_for(8000);
  }

  static wire::Job small_job(double run_s) {
    wire::Job job = array_job("wk-1", 1, run_s);
    job.gpus = 0.5;
    return job;
  }
  static wire::Job small_gang() {
    wire::Job gang = gang_job("wk-1", 2, 600);
    gang.cpus = 4;
    gang.gpus = 0.5;
    gang.one_zone = false;
    return gang;
  }
  void run_and_cancel(const wire::Job& job) {
    ASSERT_TRUE(cluster_.submit_and_run(job));
    ASSERT_EQ(cluster_.cancel_until_final("n0", "wk-1", 30000).stage(), "withdrawn");
    cluster_.time.run_for(45000);  // longer than cancel_s
  }
  // The first attempt of the job fails, and another one runs since.
  void run_until_moved(const wire::Job& job) {
    ASSERT_TRUE(cluster_.submit_and_run(job, 90000));
    cluster_.time.run_for(12000);
  }
  void run_dependent_and_cancel() {
    wire::Job upstream = small_job(2);
    upstream.id = "wk-2";
    cluster_.submit("n0", upstream);
    wire::Job dependent = small_job(600);
    dependent.dependencies = {"wk-2"};
    run_and_cancel(dependent);
  }

  SimulatedCluster cluster_{1, 4};
  const std::vector<net::Call>* commands_ = nullptr;
};

TEST_P(CopiesOfStarts, StartNoTaskOnAMachineThatIsBackAtOnce) {
  const auto [fate, leader, delay] = GetParam();
  ASSERT_NO_FATAL_FAILURE(play(fate));
  ASSERT_NO_FATAL_FAILURE(change_leader(leader));
  const std::vector<net::Call> copies = *commands_;
  ASSERT_FALSE(copies.empty());
  // All machines end, but for those where the job runs now.
  std::vector<std::string> machines;
  for (const auto& [name, machine] : cluster_.cloud.machines) machines.push_back(name);
  std::erase_if(machines, [&](const std::string& name) {
    for (const auto& [task, host] : cluster_.checker.running_on)
      if (task.job == "wk-1" && host == name) return true;
    return false;
  });
  ASSERT_FALSE(machines.empty());
  int starts_before = 0;
  for (const auto& [task, starts] : cluster_.checker.starts)
    starts_before += task.job == "wk-1" ? starts : 0;
  for (const std::string& name : machines) cluster_.cloud.restart(name);
  cluster_.time.run_for(delay);

  cluster_.resend(copies);
  cluster_.time.run_for(6000);

  int starts_after = 0;
  for (const auto& [task, starts] : cluster_.checker.starts)
    starts_after += task.job == "wk-1" ? starts : 0;
  EXPECT_EQ(starts_after, starts_before);
  cluster_.expect_no_violations();
}

// 10 ms is before the first heartbeat of the new life is answered, 12 s long after it.
INSTANTIATE_TEST_SUITE_P(
    All, CopiesOfStarts,
    ::testing::Combine(
        ::testing::Values(Fate::cancelled, Fate::moved, Fate::done, Fate::gang_cancelled,
                          Fate::gang_moved, Fate::dependent_cancelled),
        ::testing::Values(Leader::stays, Leader::is_replaced, Leader::is_back_at_once),
        ::testing::Values(Ms{10}, Ms{300}, Ms{3000}, Ms{12000})),
    name_of_case);

}  // namespace
}  // namespace seampass::fakes
