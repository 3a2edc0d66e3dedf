// The tracker of attempts beside a plain list of them, and the proofs that one is off its machine.
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

// What is charged where, as a list that is searched from end to end.
struct PlainAttempt {
  std::size_t job;
  std::uint32_t task;
  std::uint64_t number;
  std::size_t machine;
  TaskState state;
};

TEST_F(AttemptTrackerTest, AgreesWithAPlainList) {
  std::mt19937 random(7);
  const auto below = [&](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  };
  std::vector<JobRecord> jobs;
  for (int i = 0; i < 6; ++i)
    jobs.push_back(job("wk-" + std::to_string(i), i % 2 == 0 ? "red" : "blue", 5));
  std::vector<Machine> machines(3);
  std::vector<PlainAttempt> plain;
  std::uint64_t number = 0;
  constexpr std::array kStates{TaskState::fetching, TaskState::waiting, TaskState::running};
  for (int step = 0; step < 3000; ++step) {
    const std::size_t j = below(jobs.size());
    const auto task = static_cast<std::uint32_t>(below(5));
    const auto listed = std::find_if(plain.begin(), plain.end(), [&](const PlainAttempt& a) {
      return a.job == j && a.task == task;
    });
    if (listed == plain.end()) {
      const std::size_t m = below(machines.size());
      tracker.add(jobs[j], task, ++number, machines[m], 1);
      plain.push_back({j, task, number, m, TaskState::fetching});
    } else if (below(3) == 0) {
      tracker.remove(jobs[j].attempts.at(task));
      plain.erase(listed);
    } else {
      listed->state = kStates[below(kStates.size())];
      tracker.set_state(jobs[j].attempts.at(task), listed->state);
    }
    for (const char* team : {"red", "blue"}) {
      const auto used = std::count_if(plain.begin(), plain.end(), [&](const PlainAttempt& a) {
        return jobs[a.job].spec.team == team;
      });
      EXPECT_DOUBLE_EQ(tracker.usage(team).cpus, 2.0 * static_cast<double>(used));
      EXPECT_DOUBLE_EQ(tracker.usage(team).gpus, 1.0 * static_cast<double>(used));
    }
    std::size_t on_machines = 0;
    for (const Machine& machine : machines) on_machines += machine.attempts.size();
    EXPECT_EQ(on_machines, plain.size());
    const auto running = std::count_if(plain.begin(), plain.end(), [&](const PlainAttempt& a) {
      return a.job == j && a.state == TaskState::running;
    });
    EXPECT_EQ(jobs[j].running, static_cast<std::uint32_t>(running));
    for (const PlainAttempt& a : plain) {
      const AttemptId id{jobs[a.job].spec.id, a.task, a.number};
      EXPECT_EQ(find_on(machines[a.machine], id), &jobs[a.job].attempts.at(a.task));
      EXPECT_TRUE(jobs[a.job].claimed[a.task]);
    }
    ASSERT_FALSE(::testing::Test::HasFailure()) << "step " << step;
  }
}

TEST_F(AttemptTrackerTest, AnEarlierAttemptIsNotFoundUnderTheTaskOfALaterOne) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  tracker.add(record, 0, 2, machine, 1);
  EXPECT_EQ(find_on(machine, {"wk-1", 0, 1}), nullptr);
  EXPECT_NE(find_on(machine, {"wk-1", 0, 2}), nullptr);
}

TEST_F(AttemptTrackerTest, AFinishedTaskStaysTakenWhenItsAttemptIsRemoved) {
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

TEST_F(AttemptTrackerTest, AnAnswerToACommandRaisesNoQuestionAboutItsOwnSession) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  machine.incarnation = 4;
  TaskAttempt& attempt = tracker.add(record, 0, 1, machine, 4);
  attempt.seen = true;
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {}, ReportSource::command_answer));
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {{"wk-1", 0}}, ReportSource::heartbeat));
  EXPECT_TRUE(AttemptTracker::mark_missing(machine, {}, ReportSource::heartbeat));
}

TEST_F(AttemptTrackerTest, AnAttemptThatWasNeverSeenIsMissingOnlyOnceItsSessionIsOver) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  machine.incarnation = 4;
  tracker.add(record, 0, 1, machine, 4);
  EXPECT_FALSE(AttemptTracker::mark_missing(machine, {}, ReportSource::heartbeat));
  machine.incarnation = 5;
  EXPECT_TRUE(AttemptTracker::mark_missing(machine, {}, ReportSource::command_answer));
}

TEST_F(AttemptTrackerTest, NothingIsInspectedWhileItsStartMayBeOnItsWay) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  TaskAttempt& attempt = tracker.add(record, 0, 1, machine, 1);
  attempt.start_sent_at = process.now();
  attempt.missing = true;
  time.run_for(4000);
  EXPECT_TRUE(tracker.to_inspect(machine).empty());  // in the answer to a heartbeat
  time.run_for(1);
  EXPECT_EQ(tracker.to_inspect(machine), std::vector<AttemptId>{attempt.id()});
  attempt.in_flight = 1;  // in a command
  EXPECT_TRUE(tracker.to_inspect(machine).empty());
}

TEST_F(AttemptTrackerTest, ALeaseIsOverOnlyAfterTheLastSignThatItMayHaveBeenRenewed) {
  JobRecord record = job("wk-1", "red", 1);
  Machine machine;
  TaskAttempt& attempt = tracker.add(record, 0, 1, machine, 1);
  const ExpiryTimes times{20000, 40000};
  const net::Ms began = process.now();
  machine.last_heartbeat_at = began;
  time.run_for(20000);
  EXPECT_FALSE(tracker.lease_expired(machine, began, true, times));
  time.run_for(1);
  EXPECT_TRUE(tracker.lease_expired(machine, began, true, times));
  // Another leader may have answered it last.
  EXPECT_FALSE(tracker.lease_expired(machine, began, false, times));
  time.run_for(20000);
  EXPECT_TRUE(tracker.lease_expired(machine, began, false, times));
  attempt.in_flight = 1;
  EXPECT_FALSE(tracker.lease_expired(machine, began, true, times));
  attempt.in_flight = 0;
  machine.last_command_ack_at = process.now();
  EXPECT_FALSE(tracker.lease_expired(machine, began, true, times));
}

}  // namespace
}  // namespace seampass::leader
