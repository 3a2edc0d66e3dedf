// One table of a TOML file, read field by field: every error names file, field and fault.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace seampass::config {

// Refers to a table of a parsed file, which must outlive it. Each reader of a field throws
// BadSettings if the field is absent or not what is asked for.
class TomlTable {
 public:
  // `prefix`: the names of the tables around this one, each followed by a dot.
  TomlTable(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  [[nodiscard]] bool has(const char* name) const { return table_.contains(name); }
  // Not empty.
  [[nodiscard]] std::string text(const char* name) const;
  [[nodiscard]] double number(const char* name, double least) const;
  [[nodiscard]] double positive(const char* name) const;
  // "ADDRESS:PORT".
  [[nodiscard]] std::string endpoint(const char* name) const;
  [[nodiscard]] TomlTable table(const char* name) const;
  // None if the field is absent.
  [[nodiscard]] std::vector<TomlTable> tables(const char* name) const;
  [[nodiscard]] std::vector<std::string> texts(const char* name) const;

  [[noreturn]] void fail(const char* name, const char* fault) const;

 private:
  const toml::table& table_;
  std::string file_;
  std::string prefix_;
};

}  // namespace seampass::config
