#include "config/toml_table.h"

#include <cmath>

namespace seampass::config {
namespace {

constexpr int kMaxPort = 65535;
constexpr std::size_t kMaxPortDigits = 5;
constexpr int kDecimalBase = 10;
// The value of a port that contains a character other than a digit. It is larger than kMaxPort, so
// that the port is rejected.
constexpr int kInvalidPort = 1 << 20;

}  // namespace

std::string TomlTable::text(const char* name) const {
  const auto value = table_[name].value<std::string>();
  if (!value || value->empty()) fail(name, "must be a non-empty string");
  return *value;
}

double TomlTable::number(const char* name, double minimum) const {
  const auto value = table_[name].value<double>();
  if (!value || !std::isfinite(*value) || *value < minimum) fail(name, "must be a number in range");
  return *value;
}

double TomlTable::positive(const char* name) const {
  const double value = number(name, 0);
  if (value <= 0) fail(name, "must be above 0");
  return value;
}

std::string TomlTable::endpoint(const char* name) const {
  std::string value = text(name);
  const auto colon = value.rfind(':');
  int port = 0;
  if (colon != std::string::npos && value.size() - colon <= kMaxPortDigits + 1)
    for (std::size_t i = colon + 1; i < value.size(); ++i)
      port = (value[i] < '0' || value[i] > '9') ? kInvalidPort
                                                : port * kDecimalBase + (value[i] - '0');
  if (port < 1 || port > kMaxPort) fail(name, "must be ADDRESS:PORT");
  return value;
}

TomlTable TomlTable::table(const char* name) const {
  const auto* table = table_[name].as_table();
  if (!table) fail(name, "must be a table");
  return {*table, file_, prefix_ + name + "."};
}

std::vector<TomlTable> TomlTable::tables(const char* name) const {
  std::vector<TomlTable> tables;
  if (!table_.contains(name)) return tables;
  const auto* array = table_[name].as_array();
  if (!array) fail(name, "must be a list of tables");
  for (const auto& item : *array) {
    const auto* table = item.as_table();
    if (!table) fail(name, "must be a list of tables");
    tables.emplace_back(*table, file_, prefix_ + name + ".");
  }
  return tables;
}

std::vector<std::string> TomlTable::texts(const char* name) const {
  std::vector<std::string> texts;
  const auto* array = table_[name].as_array();
  if (!array) fail(name, "must be a list of strings");
  for (const auto& item : *array) {
    const auto value = item.value<std::string>();
    if (!value) fail(name, "must be a list of strings");
    texts.push_back(*value);
  }
  return texts;
}

void TomlTable::fail(const char* name, const char* fault) const {
  throw BadSettings(file_ + ": " + prefix_ + name + ": " + fault);
}

}  // namespace seampass::config
