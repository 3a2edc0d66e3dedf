// Jobs that wait for others, in a whole deployment in simulated time.
#include <gtest/gtest.h>

#include "fakes/world.h"
#include "leader/jobs/open_record.h"

namespace seampass::fakes {
namespace {

wire::Job after(wire::Job job, std::vector<std::string> dependencies) {
  job.dependencies = std::move(dependencies);
  return job;
}

// Through n0: each depends on the one before it.
void submit_chain(SimulatedCluster& w, const std::vector<wire::Job>& jobs) {
  std::vector<std::string> before;
  for (const wire::Job& job : jobs) {
    w.submit("n0", after(job, before));
    before = {job.id};
  }
}

std::string body_with(const wire::Json& dependencies) {
  wire::Json body = wire::Json::parse(wire::to_json(array_job("wk-7", 1)).dump());
  body["waits_on"] = dependencies;
  return body.dump();
}

TEST(Dependencies, AreReadWithChecks) {
  const auto read = [](const wire::Json& list) {
    return wire::job_from(wire::Json::parse(body_with(list))).dependencies;
  };
  using Ids = std::vector<std::string>;
  EXPECT_EQ(read({"wk-2", "wk-1", "wk-2"}), (Ids{"wk-2", "wk-1"}));
  EXPECT_EQ(read(nullptr), Ids{});
  EXPECT_EQ(read(wire::Json::array()), Ids{});
  EXPECT_THROW(read("wk-1"), wire::Malformed);
  EXPECT_THROW(read({"wk-1", 2}), wire::Malformed);
  EXPECT_THROW(read({"job-1"}), wire::Malformed);
  EXPECT_FALSE(wire::to_json(array_job("wk-1", 1)).contains("waits_on"));
}

TEST(Dependencies, BadOnesAreRefused) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  for (const char* node : {"n0", "n1", "n2"}) {
    EXPECT_EQ(w.ask(node, "POST", "/api/jobs", body_with("wk-1")).status, 400);
    EXPECT_EQ(w.ask(node, "POST", "/api/jobs", body_with({"wk-7"})).status, 422);
    EXPECT_EQ(w.ask(node, "POST", "/api/jobs", body_with({"wk-404"})).status, 422);
  }
  EXPECT_EQ(w.state.count("open/"), 0u);
  // More than one record holds can't be stored.
  wire::Json many = wire::Json::array();
  for (int i = 0; i < 5000; ++i) many.push_back("wk-" + std::to_string(1000 + i));
  EXPECT_EQ(w.ask("n0", "POST", "/api/jobs", body_with(many)).status, 422);
}

TEST(Dependencies, UndecidableNowIsToldAtOnce) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  ASSERT_EQ(w.submit("n0", array_job("wk-1", 1, 60)).status, 201);
  w.state.down = true;
  w.time.run_for(10000);
  const Ms before = w.time.now();
  const auto told = w.ask("n1", "POST", "/api/jobs", body_with({"wk-404"}));
  EXPECT_EQ(told.status, 503);
  EXPECT_LT(w.time.now() - before, 3000);
}

// A diamond, submitted at once through all nodes: each starts when those before it are done.
TEST(Dependencies, RunInTheirOrder) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  ASSERT_EQ(w.submit("n0", array_job("wk-1", 3, 8)).status, 201);
  ASSERT_EQ(w.submit("n1", after(array_job("wk-2", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(w.submit("n2", after(gang_job("wk-3", 2, 5), {"wk-1"})).status, 201);
  ASSERT_EQ(w.submit("n0", after(array_job("wk-4", 1, 3), {"wk-2", "wk-3"})).status, 201);
  EXPECT_EQ(w.poll("n1", "wk-4").stage(), "queued");
  EXPECT_TRUE(w.reaches("wk-4", "done", 90000));
  // Submitted when those that it names are over; and once more.
  ASSERT_EQ(w.submit("n1", after(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status, 201);
  EXPECT_TRUE(w.reaches("wk-5", "done", 60000));
  EXPECT_EQ(w.submit("n2", after(array_job("wk-5", 1, 3), {"wk-4", "wk-1"})).status, 200);
  w.expect_rules();
}

// A successor follows by the event, not at the next tick: well within a report interval.
TEST(Dependencies, SuccessorStartsAtOnce) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  submit_chain(w, {array_job("wk-1", 1, 10), array_job("wk-2", 1, 10)});
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  while (!w.state.has("ends/wk-1") && w.time.now() < 60000) w.time.run_for(10);
  const Ms ended = w.time.now();
  while (w.on("wk-2") == 0 && w.time.now() - ended < 20000) w.time.run_for(10);
  EXPECT_LT(w.time.now() - ended, 1000);  // its image is there already
  w.expect_rules();
}

// What waits holds nothing: a team at its limit by waiting jobs alone would never start anything.
TEST(Dependencies, WaitingJobsHoldNothing) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 1, 40));
  for (int i = 10; i < 20; ++i)
    w.submit("n0", after(gang_job("wk-" + std::to_string(i), 4, 5), {"wk-1"}));
  const std::size_t machines = w.cloud.machines.size();
  w.submit("n1", array_job("wk-2", 8, 5));
  EXPECT_TRUE(w.reaches("wk-2", "done", 39000));
  EXPECT_LE(w.cloud.machines.size(), machines + 1);
  w.expect_rules();
}

TEST(Dependencies, AreCancelledWithWhatTheyNeed) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  submit_chain(w, {array_job("wk-1", 2, 300), array_job("wk-2", 2, 5)});
  w.submit("n1", after(array_job("wk-3", 2, 5), {"wk-2"}));
  ASSERT_EQ(w.cancel_until_told("n2", "wk-1", 30000).stage(), "withdrawn");
  for (const char* node : {"n0", "n1", "n2"})
    for (const char* id : {"wk-2", "wk-3"}) EXPECT_EQ(w.poll(node, id).stage(), "withdrawn");
  // Accepted all the same, and never called queued.
  const auto later = w.submit("n1", after(array_job("wk-4", 1, 5), {"wk-3"}));
  EXPECT_EQ(later.status, 201);
  EXPECT_EQ(later.stage(), "withdrawn");
  EXPECT_EQ(w.poll("n2", "wk-4").stage(), "withdrawn");
  w.time.run_for(60000);
  EXPECT_EQ(w.state.count("open/"), 0u);
  EXPECT_EQ(w.state.count("work/"), 0u);
  w.expect_rules();
}

// `done` won the race with the cancellation: what follows goes on.
TEST(Dependencies, GoOnIfTheCancellationCameTooLate) {
  for (const Ms delay : {0, 20, 100, 400}) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    submit_chain(w, {array_job("wk-1", 1, 5), array_job("wk-2", 1, 5)});
    while (w.checker.done.count({"wk-1", 0}) == 0) w.time.run_for(5);
    w.time.run_for(delay);
    const auto told = w.cancel_until_told("n1", "wk-1", 30000);
    EXPECT_TRUE(w.reaches("wk-2", told.stage(), 60000)) << told.stage();
    w.expect_rules();
  }
}

// The head of a long chain is cancelled, the store goes down at once and for longer than cancel_s,
// and the leader ends: no node that answers says anything but withdrawn.
TEST(Dependencies, CancelledThroughAnOutageAndAChangeOfLeader) {
  for (const bool leader_ends : {false, true}) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    std::vector<wire::Job> chain{array_job("wk-1", 2, 300)};
    for (int i = 2; i <= 12; ++i) chain.push_back(array_job("wk-" + std::to_string(i), 1, 5));
    submit_chain(w, chain);
    ASSERT_EQ(w.cancel_until_told("n0", "wk-1", 30000).stage(), "withdrawn");
    w.state.down = true;
    const std::string old = w.leader();
    if (leader_ends) w.kill(old);
    const auto ask_all = [&] {
      for (int i = 2; i <= 12; ++i)
        for (const std::string node : {"n0", "n1", "n2"})
          if (!leader_ends || old != node) w.poll(node, "wk-" + std::to_string(i));
    };
    for (int i = 0; i < 12; ++i) {
      w.time.run_for(5000);
      ask_all();
    }
    w.state.come_back();
    if (leader_ends) w.start(old);
    EXPECT_TRUE(w.reaches("wk-12", "withdrawn", 30000));
    w.time.run_for(20000);
    EXPECT_EQ(w.state.count("open/"), 0u);
    w.expect_rules();
  }
}

// No leader can be had, the store can: the nodes walk the chain there.
TEST(Dependencies, NodesWithoutALeaderDeriveTheEnd) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  submit_chain(w, {array_job("wk-1", 2, 300), array_job("wk-2", 1, 5), array_job("wk-3", 1, 5)});
  const std::string leader = w.leader(), follower = w.follower();
  EXPECT_EQ(w.poll(follower, "wk-3").stage(), "queued");
  // The leader writes nothing more but the first end, and hears nobody.
  w.net.set_rule([leader](const std::string& from, const net::Call& c) {
    Delivery f;
    const bool first = c.body.find("ends/wk-1") != std::string::npos;
    if (from == leader && c.path == "/txn" && !first) f.status = 503;
    return f;
  });
  ASSERT_EQ(w.cancel_until_told(leader, "wk-1", 30000).stage(), "withdrawn");
  w.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(w.poll(follower, "wk-3").stage(), "withdrawn");
  EXPECT_EQ(w.poll(follower, "wk-2").stage(), "withdrawn");
  w.expect_rules();
}

// The end of the first is in the store, its answer is lost: while the leader does not know, it must
// not call the second queued, since another node has read it as withdrawn.
TEST(Dependencies, NothingIsSaidFromMemoryWhileAnEndUpstreamIsInDoubt) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  submit_chain(w, {array_job("wk-1", 1, 300), array_job("wk-2", 1, 5)});
  const std::string leader = w.leader(), follower = w.follower();
  bool cut = false;
  w.net.set_rule([&](const std::string& from, const net::Call& c) {
    Delivery f;
    if (from != leader || c.endpoint != "state:1") return f;
    if (c.body.find("\"write\":\"ends/wk-1\"") != std::string::npos) {
      f.lose_answer = true;
      cut = true;
    } else if (cut && std::string_view(c.method) == "GET") {
      f.status = 503;
    }
    return f;
  });
  w.cancel_soon(leader, "wk-1");
  for (int i = 0; i < 3000 && !cut; ++i) w.time.run_for(1);
  ASSERT_TRUE(cut);
  w.time.run_for(200);
  w.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
  EXPECT_EQ(w.poll(follower, "wk-2").stage(), "withdrawn");
  for (int i = 0; i < 5; ++i) {
    EXPECT_NE(w.poll(leader, "wk-2").stage(), "queued");
    w.time.run_for(300);
  }
  w.expect_rules();
}

// The next leader knows of the ends that the former one wrote, and starts nothing on a guess.
TEST(Dependencies, SurviveChangesOfLeader) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  for (int chain = 0; chain < 4; ++chain) {
    std::vector<wire::Job> jobs;
    for (int i = 1; i <= 5; ++i)
      jobs.push_back(array_job("wk-" + std::to_string(chain * 10 + i), 2, 6));
    submit_chain(w, jobs);
  }
  for (int i = 0; i < 4; ++i) {
    w.time.run_for(9000 + 700 * i);
    const std::string old = w.leader();
    if (old.empty()) continue;
    w.kill(old);
    w.time.run_for(3000);
    w.start(old);
  }
  for (int chain = 0; chain < 4; ++chain)
    EXPECT_TRUE(w.reaches("wk-" + std::to_string(chain * 10 + 5), "done", 240000));
  w.expect_rules();
}

// News of an acceptance that comes after the job's end does not bring it back.
TEST(Dependencies, LateNewsOfACancelledJobIsOld) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 1, 3));
  const auto second = after(array_job("wk-2", 1, 300), {"wk-1"});
  w.submit("n0", second);
  ASSERT_TRUE(w.reaches("wk-2", "running", 60000));
  const std::string leader = w.leader(), follower = w.follower();
  ASSERT_EQ(w.cancel_until_told(leader, "wk-2", 30000).stage(), "withdrawn");
  w.time.run_for(5000);
  const std::string record = leader::encode_open_record(second, 1).dump();
  w.deliver(follower, leader, rpc::JobAccepted{"wk-2", record, 1'000'000});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(w.poll(follower, "wk-2").stage(), "withdrawn");
    w.time.run_for(100);
  }
  w.expect_rules();
}

// `done` of a job is in the leader's memory, and not in the store: nothing that depends on it may
// start, since the next leader may run it on.
TEST(Dependencies, WaitForTheDurableEnd) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  submit_chain(w, {array_job("wk-1", 1, 6), array_job("wk-2", 1, 6)});
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.net.set_rule([](const std::string&, const net::Call& c) {
    Delivery f;
    if (c.body.find("\"write\":\"ends/") != std::string::npos) f.status = 503;
    return f;
  });
  w.time.run_for(20000);
  EXPECT_EQ(w.left("wk-1"), 0);
  EXPECT_EQ(w.checker.starts.count({"wk-2", 0}), 0u);
  w.net.set_rule({});
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  w.expect_rules();
}

// A job whose own priority is low goes before others for the sake of one that needs it.
TEST(Dependencies, HaveThePriorityOfWhatNeedsThem) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  // Each takes all of the team's limit.
  const auto job = [](const char* id, wire::Priority priority) {
    wire::Job j = array_job(id, 4, 10);
    j.team = "red";
    j.gpus = 2;
    j.priority = priority;
    return j;
  };
  w.submit("n0", job("wk-1", wire::Priority::normal));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.submit("n0", job("wk-2", wire::Priority::normal));
  w.submit("n0", job("wk-3", wire::Priority::low));
  w.submit("n0", after(job("wk-4", wire::Priority::high), {"wk-3"}));
  while (w.checker.starts.count({"wk-3", 0}) == 0 && w.time.now() < 300000) w.time.run_for(100);
  EXPECT_EQ(w.checker.starts.count({"wk-2", 0}), 0u);
  EXPECT_TRUE(w.reaches("wk-4", "done", 200000));
  EXPECT_TRUE(w.reaches("wk-2", "done", 200000));
  w.expect_rules();
}

// What a read of wk-1's final status is answered with, though the record is there: values that say
// no final status.
std::vector<std::string> unreadable_ends() {
  std::vector<std::string> bodies;
  for (const char* value : {R"({"stage":"finished","done":0})", R"({"stage":"queued","done":0})",
                            R"({"stage":"running","done":0})", R"({"done":2})", R"("withdrawn")"})
    bodies.push_back(std::string(R"({"path":"ends/wk-1","stamp":9,"v":)") + value + "}");
  return bodies;
}

// The cancellation of the first is durable, its answer is lost, and what the leader then reads says
// no final status: that is neither `done`, by which the second would start, nor an end.
TEST(Dependencies, AnUnreadableEndPermitsNothing) {
  for (const std::string& body : unreadable_ends()) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 1, 300));
    w.submit("n0", after(array_job("wk-2", 1, 300), {"wk-1"}));
    ASSERT_TRUE(w.reaches("wk-1", "running", 60000));
    const std::string leader = w.leader();
    w.net.set_rule([&](const std::string& from, const net::Call& c) {
      Delivery f;
      if (from != leader) return f;
      f.lose_answer = c.body.find("\"write\":\"ends/wk-1\"") != std::string::npos;
      if (c.path == "/keys/ends/wk-1" && w.state.has("ends/wk-1")) f.body = body;
      return f;
    });
    w.cancel_soon(leader, "wk-1");
    while (!w.state.has("ends/wk-1") && w.time.now() < 120000) w.time.run_for(10);
    // The user is told by a node that can read it.
    EXPECT_EQ(w.poll(w.follower(), "wk-1").stage(), "withdrawn");
    for (int i = 0; i < 60; ++i) {
      w.time.run_for(1000);
      for (const char* id : {"wk-1", "wk-2"}) {
        const auto told = w.poll(leader, id);
        EXPECT_TRUE(told.status == 503 || told.stage() == "withdrawn") << id << " " << told.body;
      }
    }
    EXPECT_EQ(w.checker.starts.count({"wk-2", 0}), 0u) << body;
    w.net.set_rule({});
    EXPECT_TRUE(w.reaches("wk-1", "withdrawn", 30000));
    EXPECT_TRUE(w.reaches("wk-2", "withdrawn", 30000));
    w.expect_rules();
  }
}

// A node that reads no final status where one is says nothing, and the next leader waits with what
// depends on it.
TEST(Dependencies, AnUnreadableEndIsNoAnswer) {
  for (const std::string& body : unreadable_ends()) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 1, 3));
    ASSERT_TRUE(w.reaches("wk-1", "done", 60000));
    const std::string old = w.leader();
    w.kill(old);
    while (w.leader().empty()) w.time.run_for(10);
    const std::string leader = w.leader();
    for (const char* node : {"n0", "n1", "n2"})  // nothing is left in any cache
      if (node != leader && node != old) {
        w.kill(node);
        w.start(node);
      }
    w.start(old);
    w.time.run_for(5000);
    w.net.set_rule([&](const std::string&, const net::Call& c) {
      Delivery f;
      if (c.path == "/keys/ends/wk-1") f.body = body;
      return f;
    });
    for (const char* node : {"n0", "n1", "n2"}) EXPECT_EQ(w.poll(node, "wk-1").status, 503) << body;
    EXPECT_EQ(w.submit(old, after(array_job("wk-2", 1, 3), {"wk-1"})).status, 503) << body;
    w.net.set_rule({});
    EXPECT_EQ(w.submit(old, after(array_job("wk-2", 1, 3), {"wk-1"})).status, 201);
    EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
    w.expect_rules();
  }
}

}  // namespace
}  // namespace seampass::fakes
