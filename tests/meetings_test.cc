// Two or three troubles at once. Each test brings a meeting about and fails when its guard is taken
// out; docs/architecture.md has the table. In simulated time, against our own stand-ins.
#include <gtest/gtest.h>

#include "standins/world.h"

namespace seampass::standins {
namespace {

bool ends_a_job(const net::Call& c) {
  return c.path == "/txn" && c.body.find("\"write\":\"ends/") != std::string::npos;
}

// One of the ways in which the gap can come about.
struct Gap {
  enum class Verdict { answered, lost, late } verdict;
  Ms refused_after;  // from the cancellation until the store refuses the leader
  bool stops_lost;
  Ms hang;
  bool apart;  // the controllers do not hear one another until the outage
};

void PrintTo(const Gap& g, std::ostream* out) {
  *out << "verdict " << static_cast<int>(g.verdict) << ", refused after " << g.refused_after
       << " ms, stops lost " << g.stops_lost << ", hang " << g.hang << " ms, apart " << g.apart;
}

class Meetings : public ::testing::TestWithParam<Gap> {};

// Jobs are cancelled as the store refuses the leader alone; other controllers read what stands
// there and tell the users; then it is down for all, for longer than cancel_s, and the workers stay
// with the old leader, for which its peers vouch.
TEST_P(Meetings, GapBetweenRefusalAndOutage) {
  const Gap g = GetParam();
  World w(3, 6);
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 6, 400));
  w.submit("n0", gang_job("wk-2", 2, 400));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  ASSERT_TRUE(w.reaches("wk-2", "running", 30000));
  const std::string old = w.leader();
  bool refused = false, lost = g.stops_lost;
  w.net.set_rule([&](const std::string& from, const net::Call& c) {
    Fate f;
    if (from == old && c.endpoint == "state:1") {
      if (refused)
        f.status = 503;
      else if (ends_a_job(c) && g.verdict == Gap::Verdict::lost)
        f.lose_answer = true;
      else if (ends_a_job(c) && g.verdict == Gap::Verdict::late)
        f.late = 1200;
    }
    if (lost && from == old && c.path == "/commands") f.never = true;
    if (lost && c.path == "/checkin") f.lose_answer = true;
    return f;
  });
  const auto user = std::make_shared<bool>(true);
  for (const char* id : {"wk-1", "wk-2"})
    w.net.call("user", user,
               {old + ":8080", "POST", std::string("/api/jobs/") + id + "/abort", "", 5000},
               [](const net::Reply&) {});
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

INSTANTIATE_TEST_SUITE_P(Ways, Meetings,
                         ::testing::Values(Gap{Gap::Verdict::lost, 0, false, 0, false},
                                           Gap{Gap::Verdict::lost, 0, false, 0, true},
                                           Gap{Gap::Verdict::lost, 40, false, 0, false},
                                           Gap{Gap::Verdict::lost, 40, false, 0, true},
                                           Gap{Gap::Verdict::lost, 15, true, 0, false},
                                           Gap{Gap::Verdict::lost, 15, true, 0, true},
                                           Gap{Gap::Verdict::lost, 15, false, 15000, false},
                                           Gap{Gap::Verdict::lost, 15, false, 15000, true},
                                           Gap{Gap::Verdict::late, 100, false, 0, false},
                                           Gap{Gap::Verdict::late, 100, false, 0, true},
                                           Gap{Gap::Verdict::late, 100, true, 0, false},
                                           Gap{Gap::Verdict::late, 100, true, 0, true},
                                           Gap{Gap::Verdict::late, 100, false, 15000, false},
                                           Gap{Gap::Verdict::late, 100, false, 15000, true},
                                           Gap{Gap::Verdict::answered, 10, true, 0, false},
                                           Gap{Gap::Verdict::answered, 10, true, 0, true},
                                           Gap{Gap::Verdict::answered, 100, true, 0, false},
                                           Gap{Gap::Verdict::answered, 100, true, 0, true},
                                           Gap{Gap::Verdict::answered, 100, false, 25000, false},
                                           Gap{Gap::Verdict::answered, 100, false, 25000, true}));

// The former leader's last act is a confirmation, its stops are lost; the next is elected, and the
// store is down for all before it has listed anything.
TEST(MeetingsOfTwo, LeaderThatHasNotListedKeepsNothingCancelled) {
  for (const Ms after : {0, 300, 900}) {
    World w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 6, 400));
    ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
    const std::string old = w.leader(), other = w.follower();
    w.net.set_rule([old](const std::string& from, const net::Call& c) {
      Fate f;
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

// The verdict is in the store, its answer is lost, and one controller has read it to its user: no
// other says anything older.
TEST(MeetingsOfTwo, NoOlderAnswerWhileTheEndIsUnknown) {
  for (const bool cancelled : {true, false}) {
    World w;
    ASSERT_TRUE(w.settle());
    w.submit("n0", array_job("wk-1", 2, cancelled ? 300 : 6));
    ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
    const std::string old = w.leader(), other = w.follower();
    bool refused = false;
    w.net.set_rule([&](const std::string& from, const net::Call& c) {
      Fate f;
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

}  // namespace
}  // namespace seampass::standins
