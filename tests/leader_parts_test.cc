// Unit tests of parts of the leader: the JobTable, the lifecycle of a JobRecord, the
// AttemptLifecycle and the HeartbeatReconciler.
#include <gtest/gtest.h>

#include "cloud/client.h"
#include "fakes/sim_net.h"
#include "fakes/state_service.h"
#include "leader/attempts/absence_verifier.h"
#include "leader/workers/heartbeat_reconciler.h"

namespace seampass::leader {
namespace {

using wire::ExitCause;
using wire::TaskState;

JobRecord job_of(const std::string& id, wire::JobKind kind, std::uint32_t tasks) {
  JobRecord job;
  job.spec.id = id;
  job.spec.kind = kind;
  job.spec.tasks = tasks;
  job.claimed.assign(tasks, false);
  job.finished.assign(tasks, false);
  return job;
}

TEST(JobRecord, LifecycleNeverReturnsToAnEarlierValue) {
  JobRecord job = job_of("wk-1", wire::JobKind::array, 1);
  EXPECT_TRUE(job.active());
  job.advance_to(Lifecycle::writing_final_status);
  job.advance_to(Lifecycle::stopping);
  EXPECT_FALSE(job.active());
  EXPECT_TRUE(job.final_status_decided());
  EXPECT_FALSE(job.ended());
  job.advance_to(Lifecycle::ended);
  EXPECT_TRUE(job.final_status_decided() && job.ended());
}

TEST(JobRecord, CountsAFinishedTaskOnce) {
  JobRecord job = job_of("wk-1", wire::JobKind::array, 2);
  job.finish_task(1);
  job.finish_task(1);
  EXPECT_EQ(job.finished_count, 1u);
  EXPECT_TRUE(job.claimed[1]);
  EXPECT_FALSE(job.all_finished());
}

TEST(JobTable, IteratesInTheOrderOfIdsAndFindsAttemptsByNumber) {
  JobTable jobs;
  jobs.add(job_of("wk-2", wire::JobKind::array, 1));
  JobRecord& first = jobs.add(job_of("wk-1", wire::JobKind::array, 2));
  first.attempts[1].number = 7;
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs) ids.push_back(id);
  EXPECT_EQ(ids, (std::vector<std::string>{"wk-1", "wk-2"}));
  EXPECT_EQ(jobs.find_attempt({"wk-1", 1, 7}), &first.attempts.at(1));
  EXPECT_EQ(jobs.find_attempt({"wk-1", 1, 6}), nullptr);
  EXPECT_EQ(jobs.find_attempt("wk-1", 0), nullptr);
  EXPECT_EQ(jobs.find_attempt("wk-3", 0), nullptr);
}

// The parts that act on attempts. The simulated network contains no state service, cloud or worker,
// so no request is ever answered.
class LeaderPartsTest : public ::testing::Test {
 protected:
  LeaderPartsTest() {
    settings.heartbeat_interval_s = 6;
    settings.lease_s = 20;
  }
  Machine& machine(const std::string& name) { return fleet.ensure(name); }
  TaskAttempt& start(JobRecord& job, std::uint32_t task, const std::string& machine_name) {
    TaskAttempt& attempt = tracker.add(job, task, ++job.last_attempt, machine(machine_name), 1);
    attempt.durable = attempt.start_sent = attempt.reported = true;
    return attempt;
  }
  void report_exit(TaskAttempt& attempt, ExitCause cause) {
    attempts.on_task_exited(attempt, {attempt.job->spec.id, attempt.task, attempt.number,
                                      TaskState::exited, cause, false});
  }
  wire::Heartbeat heartbeat_of(std::uint64_t sequence, std::vector<wire::TaskStatus> tasks) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = "m-1";
    heartbeat.incarnation = 1;
    heartbeat.sequence = sequence;
    heartbeat.tasks = std::move(tasks);
    return heartbeat;
  }

  fakes::SimTime time;
  fakes::SimNet net{time, 5};
  fakes::Process process{time};
  fakes::SimCaller http{net, "n0", process.alive()};
  state::Client state{process, http, "state:1", {1000, 1000, 100}, 500};
  cloud::Client cloud{process, http, "cloud:1", 10, 500};
  cloud::MachineCatalog catalog{process, cloud, 1000, 1000};
  config::Settings settings;
  config::OperatorSettings operator_settings;
  Election election{process,
                    state,
                    "n0",
                    0,
                    {1000, 1000, 1000},
                    {.on_elected = [] {}, .on_step_down = [] {}, .announce = [](std::uint64_t) {}}};
  TermState term{election};
  LeaderContext context{process, election, term, settings};
  workers::Client workers{http, 500, 4};
  JobTable jobs;
  AttemptTracker tracker{process};
  Fleet fleet{process, cloud, catalog, settings, operator_settings, [](Machine&) {}};
  RecordStore records{
      process,
      state,
      {1000, 1000, 8, 10},
      {[this](const std::string& job, const RecordId& id) { return writer.render(job, id); }, [] {},
       [](const std::string&, wire::Stage) {}, [] {}}};
  TaskRecordWriter writer{jobs, records, {16, 16}};
  CommandDispatcher commands{context, workers, fleet, [](Machine&, const wire::Heartbeat&) {}};
  int completed_jobs = 0;
  AttemptLifecycle attempts{
      context,
      jobs,
      tracker,
      writer,
      fleet,
      commands,
      {[](const std::string&) {}, [this](JobRecord& job) { completed_jobs += job.all_finished(); },
       [] {}}};
  AbsenceVerifier absence{context, workers, fleet, tracker, attempts, commands};
  HeartbeatReconciler reconciler{
      context, {jobs, fleet, tracker, writer, attempts, absence}, {[](JobRecord&) {}, [] {}}};
};

// Such an attempt keeps its resources until its task record is durable without it.
TEST_F(LeaderPartsTest, StopAllReleasesAttemptsWhoseStartWasNeverSent) {
  fakes::StateService service(time);
  net.serve("state:1", [&service](const net::Request& request, net::Answer answer) {
    service.handle(request, std::move(answer));
  });
  service.handle({"POST", "/txn", R"({"if":[],"apply":[{"write":"leader","v":{}}]})"},
                 [](const net::Response&) {});
  records.start_term(1);
  JobRecord& job = jobs.add(job_of("wk-1", wire::JobKind::array, 2));
  start(job, 0, "m-1");
  start(job, 1, "m-1").start_sent = false;
  attempts.stop_all(job, 5, audit::StopReason::job_over);
  ASSERT_EQ(job.attempts.size(), 2u);
  EXPECT_TRUE(job.attempts.at(1).revoked);
  time.run_for(100);
  ASSERT_EQ(job.attempts.size(), 1u);
  EXPECT_NE(service.dump("work/wk-1/").find(R"("tasks":[[0,)"), std::string::npos);
  EXPECT_EQ(service.dump("work/wk-1/").find("[1,"), std::string::npos);
  EXPECT_TRUE(job.attempts.at(0).stop_requested);
  attempts.stop_all(job, 0, audit::StopReason::job_over);
  EXPECT_EQ(job.attempts.at(0).termination_grace_s, 5);
  attempts.stop_all(job, 0, audit::StopReason::job_over, StopScope::all);
  EXPECT_EQ(job.attempts.at(0).termination_grace_s, 0);
}

TEST_F(LeaderPartsTest, LosingOneTaskStopsTheGang) {
  JobRecord& gang = jobs.add(job_of("wk-1", wire::JobKind::gang, 2));
  TaskAttempt& lost = start(gang, 0, "m-1");
  start(gang, 1, "m-2");
  attempts.release_lost({&lost}, audit::AbsenceProof::lease_expired);
  EXPECT_FALSE(gang.attempts.contains(0));
  EXPECT_TRUE(gang.attempts.at(1).stop_requested);
  // The task had completed before the stop command arrived.
  report_exit(gang.attempts.at(1), ExitCause::done);
  EXPECT_TRUE(gang.all_finished());
  EXPECT_EQ(completed_jobs, 1);
}

TEST_F(LeaderPartsTest, AFailureQuarantinesTheMachineUnlessTheJobFailsOnOthers) {
  JobRecord& job = jobs.add(job_of("wk-1", wire::JobKind::array, 1));
  report_exit(start(job, 0, "m-1"), ExitCause::error);
  EXPECT_EQ(machine("m-1").quarantined_until, process.now() + 20000);
  EXPECT_EQ(job.retry_at, process.now() + 12000);
  report_exit(start(job, 0, "m-2"), ExitCause::error);
  EXPECT_TRUE(job.fails_everywhere());
  EXPECT_EQ(machine("m-1").quarantined_until, 0);
  EXPECT_EQ(job.retry_at, process.now() + 20000);  // the delay never exceeds the lease
}

TEST_F(LeaderPartsTest, AdoptsAReportedTaskOfAnOpenJobAndCountsAnUnknownTask) {
  JobRecord& job = jobs.add(job_of("wk-1", wire::JobKind::array, 1));
  const wire::TaskStatus task{"wk-1", 0, 3, TaskState::running, ExitCause::none, false};
  reconciler.reconcile(machine("m-1"), heartbeat_of(1, {task, {"wk-9", 0, 1}}),
                       ReportSource::heartbeat);
  ASSERT_TRUE(job.attempts.contains(0));
  EXPECT_EQ(job.running_attempts, 1u);
  EXPECT_EQ(job.last_attempt, 3u);
  EXPECT_FALSE(job.attempts.at(0).stop_requested);
  EXPECT_EQ(machine("m-1").unknown_tasks, 1u);
  // A report that is not newer than the last one changes nothing.
  reconciler.reconcile(machine("m-1"), heartbeat_of(1, {}), ReportSource::heartbeat);
  EXPECT_FALSE(job.attempts.at(0).missing);
  reconciler.reconcile(machine("m-1"), heartbeat_of(2, {}), ReportSource::heartbeat);
  EXPECT_TRUE(job.attempts.at(0).missing);
}

TEST_F(LeaderPartsTest, AsksForAHeartbeatOnceAndNamesATaskThatTheJobDoesNotHave) {
  std::vector<std::string> sent;
  net.set_rule([&sent](const std::string& /*from*/, const net::Call& call) {
    if (call.path == "/commands") sent.push_back(call.body);
    return fakes::Delivery{};
  });
  Machine& host = machine("m-1");
  const JobRecord job = job_of("wk-1", wire::JobKind::array, 2);

  commands.request_heartbeat(host, job.spec);  // the worker has not shown this leader's epoch
  EXPECT_FALSE(host.heartbeat_requested);
  host.addr = "m-1:9000";
  host.registered = true;
  host.incarnation = 3;
  commands.request_heartbeat(host, job.spec);
  commands.request_heartbeat(host, job.spec);
  host.heartbeat_requested = false;
  commands.request_heartbeat(host, job.spec);

  EXPECT_EQ(sent,
            (std::vector<std::string>{
                R"({"orders":[{"pour":"wk-1/2","try":0,"verb":"run"}],"shift":3,"warrant":0})",
                R"({"orders":[{"pour":"wk-1/3","try":0,"verb":"run"}],"shift":3,"warrant":0})"}));
}

}  // namespace
}  // namespace seampass::leader
