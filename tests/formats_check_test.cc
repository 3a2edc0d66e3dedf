// Compares what `--check` reports for invalid settings with literals: the exit status and the one
// line of output.
//
// Deployment tools depend on both. A change of the program must therefore not change a literal in
// this file.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace seampass {
namespace {

struct Outcome {
  int exit_status = -1;
  std::string output;  // stdout and stderr
};

// Runs the program with `--check` on this settings file.
Outcome check(const std::string& file) {
  const std::string command =
      std::string("'") + SEAMPASS_BINARY + "' --config '" + file + "' --check 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) return {};
  Outcome outcome;
  for (int character = fgetc(pipe); character != EOF; character = fgetc(pipe))
    outcome.output.push_back(static_cast<char>(character));
  const int status = pclose(pipe);
  outcome.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return outcome;
}

// Expects that `--check` rejects a file with these `settings` and prints `reason` after its path.
void expect_rejected(const std::string& settings, const std::string& reason) {
  const std::string file =
      testing::TempDir() + "seampass-check-" + std::to_string(getpid()) + ".toml";
  std::ofstream(file) << settings;

  const Outcome outcome = check(file);

  EXPECT_EQ(outcome.exit_status, 2);
  EXPECT_EQ(outcome.output, "seampass: " + file + ": " + reason + "\n");
  unlink(file.c_str());
}

TEST(Formats, CheckOutputForAMissingFileIsUnchanged) {
  const Outcome outcome = check("/nonexistent.toml");
  EXPECT_EQ(outcome.exit_status, 2);
  EXPECT_EQ(outcome.output, "seampass: /nonexistent.toml: File could not be opened for reading\n");
}

TEST(Formats, CheckOutputForInvalidSettingsIsUnchanged) {
  expect_rejected("[self\n", R"(line 1: Error while parsing table header: expected ']', saw '\n')");
  expect_rejected("", "node: must be a non-empty string");
  expect_rejected("node = 3\n", "node: must be a non-empty string");
}

}  // namespace
}  // namespace seampass
