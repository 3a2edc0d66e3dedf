// What bounds sockets and queues: on a large deployment each of them was once without a bound.
#include <gtest/gtest.h>

#include <optional>

#include "fakes/sim_time.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass {
namespace {

// Servers and clients on a real loop, over loopback.
struct Loopback {
  net::Loop loop;
  std::vector<std::unique_ptr<net::HttpServer>> servers;
  std::vector<std::string> endpoints;

  net::HttpServer& serve(net::ServerLimits limits) {
    servers.push_back(std::make_unique<net::HttpServer>(
        loop, limits, [](const net::Request&, net::Answer answer) {
          answer({200, "{}", 0});
        }));
    endpoints.push_back(listen(*servers.back()));
    return *servers.back();
  }
  // On the first port that is free.
  static std::string listen(net::HttpServer& server) {
    for (int port = 20000;; ++port) {
      const std::string endpoint = "127.0.0.1:" + std::to_string(port);
      try {
        server.listen(endpoint);
        return endpoint;
      } catch (const std::runtime_error&) {
        if (port > 60000) throw;
      }
    }
  }
  // Sends all at once; how many were answered 200.
  int ask(net::HttpClient& client, const std::string& endpoint,
          const std::vector<std::string>& paths) {
    int good = 0;
    std::size_t answered = 0;
    for (const std::string& path : paths)
      client.call({endpoint, "GET", path, "", 2000}, [&](const net::Reply& r) {
        ++answered;
        good += r.is(200) ? 1 : 0;
      });
    while (answered < paths.size()) uv_run(loop.raw(), UV_RUN_ONCE);
    settle();
    return good;
  }
  void settle() {
    bool over = false;
    loop.after(30, [&over] { over = true; });
    while (!over) uv_run(loop.raw(), UV_RUN_ONCE);
  }
};

TEST(Net, IdleConnectionsToManyEndpointsAreBoundedTogether) {
  Loopback l;
  for (int i = 0; i < 6; ++i) l.serve({});
  net::HttpClient client(l.loop, 2);
  for (const std::string& e : l.endpoints) EXPECT_EQ(l.ask(client, e, {"/commands"}), 1);
  std::size_t open = 0;
  for (const auto& s : l.servers) open += s->connections();
  EXPECT_EQ(open, 2u);
  EXPECT_EQ(l.servers.back()->connections(), 1u);  // the longest idle went first
  EXPECT_EQ(l.ask(client, l.endpoints[0], {"/commands"}), 1);
}

TEST(Net, ANewConnectionDisplacesAnIdleUserBeforeAWorker) {
  net::ServerLimits limits;
  limits.max_connections = 3;
  limits.lasting_path = "/checkin";
  Loopback l;
  net::HttpServer& server = l.serve(limits);
  net::HttpClient peers(l.loop, 8), user(l.loop, 8);
  EXPECT_EQ(l.ask(peers, l.endpoints[0], {"/checkin", "/checkin", "/api/jobs"}), 3);
  EXPECT_EQ(l.ask(user, l.endpoints[0], {"/up"}), 1);  // the idle user's made room
  EXPECT_EQ(server.connections(), 3u);
  EXPECT_EQ(l.ask(user, l.endpoints[0], {"/up", "/up"}), 2);  // no other idle user: a worker's
  EXPECT_EQ(server.connections(), 3u);
}

// Half as many machines again as there are connections: all are heard, round after round, and no
// report is refused for want of a socket. Counts sockets and reports, not time.
TEST(Net, MoreMachinesThanConnectionsAreAllHeard) {
  net::ServerLimits limits;
  limits.max_connections = 64;
  limits.lasting_path = "/checkin";
  Loopback l;
  net::HttpServer& server = l.serve(limits);
  std::vector<std::unique_ptr<net::HttpClient>> machines;
  for (int i = 0; i < 96; ++i) machines.push_back(std::make_unique<net::HttpClient>(l.loop, 1));
  std::size_t most = 0;
  for (int round = 0; round < 6; ++round) {
    int good = 0, answered = 0;
    // As reports come, a few at a time.
    for (std::size_t at = 0; at < machines.size(); at += 4) {
      const int want = answered + 4;
      for (std::size_t i = at; i < at + 4; ++i)
        machines[i]->call({l.endpoints[0], "POST", "/checkin", "{}", 2000},
                          [&](const net::Reply& r) {
                            ++answered;
                            good += r.is(200) ? 1 : 0;
                          });
      while (answered < want) uv_run(l.loop.raw(), UV_RUN_ONCE);
      most = std::max(most, server.connections());
    }
    EXPECT_EQ(good, 96) << "round " << round;
  }
  EXPECT_LE(most, 64u);
  EXPECT_GT(most, 50u);  // most machines keep theirs
  EXPECT_EQ(l.ask(*machines[0], l.endpoints[0], {"/api/jobs"}), 1);
}

// The process stands still for longer than its request may take, and the answer comes meanwhile: it
// counts, since it is read in the turn after the one that was so long.
TEST(Net, AnAnswerThatCameDuringALongTurnCounts) {
  constexpr net::Ms kTimeout = 1000;
  Loopback l;
  net::Ms busy_until = 0;
  net::HttpServer server(l.loop, {}, [&](const net::Request&, net::Answer answer) {
    while (l.loop.now() < busy_until) {
    }
    answer({200, "{}", 0});
  });
  const std::string endpoint = Loopback::listen(server);
  net::HttpClient client(l.loop, 4);
  EXPECT_EQ(l.ask(client, endpoint, {"/keys/a"}), 1);  // connected
  busy_until = l.loop.now() + kTimeout + 10;
  std::optional<net::Reply> reply;
  client.call({endpoint, "GET", "/keys/a", "", kTimeout}, [&](const net::Reply& r) { reply = r; });
  while (!reply) uv_run(l.loop.raw(), UV_RUN_ONCE);
  EXPECT_TRUE(reply->is(200));
}

// One that never comes is overdue all the same.
TEST(Net, AnAnswerThatNeverComesIsUnknown) {
  Loopback l;
  net::HttpServer silent(l.loop, {}, [](const net::Request&, const net::Answer&) {});
  net::HttpClient client(l.loop, 4);
  std::optional<net::Reply> reply;
  client.call({Loopback::listen(silent), "GET", "/keys/a", "", 500},
              [&](const net::Reply& r) { reply = r; });
  while (!reply) uv_run(l.loop.raw(), UV_RUN_ONCE);
  EXPECT_EQ(reply->fate, net::Reply::Fate::unknown);
}

// Keeps calls until the test answers them.
class HeldCaller : public net::HttpCaller {
 public:
  void call(net::Call call, net::ReplyFn done) override {
    held.emplace_back(std::move(call), std::move(done));
  }
  std::vector<std::pair<net::Call, net::ReplyFn>> held;
};

TEST(Net, CommandsOnTheirWayAreBoundedAndTheRestWaits) {
  HeldCaller http;
  workers::Client client(http, 1000, 2);
  int done = 0;
  for (int i = 0; i < 5; ++i)
    client.send("m" + std::to_string(i), 7, 1, {}, [&done](workers::Sent, const auto&) { ++done; });
  ASSERT_EQ(http.held.size(), 2u);
  http.held[0].second({net::Reply::Fate::unknown, 0, {}});
  ASSERT_EQ(http.held.size(), 3u);
  EXPECT_EQ(http.held[2].first.endpoint, "m2");
  client.drop_queued();  // no longer leading: what has not left is not sent
  http.held[1].second({net::Reply::Fate::unknown, 0, {}});
  http.held[2].second({net::Reply::Fate::unknown, 0, {}});
  EXPECT_EQ(http.held.size(), 3u);
  EXPECT_EQ(done, 3);
}

TEST(Net, SubmissionsWaitOnNothingLessUrgent) {
  HeldCaller http;
  fakes::SimTime time;
  state::Client client(time, http, "state:1", 50, 10, 1000);
  for (int i = 0; i < 60; ++i) {
    state::Txn txn;
    txn.changes.push_back({"work/wk-1/" + std::to_string(i), wire::Json::object(), 0});
    client.txn(std::move(txn), state::Urgency::progress, [](const state::TxnResult&) {});
  }
  EXPECT_GT(client.backlog(state::Urgency::progress), 3000);
  EXPECT_EQ(client.backlog(state::Urgency::final_status), 0);
}

}  // namespace
}  // namespace seampass
