// Compares a controller's HTTP answers with literals: the status, the body and Retry-After, the
// time in seconds after which a client should retry.
//
// Users and workers are not upgraded together with the controllers, so a literal here must not be
// changed along with the program. A literal that no longer matches means that users or workers get
// an answer that they don't understand.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "fakes/simulated_cluster.h"
#include "net/http_server.h"

namespace seampass::fakes {
namespace {

// One controller of a cluster of three, with a simulated state service and cloud. The other two
// controllers never answer.
struct SingleNode {
  SingleNode() {
    net.serve("state:1", [this](const net::Request& request, net::Answer answer) {
      state.handle(request, std::move(answer));
    });
    net.serve("cloud:1", [this](const net::Request& request, const net::Answer& answer) {
      cloud.handle(request, answer);
    });
  }
  // Starts the controller and waits until it leads and knows the machine types.
  void lead() {
    node.start();
    for (int i = 0; i < 300 && !(node.election().lease_valid() && ask("GET", "/up").status == 200);
         ++i)
      time.run_for(100);
    ASSERT_TRUE(node.election().lease_valid());
  }
  net::Response ask(const char* method, const std::string& path, const std::string& body = "") {
    std::optional<net::Response> response;
    node.handle({method, path, body}, [&](const net::Response& received) { response = received; });
    for (int i = 0; i < 10000 && !response; ++i) time.run_for(1);
    return response.value_or(net::Response{0, "no answer", 0});
  }
  net::Response submit(const wire::Job& job) {
    return ask("POST", "/api/jobs", wire::to_json(job).dump());
  }

  SimTime time;
  SimNet net{time, 1};
  StateService state{time};
  InvariantChecker checker;
  CloudService cloud{net, checker, {3000, 20000, 300}, {"n0"}};
  SimPeers::Registry registry;
  std::set<std::string> production;
  Process process{time};
  SimCaller http{net, "n0", process.alive()};
  SimPeers peers{net, registry, "n0", production};
  app::Node node{process, http, peers, settings_for("n0"), {}};
};

void expect_response(const net::Response& response, int status, const std::string& body,
                     int retry_after_s = 0) {
  EXPECT_EQ(response.status, status);
  EXPECT_EQ(response.body, body);
  EXPECT_EQ(response.retry_after_s, retry_after_s) << body;
}

wire::Job single_task() { return array_job("wk-8801", 1); }

TEST(Formats, AnswersToSubmissionsPollsAndCancellationsAreUnchanged) {
  SingleNode single;
  single.lead();

  expect_response(single.ask("GET", "/up"), 200, "{}");
  expect_response(single.submit(single_task()), 201, R"({"ref":"wk-8801","stage":"queued"})");
  expect_response(single.submit(single_task()), 200, R"({"ref":"wk-8801","stage":"queued"})");
  expect_response(single.ask("GET", "/api/jobs/wk-8801"), 200,
                  R"({"done":0,"ref":"wk-8801","running":0,"stage":"queued"})");
  expect_response(single.ask("POST", "/api/jobs/wk-8801/abort"), 200,
                  R"({"ref":"wk-8801","stage":"withdrawn"})");
  expect_response(single.ask("GET", "/api/jobs/wk-8801"), 200,
                  R"({"done":0,"ref":"wk-8801","running":0,"stage":"withdrawn"})");
  expect_response(single.submit(single_task()), 200, R"({"ref":"wk-8801","stage":"withdrawn"})");
}

TEST(Formats, NotFoundAnswersAreUnchanged) {
  SingleNode single;
  single.lead();
  const std::string no_path = R"({"error":"no such path"})";
  const std::string no_job = R"({"error":"no such job"})";

  expect_response(single.ask("GET", "/api/else"), 404, no_path);
  expect_response(single.ask("GET", "/api/jobs/wk-8801/tasks"), 404, no_path);
  expect_response(single.ask("GET", "/api/jobs/job-1"), 404, no_job);
  expect_response(single.ask("GET", "/api/jobs/wk-8801"), 404, no_job);
  expect_response(single.ask("POST", "/api/jobs/wk-8801/abort"), 404, no_job);
}

TEST(Formats, MethodNotAllowedAnswersAreUnchanged) {
  SingleNode single;
  const std::string refusal = R"({"error":"method not allowed"})";

  expect_response(single.ask("DELETE", "/api/jobs"), 405, refusal);
  expect_response(single.ask("POST", "/api/jobs/wk-8801"), 405, refusal);
  expect_response(single.ask("GET", "/api/jobs/wk-8801/abort"), 405, refusal);
  expect_response(single.ask("GET", "/checkin"), 405, refusal);
  expect_response(single.ask("POST", "/up"), 405, refusal);
}

TEST(Formats, AnswersToMalformedRequestsAreUnchanged) {
  SingleNode single;
  single.lead();

  expect_response(single.ask("POST", "/api/jobs", "{"), 400, R"({"error":"not JSON"})");
  expect_response(single.ask("POST", "/api/jobs", "[]"), 400, R"({"error":"not an object"})");
  expect_response(single.ask("POST", "/api/jobs", "{}"), 400, R"({"error":"ref: missing"})");
  expect_response(single.ask("POST", "/checkin", "{}"), 400, R"({"error":"host: missing"})");
}

TEST(Formats, RefusalsOfJobsThatCanNeverRunAreUnchanged) {
  SingleNode single;
  single.lead();
  const auto expect_refusal = [&](const wire::Job& job, const std::string& reason) {
    expect_response(single.submit(job), 422, R"({"error":")" + reason + "\"}");
  };
  wire::Job job = single_task();
  job.team = "nobody";
  expect_refusal(job, "unknown team");
  job = single_task();
  job.cpus = 9;
  expect_refusal(job, "a task fits no allowed machine type");
  expect_refusal(gang_job("wk-8801", 17), "over the team's limit");
  job = gang_job("wk-8801", 2);
  job.spread = true;
  expect_refusal(job, "its tasks may not be in one zone, and fit no other");
  job = single_task();
  job.types.emplace(150, std::string(100, 't'));
  job.types->push_back("big");
  expect_refusal(job, "too large to be stored");
}

TEST(Formats, RefusalsOfImpossibleDependenciesAreUnchanged) {
  SingleNode single;
  single.lead();
  wire::Job job = single_task();

  job.dependencies = {"wk-8801"};
  expect_response(single.submit(job), 422, R"({"error":"it depends on itself"})");
  job.dependencies = {"wk-404"};
  expect_response(single.submit(job), 422,
                  R"({"error":"it depends on a job that was never accepted"})");
}

TEST(Formats, UnavailableAnswersDuringStartupAreUnchanged) {
  SingleNode single;

  expect_response(single.ask("GET", "/up"), 503, R"({"error":"starting"})", 1);
  expect_response(single.submit(single_task()), 503, R"({"error":"machine types not known yet"})",
                  1);
  expect_response(single.ask("POST", "/api/jobs/wk-8801/abort"), 503,
                  R"({"error":"no leader can answer"})", 1);
}

TEST(Formats, UnavailableAnswersDuringAStateServiceOutageAreUnchanged) {
  SingleNode single;
  single.lead();
  single.state.down = true;
  single.time.run_for(60000);
  const std::string refusal = R"({"error":"state not available"})";

  expect_response(single.submit(single_task()), 503, refusal, 1);
  expect_response(single.ask("GET", "/api/jobs/wk-8802"), 503, refusal, 1);
  wire::Job job = single_task();
  job.dependencies = {"wk-8802"};
  expect_response(single.submit(job), 503, R"({"error":"dependencies not known yet"})", 1);
}

const char* const kHeartbeat =
    R"({"host":"m-000051","addr":"10.9.8.7:9100","barrel":"big","cellar":"a","lent_racks":false,
"shift":1,"tally":1,"warrant":0,"recall_s":null,"pours":[]})";

// `warrant` is the leader's epoch: the version of the record `leader` in the state service. It is 1
// because that record is the first one written there.
TEST(Formats, HeartbeatAnswersOfTheLeaderAreUnchanged) {
  SingleNode single;
  single.lead();

  expect_response(single.ask("POST", "/checkin", kHeartbeat), 200, R"({"orders":[],"warrant":1})");
  expect_response(single.ask("POST", "/checkin", kHeartbeat), 503, "{}");  // a duplicate
}

TEST(Formats, HeartbeatAnswersOfAFollowerAreUnchanged) {
  SingleNode single;
  expect_response(single.ask("POST", "/checkin", kHeartbeat), 421, "{}");
  single.state.handle(
      {"POST", "/txn", R"({"if":[],"apply":[{"write":"leader","v":{"node":"n2"}}]})"},
      [](const net::Response&) {});
  single.node.start();
  single.time.run_for(3000);
  expect_response(single.ask("POST", "/checkin", kHeartbeat), 421, R"({"steward":"n2"})");
}

// Makes the server listen on the first free port and returns its endpoint.
std::string listen_on_free_port(net::HttpServer& server) {
  for (int port = 23000;; ++port) {
    std::string endpoint = "127.0.0.1:" + std::to_string(port);
    try {
      server.listen(endpoint);
      return endpoint;
    } catch (const std::runtime_error&) {
      if (port > 60000) throw;
    }
  }
}

// Sends the request and returns all bytes that arrive until the server closes the connection, at
// most five seconds later.
std::string exchange(net::Loop& loop, const std::string& endpoint, const std::string& request) {
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = net::parse_endpoint(endpoint);
  EXPECT_EQ(connect(client, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
  EXPECT_EQ(send(client, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
  bool timed_out = false;
  loop.after(5000, [&timed_out] { timed_out = true; });
  std::string received;
  char buffer[1024];
  for (ssize_t size = -1; size != 0 && !timed_out;) {
    uv_run(loop.raw(), UV_RUN_NOWAIT);
    size = recv(client, buffer, sizeof buffer, MSG_DONTWAIT);
    if (size > 0) received.append(buffer, static_cast<std::size_t>(size));
  }
  close(client);
  return received;
}

// Returns the bytes that an HTTP server sends for this response.
std::string sent_over_http(const net::Response& response) {
  net::Loop loop;
  net::HttpServer server(loop, {},
                         [&](const net::Request&, const net::Answer& answer) { answer(response); });
  return exchange(loop, listen_on_free_port(server),
                  "GET /up HTTP/1.1\r\nHost: n0\r\nConnection: close\r\n\r\n");
}

TEST(Formats, HttpResponseBytesAreUnchanged) {
  EXPECT_EQ(sent_over_http({503, R"({"error":"busy"})", 1}),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            "Content-Length: 16\r\nRetry-After: 1\r\nConnection: close\r\n\r\n"
            R"({"error":"busy"})");
  EXPECT_EQ(sent_over_http({200, "{}", 0}),
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: 2\r\nConnection: close\r\n\r\n{}");
}

}  // namespace
}  // namespace seampass::fakes
