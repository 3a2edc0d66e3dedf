// What `--check` says of bad settings, as literals: the exit status and the one line.
//
// Whoever deploys the program acts on them. So a literal here may not be changed along with the
// program.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace seampass {
namespace {

struct Outcome {
  int exit_status = -1;
  std::string output;  // of both streams
};

Outcome check(const std::string& file) {
  const std::string command =
      std::string("'") + SEAMPASS_BINARY + "' --config '" + file + "' --check 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) return {};
  Outcome outcome;
  for (int c = fgetc(pipe); c != EOF; c = fgetc(pipe))
    outcome.output.push_back(static_cast<char>(c));
  const int status = pclose(pipe);
  outcome.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return outcome;
}

void expect_refusal(const std::string& settings, const std::string& why) {
  const std::string file =
      testing::TempDir() + "seampass-check-" + std::to_string(getpid()) + ".toml";
  std::ofstream(file) << settings;

  const Outcome outcome = check(file);

  EXPECT_EQ(outcome.exit_status, 2);
  EXPECT_EQ(outcome.output, "seampass: " + file + ": " + why + "\n");
  unlink(file.c_str());
}

TEST(Formats, ChecksSettingsAsBeforeWhenTheFileIsMissing) {
  const Outcome outcome = check("/nonexistent.toml");
  EXPECT_EQ(outcome.exit_status, 2);
  EXPECT_EQ(outcome.output, "seampass: /nonexistent.toml: File could not be opened for reading\n");
}

TEST(Formats, ChecksSettingsAsBeforeWhenTheyAreBad) {
  expect_refusal("[self\n", R"(line 1: Error while parsing table header: expected ']', saw '\n')");
  expect_refusal("", "node: must be a non-empty string");
  expect_refusal("node = 3\n", "node: must be a non-empty string");
}

}  // namespace
}  // namespace seampass
