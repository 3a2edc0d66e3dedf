// Late copies of old messages, repeats of requests that were carried out, and what is back within a
// fraction of a second. Each test fails when its guard is taken out.
#include <gtest/gtest.h>

#include <thread>

#include "fakes/world.h"
#include "leader/jobs/open_record.h"
#include "net/loop.h"

namespace seampass::fakes {
namespace {

// A job whose one task keeps the only machine up.
void keep_busy(SimulatedCluster& w) {
  w.cloud.capacity = 1;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-900", 1, 400));
  ASSERT_TRUE(w.reaches("wk-900", "running", 30000));
}

// Cancels wk-1, waits until all of it must be gone, and sends the commands again.
void cancel_and_repeat(SimulatedCluster& w, const std::vector<net::Call>& commands) {
  EXPECT_EQ(w.cancel("n0", "wk-1").stage(), "withdrawn");
  w.time.run_for(45000);  // longer than cancel_s
  const int before = w.starts();
  ASSERT_FALSE(commands.empty());
  w.repeat(commands);
  w.time.run_for(5000);
  EXPECT_EQ(w.starts(), before);
  w.expect_rules();
}

// Copies of the commands that started a job, after it was cancelled and all of it was gone.
TEST(DuplicateDelivery, OfStartsDoNotRunACancelledJob) {
  SimulatedCluster w(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_busy(w));
  auto& commands = w.record("/commands");
  w.submit("n0", array_job("wk-1", 1, 100));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  cancel_and_repeat(w, commands);
}

// A task that was done before its job was cancelled is not started again either.
TEST(DuplicateDelivery, OfStartsDoNotRunWhatWasDoneOfACancelledJob) {
  SimulatedCluster w(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_busy(w));
  auto& commands = w.record("/commands");
  w.submit("n0", array_job("wk-1", 8, 3));  // one at a time beside the other job
  w.time.run_for(9000);
  ASSERT_GT(w.checker.done.size(), 0u);
  cancel_and_repeat(w, commands);
}

// An attempt failed, and the task runs elsewhere.
TEST(DuplicateDelivery, OfStartsDoNotRunATaskTwice) {
  SimulatedCluster w(1, 2);
  w.cloud.capacity = 3;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-900", 3, 400));
  ASSERT_TRUE(w.reaches("wk-900", "running", 30000));
  auto& commands = w.record("/commands");
  w.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
  w.cloud.machines.at("m-000002")->fail_next(wire::ExitCause::error);
  w.submit("n0", array_job("wk-1", 1, 200));
  ASSERT_TRUE(w.reaches("wk-1", "running", 60000));
  w.time.run_for(12000);
  w.repeat(commands);
  w.time.run_for(5000);
  w.expect_rules();
}

// The next attempt of a task never waits behind one that can't be forgotten, and a job that fails
// does not shut its machines for good.
TEST(DuplicateDelivery, LeftoversAreInNobodysWay) {
  SimulatedCluster w(1, 2);
  w.cloud.capacity = 2;
  ASSERT_TRUE(w.settle());
  w.cloud.machines.at("m-000001")->fail_next(wire::ExitCause::error);
  w.submit("n0", gang_job("wk-1", 1, 6));
  EXPECT_TRUE(w.reaches("wk-1", "done", 90000));
  w.expect_rules();
}

// Answers to a node's former self carry numbers that its next self might use.
TEST(DuplicateDelivery, OfAnswersToAFormerSelfAreNotTaken) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 2, 300));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  const std::string node = w.follower(), leader = w.leader();
  w.kill(node);
  w.start(node);
  w.time.run_for(3000);
  rpc::JobReply old;
  old.lookup = rpc::Lookup::found;
  old.status.stage = wire::Stage::done;
  for (Ms at = 0; at < 12; ++at)
    w.time.after(at, [&w, &leader, &node, old]() mutable {
      for (old.number = 1; old.number < 100; ++old.number) w.deliver(leader, node, old);
    });
  EXPECT_EQ(w.poll(node, "wk-1").stage(), "running");
  EXPECT_EQ(w.poll(node, "wk-1").stage(), "running");
  w.expect_rules();
}

// News of an acceptance reach the next leader, which never knew of the job's end.
TEST(DuplicateDelivery, OfNewsDoNotBringAnEndedJobBack) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 1, 2));
  ASSERT_TRUE(w.reaches("wk-1", "done", 30000));
  const std::string record = leader::encode_open_record(array_job("wk-1", 1, 2), 5).dump();
  for (const char* n : {"n0", "n1", "n2"}) w.kill(n);
  for (const char* n : {"n0", "n1", "n2"}) w.start(n);
  w.time.run_for(100);
  ASSERT_TRUE(w.settle());
  w.time.run_for(2000);
  w.deliver(w.follower(), w.leader(), rpc::JobAccepted{"wk-1", record, 2});
  EXPECT_EQ(w.poll(w.leader(), "wk-1").stage(), "done");
  w.expect_rules();
}

// A word given to this leader in an earlier term, by a round of the same number, vouches for
// nothing.
TEST(DuplicateDelivery, OfWordsOfAnEarlierTermVouchForNothing) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 6, 200));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  const std::string leader = w.leader();
  w.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  w.state.down = true;
  for (int i = 0; i < 60; ++i) {
    for (const char* n : {"n0", "n1", "n2"})
      for (std::uint64_t round = 1; n != leader && round < 200; ++round)
        w.deliver(n, leader, rpc::EpochConfirmation{round, 0, 1'000'000});
    w.time.run_for(1000);
  }
  EXPECT_TRUE(w.checker.on.empty());  // the leases have run out
  w.net.set_peer_rule({});
  w.state.come_back();
  EXPECT_TRUE(w.reaches("wk-1", "done", 400000));
  w.expect_rules();
}

// A machine ends and is back at once, counting its reports from the start. What it is then told to
// start runs until its own lease is over, and is started nowhere else before that; meanwhile no
// machine can be returned.
TEST(DuplicateDelivery, AMachineBackAtOnceIsNotGivenUpWhileItRuns) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    SimulatedCluster w(seed, 2);
    w.cloud.capacity = 2;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-900", 1, 900));
    w.submit("n0", array_job("wk-901", 1, 260));  // beside it: room from then on
    auto last = array_job("wk-902", 1, 900);
    last.priority = wire::Priority::low;
    w.submit("n0", last);
    ASSERT_TRUE(w.reaches("wk-902", "running", 30000));
    w.time.run_for(244000 + 500 * seed);  // its count is far ahead of what comes after
    const std::string half = w.checker.on[(TaskKey{"wk-902", 0})];
    ASSERT_NE(w.checker.on[(TaskKey{"wk-900", 0})], half);
    ASSERT_NE(w.checker.on[(TaskKey{"wk-901", 0})], half);
    w.cloud.down = true;
    w.cloud.restart(half);
    w.submit("n0", array_job("wk-1", 1, 300));
    w.time.run_for(1000);
    ASSERT_EQ(w.checker.on[(TaskKey{"wk-1", 0})], half);
    w.time.run_for(50000);  // the other machine has room again before the lease is over
    w.cloud.down = false;
    EXPECT_TRUE(w.reaches("wk-1", "done", 900000));
    w.expect_rules();
  }
}

wire::Job pinned(const char* id, std::uint32_t tasks, double run_s, const char* zone) {
  auto job = array_job(id, tasks, run_s);
  job.zone = zone;
  return job;
}

// Two machines: one in zone b, full for so long, then with room for one task; and one in zone a
// with room for one task now, whose name is returned.
std::string one_in_each_zone(SimulatedCluster& w, double full_s) {
  w.cloud.capacity = 2;
  EXPECT_TRUE(w.settle());
  w.submit("n0", pinned("wk-900", 1, full_s, "b"));
  w.submit("n0", pinned("wk-901", 1, 400, "b"));
  w.submit("n0", pinned("wk-902", 1, 400, "a"));
  for (const char* id : {"wk-900", "wk-901", "wk-902"})
    EXPECT_TRUE(w.reaches(id, "running", 30000));
  return w.checker.on[(TaskKey{"wk-902", 0})];
}

// A report of a machine is held up; the machine ends, is back at once with a lower count, and is
// given work. When the report arrives, its count makes it look newer than what the machine has said
// since; it lacks the task, and proves nothing: the task runs.
TEST(DuplicateDelivery, AReportHeldUpSinceBeforeARestartEndsNoTask) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    SimulatedCluster w(seed, 2);
    const std::string host = one_in_each_zone(w, 12);
    net::Call held;
    w.net.set_rule([&held, host](const std::string& from, const net::Call& c) {
      Delivery f;
      if (from != host || c.path != "/checkin") return f;
      held = c;
      f.status = 503;
      return f;
    });
    w.time.run_for(5500);  // its count goes on, and the leader does not hear of it
    w.net.set_rule({});
    w.cloud.restart(host);
    w.submit("n0", array_job("wk-1", 1, 200));
    ASSERT_TRUE(w.reaches("wk-1", "running", 10000));
    ASSERT_EQ(w.checker.on[(TaskKey{"wk-1", 0})], host);
    auto next = pinned("wk-903", 1, 400, "a");  // waits for that task's room
    next.priority = wire::Priority::high;
    w.submit("n0", next);
    held.endpoint = w.leader() + ":8080";
    w.repeat({held});
    w.time.run_for(20000);
    w.expect_rules();
    EXPECT_EQ(w.checker.starts[(TaskKey{"wk-1", 0})], 1);
  }
}

// A machine ends and is back at once; what it is told to start then is executed, and the answer is
// lost. The task runs there until the lease that began with the machine is over, and no sooner is
// it started elsewhere.
TEST(DuplicateDelivery, AStartWithoutAnAnswerMayRunForALease) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    SimulatedCluster w(seed, 2);
    const std::string host = one_in_each_zone(w, 14);
    bool cut = false;
    w.net.set_rule([&cut, host](const std::string& from, const net::Call& c) {
      Delivery f;
      f.lose_answer = c.endpoint == host + ":9000";
      f.refuse = cut && from == host;
      return f;
    });
    w.time.run_for(250 * seed);
    cut = true;
    w.cloud.down = true;  // no machine can be returned
    w.time.run_for(5000);
    w.cloud.restart(host);
    w.submit("n0", array_job("wk-1", 1, 100));
    w.time.run_for(50000);
    w.expect_rules();
    w.net.set_rule({});
    w.cloud.down = false;
    EXPECT_TRUE(w.reaches("wk-1", "done", 200000));
    w.expect_rules();
  }
}

// How many ended attempts the machine reports.
int ended_on(SimulatedCluster& w, const std::string& machine) {
  int ended = -1;
  const auto alive = std::make_shared<bool>(true);
  w.net.call("user", alive, {machine + ":9000", "GET", "/inspect", "", 1000},
             [&ended](const net::Reply& reply) {
               ended = 0;
               for (const auto& task : wire::heartbeat_from(reply.body).tasks)
                 ended += task.state == wire::TaskState::exited ? 1 : 0;
             });
  w.time.run_for(1000);
  return ended;
}

// However many tasks of a job one machine has had: copies of their starts do nothing once the job
// is cancelled, and the machine is not given up for that.
TEST(DuplicateDelivery, OfManyStartsOnOneMachineDoNothing) {
  SimulatedCluster w(1, 1);
  ASSERT_NO_FATAL_FAILURE(keep_busy(w));
  auto& commands = w.record("/commands");
  w.submit("n0", array_job("wk-1", 100, 1));  // one at a time beside the other job
  for (int i = 0; i < 400 && w.checker.done.size() < 50; ++i) w.time.run_for(1000);
  ASSERT_GE(w.checker.done.size(), 50u);
  auto urgent = array_job("wk-2", 1, 400);  // meanwhile nothing changes about the first
  urgent.priority = wire::Priority::high;
  w.submit("n0", urgent);
  ASSERT_TRUE(w.reaches("wk-2", "running", 30000));
  w.time.run_for(15000);
  ASSERT_LT(w.checker.done.size(), 100u);
  const int ended = ended_on(w, w.checker.on[(TaskKey{"wk-900", 0})]);
  EXPECT_GE(ended, 1);
  EXPECT_LE(ended, 12);  // its reports stay short
  cancel_and_repeat(w, commands);
  EXPECT_EQ(w.checker.starts[(TaskKey{"wk-900", 0})], 1);
}

// No worker reaches the leader, though the state service and its peers do.
TEST(DuplicateDelivery, ALeaderThatNoWorkerReachesMakesWay) {
  SimulatedCluster w(1, 6);
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 10, 60));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(4000);
  const std::string old = w.leader();
  w.net.set_rule([old](const std::string& from, const net::Call& c) {
    Delivery f;
    f.never = c.endpoint == old + ":8080" || (from == old && c.endpoint.starts_with("m-"));
    return f;
  });
  w.time.run_for(40000);  // twice a worker's lease
  EXPECT_NE(w.leader(), old);
  EXPECT_TRUE(w.reaches("wk-1", "done", 60000));
  for (const auto& [task, n] : w.checker.starts) EXPECT_EQ(n, 1) << task.index;
  w.expect_rules();
}

// A leader makes way; of the others, one that no worker reaches leaves it to one that they do
// reach.
TEST(DuplicateDelivery, ANodeThatNoWorkerReachesStandsSecond) {
  for (unsigned seed = 1; seed <= 8; ++seed) {
    SimulatedCluster w(seed, 6);
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 10, 100));
    ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
    const std::string old = w.leader(), deaf = w.follower();
    w.net.set_rule([old, deaf](const std::string& from, const net::Call& c) {
      Delivery f;
      f.refuse =
          from.starts_with("m-") && (c.endpoint == old + ":8080" || c.endpoint == deaf + ":8080");
      return f;
    });
    for (int i = 0; i < 200 && (w.leader() == old || w.leader().empty()); ++i) w.time.run_for(100);
    EXPECT_NE(w.leader(), old);
    EXPECT_NE(w.leader(), deaf) << "seed " << seed;
  }
}

// Time goes on while something is handled, and a timer set meanwhile counts from then.
TEST(DuplicateDelivery, NoTimeIsReadOnceForALongTurn) {
  net::Loop loop;
  Ms before = 0, after = 0, fired = 0;
  loop.after(1, [&] {
    before = loop.now();
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    after = loop.now();
    loop.after(40, [&] { fired = loop.now(); });
  });
  loop.run();
  EXPECT_GE(after, before + 60);
  EXPECT_GE(fired, after + 40);
}

}  // namespace
}  // namespace seampass::fakes
