// Reads and checks the operators' settings file (YAML).
#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <cmath>

#include "config/settings.h"

namespace seampass::config {
namespace {

constexpr double kMinHoldTimeoutS = 1;

// One `key: value` pair of the file. Its readers throw BadSettings, which names the file, the key
// and what is wrong with the value.
class Entry {
 public:
  Entry(const std::string& path, std::string key, const YAML::Node& value)
      : path_(path), key_(std::move(key)), value_(value) {}

  [[nodiscard]] double number(double minimum) const {
    double number = 0;
    try {
      number = value_.as<double>();
    } catch (const YAML::Exception&) {
      fail("must be a number");
    }
    if (!std::isfinite(number) || number < minimum) fail("out of range");
    return number;
  }

  [[nodiscard]] std::string machine_choice() const {
    std::string choice = value_.IsScalar() ? value_.as<std::string>() : "";
    if (choice != "scored" && choice != "first-fit") fail("must be scored or first-fit");
    return choice;
  }

  [[noreturn]] void fail(const char* fault) const {
    throw BadSettings(fmt::format("{}: {}: {}", path_, key_, fault));
  }

 private:
  const std::string& path_;
  std::string key_;
  YAML::Node value_;
};

YAML::Node parse(const std::string& path) {
  try {
    return YAML::LoadFile(path);
  } catch (const YAML::Exception& error) {
    throw BadSettings(path + ": " + error.what());
  }
}

}  // namespace

OperatorSettings load_operator(const std::string& path) {
  const YAML::Node root = parse(path);
  OperatorSettings settings;
  if (root.IsNull()) return settings;
  if (!root.IsMap()) throw BadSettings(path + ": must be a map of settings");
  for (const auto& pair : root) {
    const auto key = pair.first.as<std::string>();
    const Entry entry(path, key, pair.second);
    if (key == "hold_timeout_s") {
      settings.hold_timeout_s = entry.number(kMinHoldTimeoutS);
    } else if (key == "idle_return") {
      settings.idle_return = entry.number(0);
    } else if (key == "spare_share") {
      settings.headroom_share = entry.number(0);
    } else if (key == "machine_choice") {
      settings.machine_choice = entry.machine_choice();
    } else {
      entry.fail("unknown setting");
    }
  }
  return settings;
}

}  // namespace seampass::config
