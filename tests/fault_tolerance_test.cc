// Troubles beyond the ordinary ones, each with the guard that it needs: take the guard out, and the
// test fails. In simulated time, against our own stand-ins, with a checker of the rules.
#include <gtest/gtest.h>

#include "fakes/world.h"

namespace seampass::fakes {
namespace {

// Nothing passes to or from these machines, as long as they are in the set.
void cut_off(SimulatedCluster& w, const std::set<std::string>& machines) {
  w.net.set_rule([&machines](const std::string& from, const net::Call& c) {
    Delivery f;
    f.never = machines.count(from) != 0 || machines.count(c.endpoint.substr(0, 8)) != 0;
    return f;
  });
}

// Reports of a machine arrive, but answers and commands do not reach it.
TEST(FaultTolerance, MachineThatHearsNothingKeepsNoWork) {
  SimulatedCluster w(1, 2);
  w.cloud.capacity = 4;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 4, 30));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.net.set_rule([](const std::string& from, const net::Call& c) {
    Delivery f;
    f.lose_answer = from == "m-000001";
    f.never = c.endpoint == "m-000001:9000";
    return f;
  });
  w.submit("n0", array_job("wk-2", 6, 5));
  EXPECT_TRUE(w.reaches("wk-2", "done", 60000));
  EXPECT_TRUE(w.reaches("wk-1", "done", 120000));
  for (const auto& [task, machine] : w.checker.on) EXPECT_NE(machine, "m-000001") << task.job;
  w.expect_rules();
}

// The same, of a machine with nothing to do: it is given work once or twice, then returned.
TEST(FaultTolerance, MachineThatAnswersNoCommandIsReturned) {
  SimulatedCluster w(1, 1);
  w.cloud.capacity = 2;
  ASSERT_TRUE(w.settle());
  w.net.set_rule([](const std::string&, const net::Call& c) {
    Delivery f;
    f.never = c.endpoint == "m-000001:9000";
    return f;
  });
  for (int i = 0; i < 20; ++i) {
    w.submit("n0", array_job("wk-" + std::to_string(i + 1), 2, 4));
    w.time.run_for(3000);
  }
  EXPECT_EQ(w.cloud.machines.count("m-000001"), 0u);
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(w.reaches("wk-" + std::to_string(i + 1), "done", 90000));
  w.expect_rules();
}

// Copies of reports come late: after seconds, and after more than a lease, when their machine is
// gone and another leads.
TEST(FaultTolerance, LateCopiesOfReportsAreNoNews) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  int n = 0;
  w.net.set_rule([&n](const std::string&, const net::Call& c) {
    Delivery f;
    if (c.path == "/checkin") f.copy = ++n % 2 == 0 ? 2500 : 27000;
    return f;
  });
  w.submit("n0", array_job("wk-1", 8, 25));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(9000);  // well within the tasks' time
  w.cloud.machines.at("m-000001")->die();
  const std::string first = w.leader();
  w.time.run_for(1000);
  w.kill(first);
  w.time.run_for(15000);
  w.start(first);
  EXPECT_TRUE(w.reaches("wk-1", "done", 90000));
  w.submit("n1", array_job("wk-2", 8, 5));
  EXPECT_TRUE(w.reaches("wk-2", "done", 40000));
  w.expect_rules();
}

// What copies say of a dead machine keeps nothing waiting on it.
TEST(FaultTolerance, CopiesKeepNoDeadMachineAlive) {
  SimulatedCluster w(1, 2);
  ASSERT_TRUE(w.settle());
  std::optional<net::Call> last;
  w.net.set_rule([&last](const std::string& from, const net::Call& c) {
    if (from == "m-000001") last = c;
    return Delivery{};
  });
  w.submit("n0", array_job("wk-1", 4, 20));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(4000);
  w.cloud.machines.at("m-000001")->die();
  ASSERT_TRUE(last.has_value());
  const auto alive = std::make_shared<bool>(true);
  last->endpoint = w.leader() + ":8080";
  bool done = false;
  for (int i = 0; i < 80 && !done; ++i) {
    w.net.call("net", alive, *last, [](const net::Reply&) {});
    done = w.poll("n0", "wk-1").stage() == "done";
    w.time.run_for(1000);
  }
  EXPECT_TRUE(done);
  w.expect_rules();
}

// A copy from a machine that the former leader had deleted reaches the next, which knows nothing of
// that: nothing is placed there.
TEST(FaultTolerance, CopyFromADeletedMachineBringsNothingBack) {
  SimulatedCluster w(1, 1);
  w.cloud.capacity = 2;
  ASSERT_TRUE(w.settle());
  std::optional<net::Call> last;
  w.net.set_rule([&last](const std::string& from, const net::Call& c) {
    if (from == "m-000001") last = c;
    return Delivery{};
  });
  w.time.run_for(30000);  // idle: returned
  ASSERT_EQ(w.cloud.machines.count("m-000001"), 0u);
  ASSERT_TRUE(last.has_value());
  const std::string first = w.leader();
  w.kill(first);
  w.time.run_for(8000);
  ASSERT_NE(w.leader(), "");
  last->endpoint = w.leader() + ":8080";
  const auto alive = std::make_shared<bool>(true);
  w.net.call("net", alive, *last, [](const net::Reply&) {});
  w.time.run_for(500);
  const std::string n = w.leader();
  EXPECT_EQ(w.submit(n, array_job("wk-1", 2, 2)).status, 201);
  // A machine is rented, boots in 3 s, and has run both tasks well before a ghost would be given
  // up.
  EXPECT_TRUE(w.reaches("wk-1", "done", 17000));
  w.expect_rules();
}

// Machines back at once under their names, and a controller, in the middle of an election.
TEST(FaultTolerance, MachinesBackWithinAFractionOfASecond) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 8, 25));
  w.submit("n0", gang_job("wk-2", 2, 25));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(4000);
  const std::string first = w.leader();
  w.kill(first);
  w.time.run_for(200);
  w.cloud.restart("m-000001");
  w.start(first);
  w.time.run_for(2000);
  w.cloud.restart("m-000002");
  EXPECT_TRUE(w.reaches("wk-1", "done", 150000));
  EXPECT_TRUE(w.reaches("wk-2", "done", 150000));
  EXPECT_LE(w.leaders(), 1);
  w.expect_rules();
}

// A leader loses the store and its peers, but not its workers; meanwhile a job is cancelled, and a
// task is started again elsewhere.
TEST(FaultTolerance, LeaderWithWorkersAloneFallsSilentInTime) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 2, 300));
  w.submit("n0", array_job("wk-2", 6, 45));
  ASSERT_TRUE(w.reaches("wk-2", "running", 30000));
  w.time.run_for(2000);
  const std::string old = w.leader();
  w.net.set_rule([old](const std::string& from, const net::Call& c) {
    Delivery f;
    f.never = from == old && c.endpoint == "state:1";
    return f;
  });
  w.net.set_peer_rule(
      [old](const std::string& a, const std::string& b) { return a != old && b != old; });
  w.time.run_for(6000);
  w.cloud.machines.begin()->second->die();
  w.time.run_for(3000);
  const std::string next = w.leader();
  ASSERT_NE(next, "");
  ASSERT_NE(next, old);
  w.cloud.down = true;  // no machine can be returned: leases alone must end what runs there
  EXPECT_EQ(w.cancel_until_told(next, "wk-1", 42000).stage(), "withdrawn");
  EXPECT_EQ(w.on("wk-1"), 0);
  w.time.run_for(45000);
  w.cloud.down = false;
  EXPECT_TRUE(w.reaches("wk-2", "done", 150000));
  for (std::uint32_t i = 0; i < 2; ++i) EXPECT_EQ(w.checker.on.count({"wk-1", i}), 0u);
  w.net.set_rule({});
  w.net.set_peer_rule({});
  w.time.run_for(5000);
  EXPECT_EQ(w.leaders(), 1);
  EXPECT_EQ(w.poll(old, "wk-1").stage(), "withdrawn");
  w.expect_rules();
}

// Once all troubles are over, every accepted job is answered for, on every node, within 75 s.
TEST(FaultTolerance, EveryAcceptedJobStaysKnown) {
  SimulatedCluster w;
  ASSERT_TRUE(w.settle());
  std::vector<std::string> ids;
  for (int i = 0; i < 12; ++i) {
    const std::string id = "wk-" + std::to_string(50 + i);
    // Some are accepted right before a controller ends, in an outage, or by one cut off its peers.
    if (i == 3) w.kill(w.leader());
    if (i == 5) w.net.set_peer_rule([](const std::string&, const std::string&) { return false; });
    if (i == 7) w.state.down = true;
    if (i == 9) w.state.come_back();
    for (const char* n : {"n0", "n1", "n2"}) {
      const int status =
          w.submit(n, array_job(id, 1 + static_cast<std::uint32_t>(i) % 3, 8)).status;
      if (status != 200 && status != 201) continue;
      ids.push_back(id);
      break;
    }
    w.time.run_for(1500);
  }
  for (const char* n : {"n0", "n1", "n2"}) w.kill(n);
  w.net.set_peer_rule({});
  for (const char* n : {"n0", "n1", "n2"}) w.start(n);
  ASSERT_GT(ids.size(), 8u);
  const Ms over = w.time.now();
  for (const std::string& id : ids) {
    for (const char* n : {"n0", "n1", "n2"}) {
      int status = 0;
      while ((status = w.poll(n, id).status) != 200 && w.time.now() - over < 75000)
        w.time.run_for(500);
      EXPECT_EQ(status, 200) << id << " on " << n;
    }
  }
  for (const std::string& id : ids) EXPECT_TRUE(w.reaches(id, "done", 120000)) << id;
  w.expect_rules();
}

// A new leader has machines listed that have not found it yet: they are used, not returned.
TEST(FaultTolerance, NewLeaderReturnsNoMachineBeforeItCanHaveReported) {
  SimulatedCluster w(1, 8);
  w.cloud.capacity = 8;
  ASSERT_TRUE(w.settle());
  for (const char* n : {"n0", "n1", "n2"}) w.kill(n);
  w.time.run_for(20000);  // longer than three boots
  for (const char* n : {"n0", "n1", "n2"}) w.start(n);
  w.time.run_for(150);
  ASSERT_TRUE(w.settle());
  ASSERT_EQ(w.submit("n0", array_job("wk-1", 16, 10)).status, 201);
  EXPECT_TRUE(w.reaches("wk-1", "done", 60000));
  EXPECT_EQ(w.cloud.rented, 0);
  w.expect_rules();
}

// A zone falls silent as a whole: what is rented meanwhile is rented elsewhere.
TEST(FaultTolerance, NothingIsRentedInAZoneThatIsCutOff) {
  SimulatedCluster w(1, 8);
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 16, 120));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(3000);
  // Machines of odd number are in zone a, which is tried first where prices are the same.
  const std::set<std::string> there{"m-000001", "m-000003", "m-000005", "m-000007"};
  cut_off(w, there);
  w.time.run_for(14000);  // silence takes a while to tell from a lost packet
  w.cloud.rented_in.clear();
  for (int i = 0; i < 6; ++i) {
    w.submit("n0", array_job("wk-" + std::to_string(10 + i), 2, 30));
    w.submit("n0", gang_job("wk-" + std::to_string(20 + i), 2, 30));
    w.time.run_for(5000);
  }
  EXPECT_EQ(w.cloud.rented_in["a"], 0);
  EXPECT_GT(w.cloud.rented_in["b"], 0);
  w.net.set_rule({});
  for (int i = 0; i < 6; ++i)
    EXPECT_TRUE(w.reaches("wk-" + std::to_string(10 + i), "done", 200000));
  w.expect_rules();
}

// Half of the machines miss their reports together, for less than a lease: none of them is returned
// for being the first to have been silent for long.
TEST(FaultTolerance, MachinesThatFallSilentTogetherAreKept) {
  SimulatedCluster w(1, 8);
  w.cloud.capacity = 8;
  ASSERT_TRUE(w.settle());
  w.submit("n0", array_job("wk-1", 16, 60));
  ASSERT_TRUE(w.reaches("wk-1", "running", 30000));
  w.time.run_for(3000);
  std::set<std::string> there{"m-000001"};
  cut_off(w, there);
  w.time.run_for(3500);
  there.insert({"m-000003", "m-000005", "m-000007"});
  w.time.run_for(9500);
  EXPECT_EQ(w.cloud.machines.size(), 8u);
  w.net.set_rule({});
  EXPECT_TRUE(w.reaches("wk-1", "done", 200000));
  w.expect_rules();
}

// A new leader with several hundred open jobs places again within a quarter of a worker's lease.
TEST(FaultTolerance, NextLeaderOfManyJobsPlacesAgainSoon) {
  SimulatedCluster w(1, 4);
  w.cloud.capacity = 4;  // 8 tasks at once; the rest waits
  ASSERT_TRUE(w.settle());
  for (int i = 0; i < 300; ++i)
    ASSERT_EQ(w.submit(w.leader(), array_job("wk-" + std::to_string(1000 + i), 3, 6)).status, 201);
  const std::string first = w.leader();
  w.kill(first);
  while (w.leader().empty()) w.time.run_for(100);
  int starts = 0;
  for (const auto& [task, n] : w.checker.starts) starts += n;
  w.time.run_for(5000);  // lease_s / 4
  int later = 0;
  for (const auto& [task, n] : w.checker.starts) later += n;
  EXPECT_GT(later, starts);
  w.start(first);
  w.expect_rules();
}

// The state service, the cloud and workers answer with what is no answer: no process ends, and no
// job is lost.
TEST(FaultTolerance, MalformedAnswersLoseNothing) {
  const std::vector<std::string> bodies{
      "",
      "{",
      "null",
      "[]",
      "{}",
      R"({"rows":5,"has_next":1,"ledger_rev":"x"})",
      R"({"rows":[{}],"has_next":false,"ledger_rev":3})",
      R"({"rows":[{"path":"work/x","v":7,"stamp":1}],"has_next":true,"ledger_rev":1.5})",
      R"({"path":"leader","v":{"node":5},"stamp":-1})",
      R"({"path":7,"v":null,"stamp":4,"permit":"a"})",
      R"({"ledger_rev":{},"failed":[3]})",
      R"({"ledger_rev":4,"log":[{"write":1},[]]})",
      R"({"permit":-4})",
      R"({"hosts":[{}],"has_next":"no"})",
      R"({"hosts":[5]})",
      R"({"barrels":[{"name":"big","cellars":[1]}]})",
      R"({"host":"m-000001","shift":-1,"tally":"x","pours":{}})",
      std::string(70000, '[')};
  for (unsigned seed = 1; seed <= 8; ++seed) {
    SimulatedCluster w(seed);
    std::mt19937 random(seed);
    ASSERT_TRUE(w.settle());
    w.net.set_rule([&](const std::string& from, const net::Call&) {
      Delivery f;
      if (from.starts_with("n") && random() % 5 == 0) f.body = bodies[random() % bodies.size()];
      return f;
    });
    std::vector<std::string> accepted;
    for (int i = 0; i < 12; ++i) {
      const std::string id = "wk-" + std::to_string(100 + i);
      const auto job = i % 4 == 0 ? gang_job(id, 2, 6) : array_job(id, 3, 6);
      const int status = w.submit("n" + std::to_string(i % 3), job).status;
      if (status == 200 || status == 201) accepted.push_back(id);
      if (i == 6 && !w.leader().empty()) {
        const std::string first = w.leader();
        w.kill(first);
        w.time.run_for(300);
        w.start(first);
      }
      w.time.run_for(3000);
    }
    EXPECT_GT(accepted.size(), 3u);
    w.net.set_rule({});
    for (const std::string& id : accepted) EXPECT_TRUE(w.reaches(id, "done", 200000)) << id;
    w.expect_rules();
  }
}

// A job that was submitted with a mistake fails everywhere until it is cancelled: it shuts no
// machine to the others, and is tried now and then with one task.
TEST(FaultTolerance, JobThatFailsEverywhereIsInNobodysWay) {
  SimulatedCluster w(1, 4);
  w.cloud.capacity = 4;
  ASSERT_TRUE(w.settle());
  w.checker.jobs["wk-1"].mistaken = w.checker.jobs["wk-2"].mistaken = true;
  w.submit("n0", array_job("wk-1", 8, 60));
  w.submit("n0", gang_job("wk-2", 2, 60));
  w.time.run_for(4000);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "wk-" + std::to_string(10 + i);
    EXPECT_EQ(w.submit("n1", array_job(id, 8, 5)).status, 201);
    EXPECT_TRUE(w.reaches(id, "done", 15000)) << id;
  }
  const int before = w.starts();
  w.time.run_for(60000);
  EXPECT_LE(w.starts() - before, 10);
  EXPECT_GT(w.starts() - before, 1);
  EXPECT_EQ(w.cancel_until_told("n2", "wk-1", 5000).stage(), "withdrawn");
  EXPECT_EQ(w.cancel_until_told("n2", "wk-2", 5000).stage(), "withdrawn");
  w.expect_rules();
}

// Small gangs come as fast as they end, with two that need most of the zone waiting.
TEST(FaultTolerance, LargeGangsAreNotStarvedBySmallOnes) {
  SimulatedCluster w(1, 0);
  w.cloud.capacity = 4;
  for (int i = 0; i < 4; ++i) w.cloud.boot("big", "a", false, 10);
  ASSERT_TRUE(w.settle());
  int next = 100;
  const auto small = [&](double run_s) {
    w.submit("n0", gang_job("wk-" + std::to_string(next++), 1, run_s));
  };
  for (int i = 0; i < 4; ++i) small(30 + 10 * i);  // they end one by one
  w.time.run_for(3000);
  w.submit("n1", gang_job("wk-1", 4, 5));
  w.submit("n1", gang_job("wk-2", 3, 5));
  bool done = false;
  for (int i = 0; i < 30 && !done; ++i) {
    small(40);  // longer than a hold lasts
    w.time.run_for(8000);
    done = w.poll("n0", "wk-1").stage() == "done" && w.poll("n0", "wk-2").stage() == "done";
  }
  EXPECT_TRUE(done);
  w.expect_rules();
}

// A leader whose timers come late has more to do than it can: it starts less often what would come
// back to it as reports and records, so that time is left for its lease.
TEST(FaultTolerance, ABusyLeaderPlacesLessOften) {
  SimulatedCluster w(1, 8);
  ASSERT_TRUE(w.settle());
  constexpr Ms kLag = 800, kApart = 300;
  w.slow_down(w.leader(), kLag);
  int bursts = 0;  // of starts, which a pass sends together
  Ms last = 0;
  w.net.set_rule([&](const std::string&, const net::Call& c) {
    if (c.path != "/commands" || c.body.find("\"run\"") == std::string::npos) return Delivery{};
    if (w.time.now() - last > kApart) ++bursts;
    last = w.time.now();
    return Delivery{};
  });
  const Ms begin = w.time.now();
  for (int i = 0; i < 14; ++i) {
    w.submit(w.follower(), array_job("wk-" + std::to_string(100 + i), 1, 60));
    w.time.run_for(700);
  }
  w.time.run_for(5 * kLag);
  EXPECT_EQ(w.starts(), 14);
  EXPECT_LE(bursts, (w.time.now() - begin) / (5 * kLag) + 1);
  w.expect_rules();
}

// Nobody leads, and users ask far more often than the store could answer: it is left free for what
// they submit meanwhile, and for the next leader.
TEST(FaultTolerance, PollsWithoutALeaderLeaveTheStoreToSubmissions) {
  SimulatedCluster w(1, 4);
  ASSERT_TRUE(w.settle());
  for (int i = 0; i < 40; ++i)
    w.submit(w.follower(), array_job("wk-" + std::to_string(100 + i), 1, 30));
  w.state.limit = static_cast<int>(settings_for("n0").state_limits.rps);
  const std::string former = w.leader();
  w.kill(former);
  w.time.run_for(1000);
  const int refused_before = w.state.refused;
  int asked = 0;
  int answered = 0;
  const auto alive = std::make_shared<bool>(true);
  const auto storm = [&](int polls) {
    for (int i = 0; i < polls; ++i) {
      const std::string node = asked % 2 == 0 ? "n0" : "n2";
      const std::string path = "/api/jobs/wk-" + std::to_string(100 + asked++ % 40);
      net::Call call{(node == former ? "n1" : node) + ":8080", "GET", path, "", 5000};
      w.net.call("user", alive, call, [&answered](const net::Reply& r) {
        answered += r.fate == net::Reply::Fate::answered ? 1 : 0;
      });
    }
  };
  int submitted = 0;
  for (; w.leader().empty() && submitted < 100; ++submitted) {
    storm(100);
    const Ms before = w.time.now();
    const std::string id = "wk-" + std::to_string(500 + submitted);
    EXPECT_EQ(w.submit(w.follower(), array_job(id, 1, 30)).status, 201) << id;
    EXPECT_LT(w.time.now() - before, 1000);
    w.time.run_for(100);
  }
  EXPECT_GT(submitted, 10);
  EXPECT_LT(submitted, 100);  // the next leader was not kept out
  w.time.run_for(5000);
  EXPECT_EQ(answered, asked);
  EXPECT_LT((w.state.refused - refused_before) * 20, asked);
  w.expect_rules();
}

}  // namespace
}  // namespace seampass::fakes
