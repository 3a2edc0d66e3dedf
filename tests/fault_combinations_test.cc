// Two or three troubles at once. Each test brings a meeting about and fails when its guard is taken
// out; docs/architecture.md has the table. In simulated time, against our own stand-ins.
#include <gtest/gtest.h>

#include "fakes/world.h"

namespace seampass::fakes {
namespace {

bool ends_a_job(const net::Call& c) {
  return c.path == "/txn" && c.body.find("\"write\":\"ends/") != std::string::npos;
}

// One of the ways in which the gap can come about.
struct Gap {
  enum class FinalStatusReply { answered, lost, late } final_status_reply;
  Ms refused_after;  // from the cancellation until the store refuses the leader
  bool stops_lost;
  Ms hang;
  bool apart;  // the controllers do not hear one another until the outage
};

void PrintTo(const Gap& g, std::ostream* out) {
  *out << "reply to the final status " << static_cast<int>(g.final_status_reply)
       << ", refused after " << g.refused_after << " ms, stops lost " << g.stops_lost << ", hang "
       << g.hang << " ms, apart " << g.apart;
}

class FaultCombinations : public ::testing::TestWithParam<Gap> {};

// Jobs are cancelled as the store refuses the leader alone; other controllers read what stands
// there and tell the users; then it is down for all, for longer than cancel_s, and the workers stay
// with the old leader, for which its peers vouch.
TEST_P(FaultCombinations, GapBetweenRefusalAndOutage) {
  const Gap g = GetParam();
  SimulatedCluster w(3, 6);
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 6, 400));
  w.submit("n0", gang_job("wk-2", 2, 400));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  ASSERT_TRUE(w.reaches("wk-2", "running", 30000));
  const std::string old = w.leader();
  bool refused = false, lost = g.stops_lost;
  w.net.set_rule([&](const std::string& from, const net::Call& c) {
    Delivery f;
    if (from == old && c.endpoint == "state:1") {
      if (refused)
        f.status = 503;
      else if (ends_a_job(c) && g.final_status_reply == Gap::FinalStatusReply::lost)
        f.lose_answer = true;
      else if (ends_a_job(c) && g.final_status_reply == Gap::FinalStatusReply::late)
        f.late = 1200;
    }
    if (lost && from == old && c.path == "/commands") f.never = true;
    if (lost && c.path == "/checkin") f.lose_answer = true;
    return f;
  });
  const auto user = std::make_shared<bool>(true);
  for (const char* id : {"wk-1", "wk-2"}) {
    w.checker.jobs[id].cancel_asked = true;
    w.net.call("user", user,
               {old + ":8080", "POST", std::string("/api/jobs/") + id + "/abort", "", 5000},
               [](const net::Reply&) {});
  }
  if (g.hang > 0)
    for (auto& [name, m] : w.cloud.machines)
      if (name < "m-000004") m->hang(g.hang);
  w.time.run_for(g.refused_after);
  refused = true;
  w.net.set_peer_rule([&](const std::string&, const std::string&) {
    return !(g.apart && refused && !w.state.down);
  });
  const auto ask_all = [&](Ms pause) {
    for (const char* id : {"wk-1", "wk-2"})
      for (const char* n : {"n0", "n1", "n2"}) w.poll(n, id);
    w.time.run_for(pause);
  };
  const Ms gap = w.time.now();
  while (w.time.now() - gap < 2000) ask_all(50);
  w.state.down = true;
  w.time.run_for(6000);
  lost = false;
  for (int i = 0; i < 70; ++i) ask_all(1000);  // far beyond cancel_s
  refused = false;
  w.state.come_back();
  for (const char* id : {"wk-1", "wk-2"}) {
    EXPECT_EQ(w.cancel_until_told(w.follower(), id, 60000).stage(), "withdrawn");
    EXPECT_EQ(w.on(id), 0);
  }
  w.time.run_for(45000);
  w.expect_rules();
}

INSTANTIATE_TEST_SUITE_P(
    Ways, FaultCombinations,
    ::testing::Values(Gap{Gap::FinalStatusReply::lost, 0, false, 0, false},
                      Gap{Gap::FinalStatusReply::lost, 0, false, 0, true},
                      Gap{Gap::FinalStatusReply::lost, 40, false, 0, false},
                      Gap{Gap::FinalStatusReply::lost, 40, false, 0, true},
                      Gap{Gap::FinalStatusReply::lost, 15, true, 0, false},
                      Gap{Gap::FinalStatusReply::lost, 15, true, 0, true},
                      Gap{Gap::FinalStatusReply::lost, 15, false, 15000, false},
                      Gap{Gap::FinalStatusReply::lost, 15, false, 15000, true},
                      Gap{Gap::FinalStatusReply::late, 100, false, 0, false},
                      Gap{Gap::FinalStatusReply::late, 100, false, 0, true},
                      Gap{Gap::FinalStatusReply::late, 100, true, 0, false},
                      Gap{Gap::FinalStatusReply::late, 100, true, 0, true},
                      Gap{Gap::FinalStatusReply::late, 100, false, 15000, false},
                      Gap{Gap::FinalStatusReply::late, 100, false, 15000, true},
                      Gap{Gap::FinalStatusReply::answered, 10, true, 0, false},
                      Gap{Gap::FinalStatusReply::answered, 10, true, 0, true},
                      Gap{Gap::FinalStatusReply::answered, 100, true, 0, false},
                      Gap{Gap::FinalStatusReply::answered, 100, true, 0, true},
                      Gap{Gap::FinalStatusReply::answered, 100, false, 25000, false},
                      Gap{Gap::FinalStatusReply::answered, 100, false, 25000, true}));

// The former leader's last act is a confirmation, its stops are lost; the next is elected, and the
// store is down for all before it has listed anything.
TEST(FaultPairs, LeaderThatHasNotListedKeepsNothingCancelled) {
  for (const Ms after : {0, 300, 900}) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 6, 400));
    ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
    const std::string old = w.leader(), other = w.follower();
    w.net.set_rule([old](const std::string& from, const net::Call& c) {
      Delivery f;
      f.never = from == old && c.path == "/commands";
      f.lose_answer = c.path == "/checkin" && c.endpoint == old + ":8080";
      return f;
    });
    w.cancel(other, "wk-1");
    w.time.run_for(after);
    w.kill(old);
    w.net.set_rule({});
    while (w.leader().empty()) w.time.run_for(1);
    w.state.down = true;
    w.time.run_for(75000);
    w.state.come_back();
    w.start(old);
    EXPECT_EQ(w.cancel_until_told(other, "wk-1", 60000).stage(), "withdrawn");
    EXPECT_EQ(w.on("wk-1"), 0);
    w.time.run_for(45000);
    w.expect_rules();
  }
}

// The final status is in the store, its answer is lost, and one controller has read it to its user:
// no other says anything older.
TEST(FaultPairs, NoOlderAnswerWhileTheEndIsUnknown) {
  for (const bool cancelled : {true, false}) {
    SimulatedCluster w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 2, cancelled ? 300 : 6));
    ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
    const std::string old = w.leader(), other = w.follower();
    bool refused = false;
    w.net.set_rule([&](const std::string& from, const net::Call& c) {
      Delivery f;
      if (from != old || c.endpoint != "state:1") return f;
      if (refused) f.status = 503;
      if (ends_a_job(c)) f.lose_answer = refused = true;
      return f;
    });
    if (cancelled) w.cancel(old, "wk-1");
    for (int i = 0; i < 400 && !w.state.has("ends/wk-1"); ++i) w.time.run_for(25);
    ASSERT_TRUE(w.state.has("ends/wk-1"));
    // The other one can't hear the leader, which is not deposed yet.
    w.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
    EXPECT_EQ(w.poll(other, "wk-1").stage(), cancelled ? "withdrawn" : "done");
    w.net.set_peer_rule({});
    for (int i = 0; i < 20; ++i) {
      for (const char* n : {"n0", "n1", "n2"}) w.poll(n, "wk-1");
      w.time.run_for(100);
    }
    w.net.set_rule({});
    EXPECT_EQ(w.cancel_until_told(old, "wk-1", 30000).stage(), cancelled ? "withdrawn" : "done");
    w.expect_rules();
  }
}

// Many days on which troubles meet, each from its seed; then all troubles end, and nothing may be
// forgotten or left waiting.
class RandomizedFaults : public ::testing::TestWithParam<unsigned> {};

TEST_P(RandomizedFaults, BreakNoRuleAndLeaveNothingBehind) {
  const unsigned seed = GetParam();
  SimulatedCluster w(seed, 6);
  w.cloud.capacity = 12;
  std::mt19937 random(seed * 6007 + 5);
  const auto pick = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  ASSERT_TRUE(w.settle());

  // What is wrong now.
  unsigned severity = 0, late_writes = 0, late_reports = 0;
  std::string deaf, mute, refused, alone, still;
  w.net.set_rule([&](const std::string& from, const net::Call& c) {
    Delivery f;
    if (from == "user") return f;
    const bool report = c.path == "/checkin", store = c.endpoint == "state:1";
    // Its reports arrive; answers and commands do not reach it.
    if (report && from == deaf) f.lose_answer = true;
    if (c.endpoint == deaf + ":9000") f.never = true;
    // Commands reach it; it reaches nobody.
    if (report && from == mute) f.refuse = true;
    if (store && from == refused) f.status = 503;
    if (store && from == alone) f.never = true;
    if (f.never || f.lose_answer || f.refuse || f.status != 0) return f;
    if (c.path == "/txn" && pick(100) < late_writes) f.late = 2000 + static_cast<Ms>(pick(10000));
    if (report && pick(100) < late_reports) f.copy = 2000 + static_cast<Ms>(pick(40000));
    if (f.late || pick(100) >= severity) return f;
    switch (pick(4)) {
      case 0:
        f.refuse = true;
        break;
      case 1:
        f.lose_answer = true;
        break;
      case 2:
        f.copy = static_cast<Ms>(pick(40000));
        break;
      default:
        f.late = static_cast<Ms>(pick(report ? 15000 : 30000));
    }
    return f;
  });
  w.net.set_peer_rule(
      [&](const std::string& a, const std::string& b) { return a != alone && b != alone; });

  std::vector<std::string> accepted;
  std::set<std::string> down, called_off;
  const auto machine = [&] {
    auto it = w.cloud.machines.begin();
    std::advance(it, static_cast<long>(pick(static_cast<unsigned>(w.cloud.machines.size()))));
    return it;
  };
  const auto cancel_job = [&](const std::string& id) {
    called_off.insert(id);
    w.cancel_soon("n" + std::to_string(pick(3)), id);
  };
  for (int step = 0; step < 50; ++step) {
    const std::string node = "n" + std::to_string(pick(3));
    const std::string id = "wk-" + std::to_string(1000 + step);
    severity = pick(4) == 0 ? 30 : 3;
    switch (pick(18)) {
      default: {
        auto job =
            pick(3) == 0 ? gang_job(id, 1 + pick(3), 9) : array_job(id, 1 + pick(6), 4 + pick(20));
        if (pick(4) == 0) job.zone = pick(2) == 0 ? "a" : "b";
        if (job.kind == wire::JobKind::gang && pick(2) == 0) {
          job.job_class = "urgent";
          job.priority = wire::Priority::high;
        }
        job.team = pick(3) == 0 ? "red" : "blue";
        job.checkpoint_s = 2;
        job.save_s = 1;
        // Chains, fans and diamonds, also behind jobs that are over or called off.
        for (int i = 0; i < 3 && !accepted.empty(); ++i) {
          const unsigned recent = std::min<unsigned>(6, static_cast<unsigned>(accepted.size()));
          const std::string& other = accepted[accepted.size() - 1 - pick(recent)];
          auto& names = job.dependencies;
          if (pick(3) == 0 && std::find(names.begin(), names.end(), other) == names.end())
            names.push_back(other);
        }
        const int status = w.submit(node, job).status;
        if (status == 201 || status == 200) accepted.push_back(id);
        EXPECT_TRUE(status == 201 || status == 200 || status == 503 || status == 0) << status;
        break;
      }
      case 0:
        late_writes = late_writes == 0 ? 40 : 0;
        break;
      case 1:
        late_reports = late_reports == 0 ? 30 : 0;
        break;
      case 2:
        deaf = deaf.empty() && !w.cloud.machines.empty() ? machine()->first : "";
        break;
      case 3:
        mute = mute.empty() && !w.cloud.machines.empty() ? machine()->first : "";
        break;
      case 4:
        refused = refused.empty() ? w.leader() : "";
        break;
      case 5:
        alone = alone.empty() ? w.leader() : "";
        break;
      case 6:
        w.state.down = true;
        break;
      case 7:
        // The store refuses the leader, then everybody, while users call jobs off.
        refused = w.leader();
        for (int i = 0; i < 3 && !accepted.empty(); ++i)
          cancel_job(accepted[pick(static_cast<unsigned>(accepted.size()))]);
        w.time.run_for(static_cast<Ms>(pick(3000)));
        w.state.down = true;
        break;
      case 8:
        // Called off at once, and some of the machines stand still.
        for (int i = 0; i < 3 && !w.cloud.machines.empty(); ++i)
          if (machine()->second) machine()->second->hang(static_cast<Ms>(pick(30000)));
        for (int i = 0; i < 3 && !accepted.empty(); ++i)
          cancel_job(accepted[pick(static_cast<unsigned>(accepted.size()))]);
        break;
      case 9:
        // At the moment of the last task's end.
        if (!accepted.empty()) {
          const std::string one = accepted[pick(static_cast<unsigned>(accepted.size()))];
          for (int i = 0; i < 300 && w.left(one) > 0; ++i) w.time.run_for(50);
          cancel_job(one);
          w.poll(node, one);
          w.submit(node, w.checker.jobs[one].spec);
        }
        break;
      case 10:
        if (!w.cloud.machines.empty()) machine()->second->die();
        break;
      case 11:
        if (!w.cloud.machines.empty()) w.cloud.restart(std::string(machine()->first));
        break;
      case 12: {
        const std::string first = w.leader();
        if (first.empty()) break;
        w.kill(first);
        if (pick(2) == 0) {
          w.time.run_for(static_cast<Ms>(pick(900)));
          w.start(first);
        } else {
          down.insert(first);
        }
        break;
      }
      case 13:
        for (const char* n : {"n0", "n1", "n2"}) {
          w.kill(n);
          down.insert(n);
        }
        break;
    }
    if (down.count(node) == 0 && !accepted.empty())
      w.poll(node, accepted[pick(static_cast<unsigned>(accepted.size()))]);
    w.time.run_for(static_cast<Ms>(pick(7000)));
    if (w.state.down && pick(6) == 0) w.state.come_back();
    if (!refused.empty() && pick(4) == 0) refused.clear();
    if (!alone.empty() && pick(5) == 0) alone.clear();
    while (!down.empty() && pick(2) == 0) {
      w.start(*down.begin());
      down.erase(down.begin());
    }
  }
  severity = late_writes = late_reports = 0;
  deaf = mute = refused = alone = "";
  w.state.come_back();
  for (const std::string& n : down) w.start(n);
  const Ms over = w.time.now();
  std::set<std::string> unheard(accepted.begin(), accepted.end());
  std::set<std::string> untold = called_off;
  while (w.time.now() - over < 75000 && !(unheard.empty() && untold.empty())) {
    for (auto it = untold.begin(); it != untold.end();)
      it = w.cancel("n" + std::to_string(pick(3)), *it).status == 200 ? untold.erase(it)
                                                                      : std::next(it);
    for (auto it = unheard.begin(); it != unheard.end();)
      it = w.poll("n" + std::to_string(pick(3)), *it).status == 200 ? unheard.erase(it)
                                                                    : std::next(it);
    w.time.run_for(500);
  }
  EXPECT_TRUE(unheard.empty()) << *unheard.begin();
  EXPECT_TRUE(untold.empty()) << *untold.begin();
  // Little enough is open that all of it fits, one after another. (What depends on others has its
  // time below, from when those before it are done.)
  w.time.run_until(std::max(w.time.now(), over + 90000));
  for (const std::string& id : accepted)
    if (!w.checker.jobs[id].cancelled && w.checker.jobs[id].spec.dependencies.empty()) {
      EXPECT_EQ(w.not_begun(id), 0) << id << " waits\n" << w.state.dump("work/" + id);
    }
  for (const std::string& id : accepted)
    EXPECT_TRUE(w.reaches(id, w.checker.cancelled_since(id) ? "withdrawn" : "done", 90000)) << id;
  w.time.run_for(45000);
  w.expect_rules();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomizedFaults, ::testing::Range(1u, 13u));

// A start is held up on its way to its machine, and its job is cancelled meanwhile: the user is
// told within a few reports, the start does nothing when it comes, and the machine's other work
// goes on.
TEST(FaultPairs, StartHeldUpWhileItsJobIsCancelled) {
  SimulatedCluster w(1, 1);
  w.cloud.capacity = 1;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-900", 1, 40));
  ASSERT_TRUE(w.reaches("wk-900", "running", 30000));
  w.net.set_rule([](const std::string&, const net::Call& c) {
    Delivery f;
    if (c.path == "/commands" && c.body.find("\"run\"") != std::string::npos) f.late = 15000;
    return f;
  });
  w.submit("n0", array_job("wk-1", 1, 100));
  w.time.run_for(500);
  EXPECT_EQ(w.cancel_until_told("n1", "wk-1", 12000).stage(), "withdrawn");
  w.time.run_for(30000);
  EXPECT_TRUE(w.reaches("wk-900", "done", 20000));
  EXPECT_EQ(w.checker.starts[(TaskKey{"wk-900", 0})], 1);
  w.expect_rules();
}

// Two machines; the first has more than one incarnation behind it, and one of its old reports comes
// back later.
struct FormerLife {
  explicit FormerLife(SimulatedCluster& w) : w(w) {
    w.cloud.capacity = 2;
    EXPECT_TRUE(w.settle());
    w.cloud.keeps = true;
    bool cut = true;
    w.net.set_rule([this, &cut](const std::string& from, const net::Call& c) {
      Delivery f;
      if (from != "m-000001" || c.path != "/checkin") return f;
      f.refuse = cut;
      if (!cut) report = c;
      return f;
    });
    w.time.run_for(45000);  // two leases
    cut = false;
    next_leader();  // which does not know that the machine was to be returned
    w.time.run_for(9000);
    w.net.set_rule({});
  }
  void next_leader() {
    const std::string first = w.leader();
    w.kill(first);
    while (w.leader().empty()) w.time.run_for(1);
    w.start(first);
  }
  void begin_anew() {
    w.cloud.restart("m-000001");
    next_leader();
  }
  SimulatedCluster& w;
  net::Call report;
};

// A copy of a report of a machine's former life, with more sessions than the present one, reaches
// the next leader: it does not end the incarnation in which the machine runs its tasks.
TEST(FaultPairs, ReportOfAFormerLifeEndsNoSession) {
  SimulatedCluster w(1, 2);
  FormerLife life(w);
  life.begin_anew();
  w.time.run_for(4000);
  w.submit("n0", array_job("wk-1", 3, 60));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(4000);
  ASSERT_EQ(w.on("wk-1"), 3);
  const std::string first = w.leader();
  w.kill(first);
  while (w.leader().empty()) w.time.run_for(1);
  life.report.endpoint = w.leader() + ":8080";
  for (int i = 0; i < 20; ++i) {
    w.repeat({life.report});
    w.time.run_for(50);
  }
  w.time.run_for(30000);
  w.start(first);
  EXPECT_TRUE(w.reaches("wk-1", "done", 120000));
  w.expect_rules();
}

// The records name a incarnation that the machine has not reached again: its tasks are not waited
// for.
TEST(FaultPairs, SessionOfAFormerLifeIsNotWaitedFor) {
  SimulatedCluster w(1, 2);
  FormerLife life(w);
  life.next_leader();  // idle machines have been given up by now
  w.submit(w.leader(), array_job("wk-1", 4, 30));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(4000);
  ASSERT_EQ(w.on("wk-1"), 4);
  life.begin_anew();
  EXPECT_TRUE(w.reaches("wk-1", "done", 60000));
  w.expect_rules();
}

// The checker is no part of what it judges: each rule, broken on purpose, is reported.
TEST(InvariantChecker, ReportsEveryRuleBroken) {
  const auto judge_of = [](const auto& what) {
    InvariantChecker j;
    j.cancel_ms = 40000;
    j.gpus_max["blue"] = 2;
    j.places = {{"m1", {"big", "a", false}}, {"m2", {"big", "b", true}}};
    j.jobs["wk-1"].spec = array_job("wk-1", 3);
    what(j);
    std::string all;
    for (const std::string& b : j.broken) all += b.substr(0, b.find(' ')) + " ";
    return all;
  };
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.started({"wk-1", 0}, "m1", 1);
              j.started({"wk-1", 1}, "m2", 2);
              j.jobs["wk-1"].accepted = true;
              j.told("wk-1", 200, "running");
              j.stopped({"wk-1", 0}, "m1", 3);
              j.started({"wk-1", 0}, "m2", 4);
              j.told("wk-2", 404, "");
            }),
            "");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.started({"wk-1", 0}, "m1", 1);
              j.started({"wk-1", 0}, "m2", 2);
            }),
            "ran_twice ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              for (std::uint32_t i = 0; i < 3; ++i) j.started({"wk-1", i}, "m1", 1);
            }),
            "quota ");
  const auto placed = [&](const auto& demand) {
    return judge_of([&](InvariantChecker& j) {
      demand(j.jobs["wk-1"].spec);
      j.started({"wk-1", 0}, "m1", 1);
      j.started({"wk-1", 1}, "m2", 1);
    });
  };
  EXPECT_EQ(placed([](wire::Job& j) { j.zone = "a"; }), "wrong_place ");
  EXPECT_EQ(placed([](wire::Job& j) { j.one_zone = true; }), "wrong_place ");
  EXPECT_EQ(placed([](wire::Job& j) { j.spot = false; }), "wrong_place ");
  EXPECT_EQ(placed([](wire::Job& j) { j.types = {{"small"}}; }), "wrong_place wrong_place ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.jobs["wk-1"].spec.spread = true;
              j.jobs["wk-1"].spec.tasks = 2;
              j.started({"wk-1", 0}, "m1", 1);
              j.started({"wk-1", 1}, "m1", 1);
            }),
            "wrong_place ");
  const auto cancelled = [](InvariantChecker& j) {
    j.jobs["wk-1"].cancelled = true;
    j.jobs["wk-1"].cancelled_at = 10;
  };
  EXPECT_EQ(judge_of([&](InvariantChecker& j) {
              cancelled(j);
              j.started({"wk-1", 0}, "m1", 11);
            }),
            "started_cancelled ");
  EXPECT_EQ(judge_of([&](InvariantChecker& j) {
              j.started({"wk-1", 0}, "m1", 1);
              cancelled(j);
              j.audit(40010);
              j.audit(40011);
            }),
            "ran_cancelled ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.jobs["wk-1"].accepted = true;
              j.told("wk-1", 404, "");
            }),
            "forgotten ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) { j.told("wk-9", 200, "queued"); }), "invented ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.done = {{"wk-1", 0}, {"wk-1", 2}};
              j.told("wk-1", 200, "done");
            }),
            "not_done ");
  const auto dependent = [](InvariantChecker& j) {
    j.jobs["wk-2"].spec = array_job("wk-2", 1);
    j.jobs["wk-2"].spec.dependencies = {"wk-1"};
  };
  EXPECT_EQ(judge_of([&](InvariantChecker& j) {
              dependent(j);
              j.done = {{"wk-1", 0}, {"wk-1", 1}};
              j.started({"wk-2", 0}, "m1", 1);
            }),
            "too_early ");
  EXPECT_EQ(judge_of([&](InvariantChecker& j) {
              dependent(j);
              cancelled(j);
              j.told("wk-2", 200, "queued", 40010);
              j.told("wk-2", 200, "queued", 40011);
            }),
            "orphaned ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) { j.told("wk-1", 200, "withdrawn"); }),
            "cancelled_unasked ");
  EXPECT_EQ(judge_of([](InvariantChecker& j) {
              j.jobs["wk-1"].cancel_asked = true;
              j.told("wk-1", 200, "withdrawn");
              j.told("wk-1", 503, "");
              j.told("wk-1", 200, "running");
            }),
            "went_back ");
}

}  // namespace
}  // namespace seampass::fakes
