// Runs the program itself and sends it requests over loopback. The fakes of the state service
// and the cloud run in the test process, behind net::HttpServer.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "fakes/simulated_cluster.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace seampass {
namespace {

// A port that is free on loopback at the time of the call.
int free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr = net::parse_endpoint("127.0.0.1:0");
  socklen_t size = sizeof addr;
  bind(fd, reinterpret_cast<sockaddr*>(&addr), size);
  getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &size);
  close(fd);
  return ntohs(addr.sin_port);
}

std::string loopback_endpoint(int port) { return "127.0.0.1:" + std::to_string(port); }

// Starts a program. With `status`, discards its output, waits until it exits and sets `status` to
// the result of waitpid().
pid_t run(std::vector<std::string> args, int* status = nullptr) {
  const pid_t pid = fork();
  if (pid == 0) {
    std::vector<char*> argv;
    for (auto& arg : args) argv.push_back(arg.data());
    argv.push_back(nullptr);
    if (status) {
      freopen("/dev/null", "w", stdout);
      freopen("/dev/null", "w", stderr);
    }
    execv(argv[0], argv.data());
    _exit(127);
  }
  if (status) waitpid(pid, status, 0);
  return pid;
}

// Runs a program until it exits. Returns its exit status, or -1 if a signal ended it.
int exit_code(const std::vector<std::string>& args) {
  int status = 0;
  run(args, &status);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Process, CommandLineExitStatuses) {
  EXPECT_EQ(exit_code({SEAMPASS_BINARY, "--version"}), 0);
  EXPECT_EQ(exit_code({SEAMPASS_BINARY, "--help"}), 0);
  EXPECT_EQ(exit_code({SEAMPASS_BINARY}), 2);
  EXPECT_EQ(exit_code({SEAMPASS_BINARY, "--config", "/nonexistent"}), 2);
  EXPECT_EQ(exit_code({SEAMPASS_BINARY, "--nonsense"}), 2);
}

TEST(Process, ServesTheUserApiOverLoopback) {
  net::Loop loop;
  fakes::StateService state(loop);
  fakes::SimTime unused_time;
  fakes::SimNet unused_net(unused_time, 1);
  fakes::InvariantChecker checker;
  fakes::CloudService cloud(unused_net, checker, {}, {"n0"});
  net::HttpServer state_server(loop, {}, [&](const net::Request& request, net::Answer answer) {
    state.handle(request, std::move(answer));
  });
  net::HttpServer cloud_server(loop, {}, [&](const net::Request& request, net::Answer answer) {
    cloud.handle(request, answer);
  });
  const std::string node = loopback_endpoint(free_port());
  const std::string state_endpoint = loopback_endpoint(free_port()),
                    cloud_endpoint = loopback_endpoint(free_port());
  state_server.listen(state_endpoint);
  cloud_server.listen(cloud_endpoint);

  char file[] = "/tmp/seampass-test-XXXXXX";
  close(mkstemp(file));
  std::ofstream(file) << "node = \"n0\"\nlocation = \"a\"\nlisten = \"" << node << "\"\nback = \""
                      << loopback_endpoint(free_port()) << "\"\n[external]\ncloud = \""
                      << cloud_endpoint << "\"\nstate = \"" << state_endpoint << R"("
[facts]
zones = ["a", "b"]
skew_ms = 5
[[facts.teams]]
name = "blue"
cpus = 0
cpus_max = 0
gpus = 4
gpus_max = 16
[facts.workers]
report_s = 1.0
lease_s = 6.0
gang_wait_s = 10.0
gang_peer_s = 2.0
cancel_s = 12.0
[facts.state]
rps = 100
write_rps = 50
value_kb = 8
txn_ops = 10
[facts.cloud]
rps = 10
list_lag_s = 1
[facts.resources]
core_share = 0.5
mem_mb = 64
fd_limit = 200
)";
  EXPECT_EQ(exit_code({SEAMPASS_BINARY, "--config", file, "--check"}), 0);
  const pid_t pid = run({SEAMPASS_BINARY, "--config", file});
  {
    net::HttpClient client(loop, 4);
    const auto request = [&](const char* method, const std::string& path, const std::string& body) {
      net::Reply reply;
      bool answered = false;
      client.call({node, method, path, body, 3000}, [&](const net::Reply& received) {
        reply = received;
        answered = true;
      });
      while (!answered) uv_run(loop.raw(), UV_RUN_ONCE);
      return reply;
    };
    const auto pause = [&](net::Ms duration) {
      bool elapsed = false;
      loop.after(duration, [&] { elapsed = true; });
      while (!elapsed) uv_run(loop.raw(), UV_RUN_ONCE);
    };
    for (int i = 0; i < 100 && !request("GET", "/up", "").is(200); ++i) pause(50);
    EXPECT_TRUE(request("GET", "/up", "").is(200));
    const std::string job = wire::to_json(fakes::array_job("wk-5", 2)).dump();
    EXPECT_EQ(request("POST", "/api/jobs", job).status, 201);
    EXPECT_EQ(request("POST", "/api/jobs", job).status, 200);
    EXPECT_EQ(request("GET", "/api/jobs/wk-5", "").status, 200);
    EXPECT_EQ(request("GET", "/api/jobs/wk-6", "").status, 404);
    EXPECT_EQ(request("POST", "/api/jobs", "{").status, 400);
    EXPECT_EQ(request("POST", "/api/jobs", std::string(70000, ' ')).status, 413);
    EXPECT_EQ(request("BREW", "/up", "").status, 400);
    net::Reply cancelled;
    for (int i = 0; i < 50 && !cancelled.is(200); ++i) {
      cancelled = request("POST", "/api/jobs/wk-5/abort", "");
      pause(50);
    }
    EXPECT_NE(cancelled.body.find("withdrawn"), std::string::npos) << cancelled.body;
  }
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  unlink(file);
}

}  // namespace
}  // namespace seampass
