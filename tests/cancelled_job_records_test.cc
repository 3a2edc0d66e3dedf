// Tests of the task records of jobs that have ended. A record may outlive its job, and it may still
// assign tasks that were never started. No leader may start these tasks, and no such assignment may
// be left once a user was told that the job is cancelled. The tests run in simulated time against
// fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "fakes/calls.h"
#include "fakes/rolling_upgrade.h"
#include "fakes/simulated_cluster.h"
#include "leader/records/keys.h"
#include "leader/records/task_record.h"

namespace seampass::fakes {
namespace {

using leader::Layout;
using leader::RecordId;
using leader::TaskRecord;

constexpr const char* kMachine = "m-000001";

// A job whose tasks are so small that one machine runs all of them.
wire::Job small_task_job(const std::string& id, std::uint32_t tasks, wire::JobKind kind) {
  wire::Job job = wide_job(id, tasks, 400);
  job.kind = kind;
  job.cpus = 0.05;
  job.memory_gb = 0.1;
  return job;
}

// Rents one machine, which runs ten small tasks.
void run_small_tasks(SimulatedCluster& cluster) {
  cluster.cloud.capacity = 1;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_TRUE(cluster.submit_and_run(small_task_job("wk-900", 10, wire::JobKind::array)));
  cluster.time.run_for(10000);
}

// The record of a former leader that assigns two tasks of wk-1 to the machine.
std::string leave_assignments(SimulatedCluster& cluster, Layout layout) {
  TaskRecord record;
  record.id = {layout, 0};
  record.range = {0, 2};
  record.last_attempt = 1;
  record.team = "blue";
  record.request = {1, 1, 1};
  record.job_tasks = 2;
  record.assignments = {{0, 1, kMachine, 1}, {1, 1, kMachine, 1}};
  record.finished.assign(2, false);
  const std::string key = leader::work_key("wk-1", record.id);
  cluster.put(key, leader::encode(record));
  return key;
}

// Runs the simulation until the condition holds. Returns false if it does not within a minute.
[[nodiscard]] bool run_until(SimulatedCluster& cluster, const std::function<bool()>& condition) {
  constexpr Ms kTimeout = 60000;
  const Ms end = cluster.time.now() + kTimeout;
  while (!condition() && cluster.time.now() < end) cluster.time.run_for(1);
  return condition();
}

int starts_of(const SimulatedCluster& cluster, const std::string& job) {
  int count = 0;
  for (const auto& [task, starts] : cluster.checker.starts) count += task.job == job ? starts : 0;
  return count;
}

bool assigns_tasks(const SimulatedCluster& cluster, const std::string& job) {
  return cluster.state.dump("work/" + job + "/").find("\"tasks\":[[") != std::string::npos;
}

// Cancels wk-1. The leader writes nothing more after the final status and ends as soon as the user
// is told. Expects that no record assigns a task then, and that the next leader starts none.
void confirm_cancellation_and_end_leader(SimulatedCluster& cluster) {
  const std::string former_leader = cluster.leader();
  bool final_status_sent = false;
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.drop = final_status_sent && from == former_leader && is_to_store(call);
    final_status_sent = final_status_sent || writes_final_status(call);
    return delivery;
  });
  ASSERT_EQ(cluster.cancel_until_final(former_leader, "wk-1", 20000).stage(), "withdrawn");
  EXPECT_FALSE(assigns_tasks(cluster, "wk-1")) << cluster.state.dump("work/wk-1/");
  const int starts_when_confirmed = starts_of(cluster, "wk-1");
  cluster.kill(former_leader);
  cluster.net.set_rule({});
  cluster.time.run_for(30000);
  EXPECT_FALSE(cluster.leader().empty());
  EXPECT_EQ(starts_of(cluster, "wk-1"), starts_when_confirmed);
  EXPECT_EQ(cluster.state.count("work/wk-1/"), 0u);
  cluster.expect_no_violations();
}

// Guards against ran_cancelled: a former leader left a record that assigns tasks of a job which has
// ended. A new leader must not start them, not even to stop them at once, and must find out by
// itself that they are absent.
TEST(CancelledJobRecords, NewLeaderStartsNoTaskThatIsLeftInARecord) {
  for (const Layout layout : {Layout::chunks, Layout::segments}) {
    SimulatedCluster cluster(1, 1);
    ASSERT_NO_FATAL_FAILURE(run_small_tasks(cluster));
    cluster.kill_all();
    cluster.checker.jobs["wk-1"].spec = array_job("wk-1", 2, 100);
    cluster.put("ends/wk-1", {{"stage", "withdrawn"}, {"done", 0}});
    const std::string key = leave_assignments(cluster, layout);
    cluster.start_all();
    ASSERT_TRUE(cluster.wait_for_leader());
    cluster.time.run_for(10000);  // the machine has sent several heartbeats
    EXPECT_EQ(starts_of(cluster, "wk-1"), 0);
    EXPECT_FALSE(cluster.state.has(key));
    EXPECT_EQ(cluster.running_tasks("wk-900"), 10);
    cluster.expect_no_violations();
  }
}

// Guards against ran_cancelled: a job has more task records than fit into the transaction of its
// final status, and its tasks wait for the next heartbeat. When its user is told of the
// cancellation, no record may assign a task any more, and the leader may end at this moment.
TEST(CancelledJobRecords, NoRecordAssignsATaskOnceTheCancellationIsConfirmed) {
  for (const wire::JobKind kind : {wire::JobKind::array, wire::JobKind::gang}) {
    SimulatedCluster cluster(1, 1, kFallingLimits);
    ASSERT_NO_FATAL_FAILURE(run_small_tasks(cluster));
    cluster.apply_limits(kFallingLimits.next);
    ASSERT_TRUE(cluster.submit("n0", small_task_job("wk-1", 96, kind)).accepted());
    ASSERT_TRUE(run_until(cluster, [&] { return assigns_tasks(cluster, "wk-1"); }));
    cluster.time.run_for(300);
    ASSERT_EQ(cluster.state.count("work/wk-1/"), 3u);
    confirm_cancellation_and_end_leader(cluster);
  }
}

// Guards against exceeding a quota: the tasks of a cancelled job were never started, and the
// transaction that clears its records is late. Their quota may be given to another job only once no
// record assigns them, because the next leader may start what the records assign.
TEST(CancelledJobRecords, QuotaOfUnsentTasksIsFreedOnlyOnceNoRecordAssignsThem) {
  constexpr int kMachines = 16;
  SimulatedCluster cluster(1, kMachines);
  cluster.cloud.capacity = kMachines;
  ASSERT_TRUE(cluster.wait_for_leader());
  wire::Job filler = wide_job("wk-900", 8 * kMachines, 400);
  filler.cpus = 0.9;
  ASSERT_TRUE(cluster.submit_and_run(filler));
  ASSERT_TRUE(run_until(cluster, [&] { return cluster.running_tasks("wk-900") == 8 * kMachines; }));
  wire::Job job = array_job("wk-1", 16, 300);  // uses the whole quota, and all GPUs of its zone
  job.cpus = 0.3;
  job.memory_gb = 1;
  job.zone = "a";
  const std::string former_leader = cluster.leader();
  bool cancelled = false;
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    const bool of_cancelled_job = call.body.find("work/wk-1/") != std::string::npos;
    if (cancelled && from == former_leader && is_transaction(call) && of_cancelled_job)
      delivery.delay_without_answer = 60000;
    delivery.refuse = is_heartbeat(call);  // no start is sent in an answer
    return delivery;
  });
  cluster.submit("n0", job);
  job.id = "wk-2";
  job.zone = "b";
  cluster.submit("n0", job);
  ASSERT_TRUE(run_until(cluster, [&] { return assigns_tasks(cluster, "wk-1"); }));
  cancelled = true;
  cluster.cancel_without_waiting(former_leader, "wk-1");
  cluster.time.run_for(1500);
  cluster.kill(former_leader);
  cluster.net.set_rule({});
  cluster.time.run_for(60000);
  cluster.expect_no_violations();
}

// The same during an upgrade, when the chunks of the job are replaced by segments and the limits of
// the state service have fallen: neither layout may assign a task once the user is told.
TEST(CancelledJobRecords, NoRecordAssignsATaskAfterACancellationDuringAnUpgrade) {
  SimulatedCluster cluster(1, 1, kFallingLimits, {"n2"});
  ASSERT_NO_FATAL_FAILURE(run_small_tasks(cluster));
  ASSERT_TRUE(cluster.submit("n0", small_task_job("wk-1", 96, wire::JobKind::array)).accepted());
  ASSERT_TRUE(run_until(cluster, [&] { return cluster.running_tasks("wk-1") == 96; }));
  ASSERT_TRUE(cluster.state.has("work/wk-1/0"));  // a chunk
  cluster.upgrade("n2");
  ASSERT_TRUE(run_until(cluster, [&] { return cluster.state.has("cluster"); }));
  cluster.apply_limits(kFallingLimits.next);
  confirm_cancellation_and_end_leader(cluster);
}

// A cancellation waits for the writes that clear its records. Those of a job with many records must
// not delay its answer beyond the time in which the tasks of a cancelled job have to be gone.
TEST(CancelledJobRecords, CancellationOfAJobWithManyRecordsIsConfirmedWithinCancelTime) {
  constexpr Ms kCancelTime = 40000;  // cancel_s of the settings
  SimulatedCluster cluster(1, 1, kFallingLimits);
  ASSERT_NO_FATAL_FAILURE(run_small_tasks(cluster));
  cluster.apply_limits(kFallingLimits.next);
  wire::Job job = small_task_job("wk-1", 1000, wire::JobKind::array);
  job.cpus = 0.005;
  job.memory_gb = 0.01;
  ASSERT_TRUE(cluster.submit("n0", job).accepted());
  ASSERT_TRUE(run_until(cluster, [&] { return cluster.state.count("work/wk-1/") == 24; }));
  EXPECT_EQ(cluster.cancel_until_final(cluster.leader(), "wk-1", kCancelTime).stage(), "withdrawn");
  EXPECT_FALSE(assigns_tasks(cluster, "wk-1"));
  cluster.time.run_for(45000);
  cluster.expect_no_violations();
}

// One task of a gang fails while another waits for the next heartbeat to be started. The gang must
// start again as a whole.
TEST(CancelledJobRecords, GangStartsAgainAfterAnUnsentTaskWasRevoked) {
  SimulatedCluster cluster(1, 2);
  cluster.cloud.capacity = 2;
  ASSERT_TRUE(cluster.wait_for_leader());
  wire::Job filler = wide_job("wk-900", 8, 400);
  filler.cpus = 0.5;
  filler.zone = "a";
  ASSERT_TRUE(cluster.submit_and_run(filler));
  filler.id = "wk-901";
  filler.tasks = 1;
  filler.zone = "b";
  ASSERT_TRUE(cluster.submit_and_run(filler));
  const std::string other = cluster.checker.running_on.at({"wk-901", 0});
  cluster.cloud.machines.at(other)->fail_next(wire::ExitCause::error);
  wire::Job gang = gang_job("wk-1", 2, 20);
  gang.cpus = 4;  // one task fits on each machine
  gang.one_zone = false;
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    delivery.refuse = is_heartbeat(call) && from != other;  // no start is sent in an answer
    return delivery;
  });
  cluster.submit("n0", gang);
  cluster.time.run_for(3000);
  EXPECT_EQ(starts_of(cluster, "wk-1"), 1);
  cluster.net.set_rule({});
  EXPECT_TRUE(cluster.reaches("wk-1", "running", 90000));
  EXPECT_TRUE(cluster.reaches("wk-1", "done", 90000));
  cluster.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
