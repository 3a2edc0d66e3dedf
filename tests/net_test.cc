// Tests the limits on sockets and queues, and the timeouts of HTTP requests. On a large deployment,
// the number of sockets and the length of each queue were once unlimited.
#include <gtest/gtest.h>

#include <optional>

#include "fakes/sim_time.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass {
namespace {

// Runs HTTP servers and clients on a real event loop, over the loopback interface.
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
  // Listens on the first free port from 20000 on and returns the endpoint.
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
  // Sends a request for each path, all at the same time, and waits for the replies. Returns the
  // number of replies with status 200.
  int request_all(net::HttpClient& client, const std::string& endpoint,
                  const std::vector<std::string>& paths) {
    int ok_replies = 0;
    std::size_t finished = 0;
    for (const std::string& path : paths)
      client.call({endpoint, "GET", path, "", 2000}, [&](const net::Reply& reply) {
        ++finished;
        ok_replies += reply.is(200) ? 1 : 0;
      });
    while (finished < paths.size()) uv_run(loop.raw(), UV_RUN_ONCE);
    settle();
    return ok_replies;
  }
  // Runs the loop for 30 ms, so that both sides process the connections that were closed.
  void settle() {
    bool elapsed = false;
    loop.after(30, [&elapsed] { elapsed = true; });
    while (!elapsed) uv_run(loop.raw(), UV_RUN_ONCE);
  }
};

TEST(Net, MaxIdleConnectionsCountsAllEndpointsTogether) {
  Loopback loopback;
  for (int i = 0; i < 6; ++i) loopback.serve({});
  net::HttpClient client(loopback.loop, 2);
  for (const std::string& endpoint : loopback.endpoints)
    EXPECT_EQ(loopback.request_all(client, endpoint, {"/commands"}), 1);
  std::size_t open = 0;
  for (const auto& server : loopback.servers) open += server->connections();
  EXPECT_EQ(open, 2u);
  // The client closed the connections that had been idle for the longest time.
  EXPECT_EQ(loopback.servers.back()->connections(), 1u);
  EXPECT_EQ(loopback.request_all(client, loopback.endpoints[0], {"/commands"}), 1);
}

TEST(Net, ANewConnectionEvictsAnIdleUserBeforeAnIdleWorker) {
  net::ServerLimits limits;
  limits.max_connections = 3;
  limits.worker_path = "/checkin";
  Loopback loopback;
  net::HttpServer& server = loopback.serve(limits);
  net::HttpClient first_client(loopback.loop, 8), second_client(loopback.loop, 8);
  EXPECT_EQ(loopback.request_all(first_client, loopback.endpoints[0],
                                 {"/checkin", "/checkin", "/api/jobs"}),
            3);
  // The server evicts the connection of the /api/jobs request.
  EXPECT_EQ(loopback.request_all(second_client, loopback.endpoints[0], {"/up"}), 1);
  EXPECT_EQ(server.connections(), 3u);
  // One request reuses the client's connection. The other one needs a new connection, and the
  // server evicts a worker's connection, since no user connection is idle.
  EXPECT_EQ(loopback.request_all(second_client, loopback.endpoints[0], {"/up", "/up"}), 2);
  EXPECT_EQ(server.connections(), 3u);
}

// There are 96 workers for 64 connections. In each round the server must answer the heartbeat of
// every worker: no heartbeat may fail because the server has no free connection. The test counts
// connections and replies and does not measure time.
TEST(Net, AllHeartbeatsAreAnsweredWithMoreWorkersThanConnections) {
  net::ServerLimits limits;
  limits.max_connections = 64;
  limits.worker_path = "/checkin";
  Loopback loopback;
  net::HttpServer& server = loopback.serve(limits);
  std::vector<std::unique_ptr<net::HttpClient>> worker_clients;
  for (int i = 0; i < 96; ++i)
    worker_clients.push_back(std::make_unique<net::HttpClient>(loopback.loop, 1));
  std::size_t max_connections_seen = 0;
  for (int round = 0; round < 6; ++round) {
    int ok_replies = 0, finished = 0;
    // Workers do not send their heartbeats all at once, so the test sends four at a time.
    for (std::size_t first = 0; first < worker_clients.size(); first += 4) {
      const int expected_finished = finished + 4;
      for (std::size_t i = first; i < first + 4; ++i)
        worker_clients[i]->call({loopback.endpoints[0], "POST", "/checkin", "{}", 2000},
                                [&](const net::Reply& reply) {
                                  ++finished;
                                  ok_replies += reply.is(200) ? 1 : 0;
                                });
      while (finished < expected_finished) uv_run(loopback.loop.raw(), UV_RUN_ONCE);
      max_connections_seen = std::max(max_connections_seen, server.connections());
    }
    EXPECT_EQ(ok_replies, 96) << "round " << round;
  }
  EXPECT_LE(max_connections_seen, 64u);
  EXPECT_GT(max_connections_seen, 50u);  // most workers keep their connection open
  EXPECT_EQ(loopback.request_all(*worker_clients[0], loopback.endpoints[0], {"/api/jobs"}), 1);
}

// One loop iteration takes longer than the request's timeout, and the reply arrives in that time.
// The client must not time out, because it reads the reply in the next iteration.
TEST(Net, AReplyThatArrivesDuringALongLoopIterationIsNotATimeout) {
  constexpr net::Ms kTimeout = 1000;
  Loopback loopback;
  net::Ms busy_until = 0;
  net::HttpServer server(loopback.loop, {}, [&](const net::Request&, net::Answer answer) {
    while (loopback.loop.now() < busy_until) {
    }
    answer({200, "{}", 0});
  });
  const std::string endpoint = Loopback::listen(server);
  net::HttpClient client(loopback.loop, 4);
  EXPECT_EQ(loopback.request_all(client, endpoint, {"/keys/a"}), 1);  // opens the connection
  busy_until = loopback.loop.now() + kTimeout + 10;
  std::optional<net::Reply> reply;
  client.call({endpoint, "GET", "/keys/a", "", kTimeout},
              [&](const net::Reply& received) { reply = received; });
  while (!reply) uv_run(loopback.loop.raw(), UV_RUN_ONCE);
  EXPECT_TRUE(reply->is(200));
}

// The client waits one more loop iteration after the timeout, but it must still give up a request
// that is never answered.
TEST(Net, ARequestWithoutReplyTimesOutAsUnknown) {
  Loopback loopback;
  net::HttpServer unresponsive(loopback.loop, {}, [](const net::Request&, const net::Answer&) {});
  net::HttpClient client(loopback.loop, 4);
  std::optional<net::Reply> reply;
  client.call({Loopback::listen(unresponsive), "GET", "/keys/a", "", 500},
              [&](const net::Reply& received) { reply = received; });
  while (!reply) uv_run(loopback.loop.raw(), UV_RUN_ONCE);
  EXPECT_EQ(reply->result, net::Reply::Result::unknown);
}

// Stores each call so that the test can answer it later.
class ManualCaller : public net::HttpCaller {
 public:
  void call(net::Call call, net::ReplyFn done) override {
    calls.emplace_back(std::move(call), std::move(done));
  }
  std::vector<std::pair<net::Call, net::ReplyFn>> calls;
};

TEST(Net, CommandsInFlightAreLimitedAndTheOthersWait) {
  ManualCaller http;
  workers::Client client(http, 1000, 2);
  int completed = 0;
  for (int i = 0; i < 5; ++i)
    client.send("m" + std::to_string(i), 7, 1, {},
                [&completed](workers::CommandResult, const auto&) { ++completed; });
  ASSERT_EQ(http.calls.size(), 2u);
  http.calls[0].second({net::Reply::Result::unknown, 0, {}});
  ASSERT_EQ(http.calls.size(), 3u);
  EXPECT_EQ(http.calls[2].first.endpoint, "m2");
  // A node that stops leading calls drop_queued(). The commands to m3 and m4 must not be sent.
  client.drop_queued();
  http.calls[1].second({net::Reply::Result::unknown, 0, {}});
  http.calls[2].second({net::Reply::Result::unknown, 0, {}});
  EXPECT_EQ(http.calls.size(), 3u);
  EXPECT_EQ(completed, 3);
}

TEST(Net, ProgressWritesDoNotDelayFinalStatusWrites) {
  ManualCaller http;
  fakes::SimTime time;
  state::Client client(time, http, "state:1", {50, 10, 5}, 1000);
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
