#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "config/settings.h"

namespace seampass::config {
namespace {

std::string file_with(const std::string& text) {
  char name[] = "/tmp/seampass-test-XXXXXX";
  const int fd = mkstemp(name);
  close(fd);
  std::ofstream(name) << text;
  return name;
}

const char* const kGood = R"(
node = "n0"
location = "a"
listen = "127.0.0.1:8080"
back = "127.0.0.1:8081"
novelty = 3
[[known]]
node = "n1"
location = "b"
endpoint = "127.0.0.1:8091"
[external]
cloud = "127.0.0.1:1"
state = "127.0.0.1:2"
[facts]
size = 2
zones = ["a", "b"]
skew_ms = 25.0
[[facts.teams]]
name = "red"
cpus = 0
cpus_max = 0
gpus = 8.0
gpus_max = 16.0
[[facts.objectives]]
kind = "wait"
class = "k"
within_s = 30.0
share = 0.8
[facts.workers]
report_s = 3.0
lease_s = 22.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 42.0
[facts.state]
rps = 80.0
write_rps = 30.0
value_kb = 32.0
txn_ops = 12
[facts.cloud]
rps = 4.0
list_lag_s = 5.0
[facts.resources]
core_share = 0.16
mem_mb = 136.0
fd_limit = 2000
)";

std::string replaced(const std::string& from, const std::string& to) {
  std::string s = kGood;
  s.replace(s.find(from), from.size(), to);
  return s;
}

TEST(Config, ReadsSettings) {
  const std::string file = file_with(kGood);
  const Settings s = load_settings(file);
  EXPECT_EQ(s.node, "n0");
  EXPECT_EQ(s.peers.at(0).endpoint, "127.0.0.1:8091");
  EXPECT_EQ(s.team("red")->gpus_max, 16.0);
  EXPECT_EQ(s.team("green"), nullptr);
  EXPECT_EQ(s.objectives.at(0).within_s, 30.0);
  EXPECT_EQ(s.state_limits.txn_ops, 12);
  EXPECT_EQ(s.next_state_limits.value_kb, 32.0);
  std::remove(file.c_str());
}

// Those that `next` does not name stay as they are.
TEST(Config, LimitsToCome) {
  const std::string file = file_with(replaced(
      "txn_ops = 12\n", "txn_ops = 12\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"));
  const Settings s = load_settings(file);
  EXPECT_EQ(s.state_limits.value_kb, 32.0);
  EXPECT_EQ(s.next_state_limits.value_kb, 2.0);
  EXPECT_EQ(s.next_state_limits.txn_ops, 4);
  EXPECT_EQ(s.next_state_limits.write_rps, 30.0);
  std::remove(file.c_str());
}

TEST(Config, NamesFileFieldAndFault) {
  const struct {
    std::string text, field;
  } cases[] = {
      {replaced("lease_s = 22.0", "lease_s = -1"), "facts.workers.lease_s"},
      {replaced("lease_s = 22.0", ""), "facts.workers.lease_s"},
      {replaced("rps = 80.0", "rps = \"many\""), "facts.state.rps"},
      {replaced("listen = \"127.0.0.1:8080\"", "listen = \"here\""), "listen"},
      {replaced("back = \"127.0.0.1:8081\"", "back = \"127.0.0.1:99999\""), "back"},
      {replaced("zones = [\"a\", \"b\"]", "zones = [1]"), "facts.zones"},
      {replaced("node = \"n0\"", "node = "), "line 2"},
      {replaced("txn_ops = 12", "txn_ops = 12\nnext = 3"), "facts.state.next"},
      {replaced("txn_ops = 12", "txn_ops = 12\nnext = { value_kb = 0.5 }"),
       "facts.state.next.value_kb"},
      {replaced("txn_ops = 12", "txn_ops = 12\nnext = { write_rps = \"few\" }"),
       "facts.state.next.write_rps"},
  };
  for (const auto& c : cases) {
    const std::string file = file_with(c.text);
    try {
      load_settings(file);
      ADD_FAILURE() << c.field;
    } catch (const BadSettings& e) {
      const std::string what = e.what();
      EXPECT_NE(what.find(file), std::string::npos) << what;
      EXPECT_NE(what.find(c.field), std::string::npos) << what;
      EXPECT_EQ(what.find('\n'), std::string::npos) << what;
    }
    std::remove(file.c_str());
  }
}

TEST(Config, OperatorSettings) {
  std::string file = file_with("hold_timeout_s: 12\nmachine_choice: first-fit\n");
  const OperatorSettings o = load_operator(file);
  EXPECT_EQ(o.hold_timeout_s, 12);
  EXPECT_EQ(o.machine_choice, "first-fit");
  std::remove(file.c_str());
  for (const char* bad : {"hold_timout_s: 12\n", "hold_timeout_s: soon\n", "idle_return: -1\n",
                          "- 1\n", "machine_choice: best\n", "a: [\n"}) {
    file = file_with(bad);
    EXPECT_THROW(load_operator(file), BadSettings) << bad;
    std::remove(file.c_str());
  }
  // The example names every setting at its default.
  const OperatorSettings example =
      load_operator(std::string(SEAMPASS_SOURCE_DIR) + "/deploy/operator.example.yaml");
  EXPECT_EQ(example.hold_timeout_s, OperatorSettings().hold_timeout_s);
  EXPECT_EQ(example.idle_return, OperatorSettings().idle_return);
}

}  // namespace
}  // namespace seampass::config
