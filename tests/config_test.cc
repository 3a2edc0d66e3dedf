// Tests how the settings file and the operator's settings are loaded: values, defaults and errors.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "config/settings.h"

namespace seampass::config {
namespace {

// Writes `text` to a new temporary file and returns its path; the caller removes the file.
std::string write_temporary_file(const std::string& text) {
  char name[] = "/tmp/seampass-test-XXXXXX";
  const int fd = mkstemp(name);
  close(fd);
  std::ofstream(name) << text;
  return name;
}

const char* const kValidSettings = R"(
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

// kValidSettings with the first occurrence of `from` replaced by `to`.
std::string settings_with(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(Config, ReadsSettings) {
  const std::string file = write_temporary_file(kValidSettings);
  const Settings settings = load_settings(file);
  EXPECT_EQ(settings.node, "n0");
  EXPECT_EQ(settings.peers.at(0).endpoint, "127.0.0.1:8091");
  EXPECT_EQ(settings.team("red")->gpus_max, 16.0);
  EXPECT_EQ(settings.team("green"), nullptr);
  EXPECT_EQ(settings.objectives.at(0).within_s, 30.0);
  EXPECT_EQ(settings.state_limits.txn_ops, 12);
  EXPECT_EQ(settings.next_state_limits.value_kb, 32.0);
  std::remove(file.c_str());
}

// A limit that the table `facts.state.next` does not contain keeps its current value.
TEST(Config, NextLimitsDefaultToTheCurrentOnes) {
  const std::string file = write_temporary_file(settings_with(
      "txn_ops = 12\n", "txn_ops = 12\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n"));
  const Settings settings = load_settings(file);
  EXPECT_EQ(settings.state_limits.value_kb, 32.0);
  EXPECT_EQ(settings.next_state_limits.value_kb, 2.0);
  EXPECT_EQ(settings.next_state_limits.txn_ops, 4);
  EXPECT_EQ(settings.next_state_limits.write_rps, 30.0);
  std::remove(file.c_str());
}

TEST(Config, ErrorsNameTheFileAndTheField) {
  const struct {
    std::string text, field;
  } cases[] = {
      {settings_with("lease_s = 22.0", "lease_s = -1"), "facts.workers.lease_s"},
      {settings_with("lease_s = 22.0", ""), "facts.workers.lease_s"},
      {settings_with("rps = 80.0", "rps = \"many\""), "facts.state.rps"},
      {settings_with("listen = \"127.0.0.1:8080\"", "listen = \"here\""), "listen"},
      {settings_with("back = \"127.0.0.1:8081\"", "back = \"127.0.0.1:99999\""), "back"},
      {settings_with("zones = [\"a\", \"b\"]", "zones = [1]"), "facts.zones"},
      {settings_with("node = \"n0\"", "node = "), "line 2"},
      {settings_with("txn_ops = 12", "txn_ops = 12\nnext = 3"), "facts.state.next"},
      {settings_with("txn_ops = 12", "txn_ops = 12\nnext = { value_kb = 0.5 }"),
       "facts.state.next.value_kb"},
      {settings_with("txn_ops = 12", "txn_ops = 12\nnext = { write_rps = \"few\" }"),
       "facts.state.next.write_rps"},
  };
  for (const auto& invalid : cases) {
    const std::string file = write_temporary_file(invalid.text);
    try {
      load_settings(file);
      ADD_FAILURE() << invalid.field;
    } catch (const BadSettings& error) {
      const std::string message = error.what();
      EXPECT_NE(message.find(file), std::string::npos) << message;
      EXPECT_NE(message.find(invalid.field), std::string::npos) << message;
      EXPECT_EQ(message.find('\n'), std::string::npos) << message;
    }
    std::remove(file.c_str());
  }
}

TEST(Config, ReadsOperatorSettingsAndRejectsInvalidOnes) {
  std::string file = write_temporary_file("hold_timeout_s: 12\nmachine_choice: first-fit\n");
  const OperatorSettings operator_settings = load_operator(file);
  EXPECT_EQ(operator_settings.hold_timeout_s, 12);
  EXPECT_EQ(operator_settings.machine_choice, "first-fit");
  std::remove(file.c_str());
  for (const char* invalid_text :
       {"hold_timout_s: 12\n", "hold_timeout_s: soon\n", "idle_return: -1\n", "- 1\n",
        "machine_choice: best\n", "a: [\n"}) {
    file = write_temporary_file(invalid_text);
    EXPECT_THROW(load_operator(file), BadSettings) << invalid_text;
    std::remove(file.c_str());
  }
  // The example file sets each setting to its default value.
  const OperatorSettings example =
      load_operator(std::string(SEAMPASS_SOURCE_DIR) + "/deploy/operator.example.yaml");
  EXPECT_EQ(example.hold_timeout_s, OperatorSettings().hold_timeout_s);
  EXPECT_EQ(example.idle_return, OperatorSettings().idle_return);
}

}  // namespace
}  // namespace seampass::config
