// Tests of the AttemptTracker: its bookkeeping against a simple reference model, and the evidence
// that proves an attempt absent from its machine.
#include "leader/attempts/attempt_tracker.h"

#include <gtest/gtest.h>

#include <random>

#include "fakes/sim_time.h"

namespace seampass::leader {
namespace {

using wire::TaskState;

class AttemptTrackerTest : public ::testing::Test {
 protected:
  AttemptTrackerTest() : process(time), tracker(process) {}

  JobRecord job(const std::string& id, const std::string& team, std::uint32_t tasks) {
    JobRecord record;
    record.spec.id = id;
    record.spec.team = team;
    record.spec.tasks = tasks;
    record.spec.cpus = 2;
    record.spec.gpus = 1;
    record.spec.memory_gb = 4;
    record.claimed.assign(tasks, false);
    record.finished.assign(tasks, false);
    return record;
  }

  fakes::SimTime time;
  fakes::Process process;
  AttemptTracker tracker;
};

// One attempt of the reference model, which is an unsorted list. `job` and `machine` are indices.
struct ReferenceAttempt {
  std::size_t job;
  std::uint32_t task;
  std::uint64_t number;
  std::size_t machine;
  TaskState state;
};

TEST_F(AttemptTrackerTest, AgreesWithAReferenceModel) {
  std::mt19937 random(7);
  const auto random_below = [&](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  std::vector<JobRecord> jobs;
  for (int i = 0; i < 6; ++i)
    jobs.push_back(job("wk-" + std::to_string(i), i % 2 == 0 ? "red" : "blue", 5));
  std::vector<Machine> machines(3);
  std::vector<ReferenceAttempt> reference;
  std::uint64_t number = 0;
  constexpr std::array kStates{TaskState::fetching, TaskState::waiting, TaskState::running};
  for (int step = 0; step < 3000; ++step) {
    const std::size_t job_index = random_below(jobs.size());
    const auto task = static_cast<std::uint32_t>(random_below(5));
    const auto entry =
        std::find_if(reference.begin(), reference.end(), [&](const ReferenceAttempt& attempt) {
          return attempt.job == job_index && attempt.task == task;
        });
    if (entry == reference.end()) {
      const std::size_t machine_index = random_below(machines.size());
      tracker.add(jobs[job_index], task, ++number, machines[machine_index], 1);
      reference.push_back({job_index, task, number, machine_index, TaskState::fetching});
    } else if (random_below(3) == 0) {
      tracker.remove(jobs[job_index].attempts.at(task));
      reference.erase(entry);
    } else {
      entry->state = kStates[random_below(kStates.size())];
      tracker.set_state(jobs[job_index].attempts.at(task), entry->state);
    }
    for (const char* team : {"red", "blue"}) {
      const auto charged = std::count_if(
          reference.begin(), reference.end(),
          [&](const ReferenceAttempt& attempt) { return jobs[attempt.job].spec.team == team; });
      EXPECT_DOUBLE_EQ(tracker.usage(team).cpus, 2.0 * static_cast<double>(charged));
      EXPECT_DOUBLE_EQ(tracker.usage(team).gpus, 1.0 * static_cast<double>(charged));
    }
    std::size_t on_machines = 0;
    for (const Machine& machine : machines) on_machines += machine.attempts.size();
    EXPECT_EQ(on_machines, reference.size());
    const auto running =
        std::count_if(reference.begin(), reference.end(), [&](const ReferenceAttempt& attempt) {
          return attempt.job == job_index && attempt.state == TaskState::running;
        });
    EXPECT_EQ(jobs[job_index].running_attempts, static_cast<std::uint32_t>(running));
    for (const ReferenceAttempt& attempt : reference) {
      const AttemptId id{jobs[attempt.job].spec.id, attempt.task, attempt.number};
      EXPECT_EQ(find_attempt_on(machines[attempt.machine], id),
                &jobs[attempt.job].attempts.at(attempt.task));
      EXPECT_TRUE(jobs[attempt.job].claimed[attempt.task]);
    }
    ASSERT_FALSE(::testing::Test::HasFailure()) << "step " << step;
  }
}

TEST_F(AttemptTrackerTest, FindOnReturnsNullForAnEarlierAttemptOfTheSameTask) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  tracker.add(record, 0, 2, machine, 1);
  EXPECT_EQ(find_attempt_on(machine, {"wk-1", 0, 1}), nullptr);
  EXPECT_NE(find_attempt_on(machine, {"wk-1", 0, 2}), nullptr);
}

TEST_F(AttemptTrackerTest, RemovingAnAttemptKeepsAFinishedTaskClaimed) {
  JobRecord record = job("wk-1", "red", 2);
  Machine machine;
  TaskAttempt& done = tracker.add(record, 0, 1, machine, 1);
  TaskAttempt& lost = tracker.add(record, 1, 1, machine, 1);
  record.finished[0] = true;
  tracker.remove(done);
  tracker.remove(lost);
  EXPECT_TRUE(record.claimed[0]);
  EXPECT_FALSE(record.claimed[1]);
}

TEST_F(AttemptTrackerTest, OnlyAHeartbeatMarksAnUnlistedAttemptOfTheSameIncarnationMissing) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  machine.incarnation = 4;
  TaskAttempt& attempt = tracker.add(record, 0, 1, machine, 4);
  attempt.reported = true;
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {}, ReportSource::command_reply));
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {{"wk-1", 0}}, ReportSource::heartbeat));
  EXPECT_TRUE(AttemptTracker::mark_missing(machine, {}, ReportSource::heartbeat));
}

TEST_F(AttemptTrackerTest, AnAttemptNeverListedIsMissingOnlyOnceItsIncarnationIsOver) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  machine.incarnation = 4;
  tracker.add(record, 0, 1, machine, 4);
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {}, ReportSource::heartbeat));
  machine.incarnation = 5;
  EXPECT_TRUE(AttemptTracker::mark_missing(machine, {}, ReportSource::command_reply));
}

// A former leader may leave a record that names attempts of a job which has ended. No leader starts
// them, so no report ever lists them.
TEST_F(AttemptTrackerTest, AnAttemptOfAnEndedJobIsMissingOnceAHeartbeatDoesNotListIt) {
  JobRecord record = job("wk-1", "red", 1);
  record.advance_to(Lifecycle::ended);
  Machine machine;
  machine.incarnation = 4;
  tracker.add(record, 0, 1, machine, 4);
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {}, ReportSource::command_reply));
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {{"wk-1", 0}}, ReportSource::heartbeat));
  EXPECT_TRUE(AttemptTracker::mark_missing(machine, {}, ReportSource::heartbeat));
}

TEST_F(AttemptTrackerTest, AnAttemptIsNotInspectedWhileItsStartMayBeInFlight) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  TaskAttempt& attempt = tracker.add(record, 0, 1, machine, 1);
  attempt.start_sent_at = process.now();
  attempt.missing = true;
  time.run_for(4000);
  // The start may still be in flight in the reply to a heartbeat.
  EXPECT_TRUE(tracker.to_inspect(machine).empty());
  time.run_for(1);
  EXPECT_EQ(tracker.to_inspect(machine), std::vector<AttemptId>{attempt.id()});
}

TEST_F(AttemptTrackerTest, ALeaseExpiresOnlyAfterTheTimeoutSinceItsLastPossibleRenewal) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  tracker.add(record, 0, 1, machine, 1);
  const ExpiryTimes times{20000, 40000};
  const net::Ms term_start = process.now();
  machine.last_heartbeat_at = term_start;
  time.run_for(20000);
  EXPECT_FALSE(tracker.lease_expired(machine, term_start, true, times));
  time.run_for(1);
  EXPECT_TRUE(tracker.lease_expired(machine, term_start, true, times));
  // The previous leader may have renewed the lease last.
  EXPECT_FALSE(tracker.lease_expired(machine, term_start, false, times));
  time.run_for(20000);
  EXPECT_TRUE(tracker.lease_expired(machine, term_start, false, times));
  machine.last_heartbeat_at = process.now();
  EXPECT_FALSE(tracker.lease_expired(machine, term_start, true, times));
}

}  // namespace
}  // namespace seampass::leader
