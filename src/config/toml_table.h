// Reads one table of a TOML file field by field. Every error names the file, the field and what is
// wrong with it.
#pragma once

#include <string>
#include <vector>

#include "config/settings.h"
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace seampass::config {

// Refers to a table of a parsed TOML file; the parsed file must outlive this object. Each member
// function that reads a field throws BadSettings if the field is missing or not of the requested
// form.
class TomlTable {
 public:
  // `file`: the file's path. `prefix`: the names of the enclosing tables and of this table, each
  // followed by a dot; both are used in error messages.
  TomlTable(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  [[nodiscard]] bool has(const char* name) const { return table_.contains(name); }
  // A string that is not empty.
  [[nodiscard]] std::string text(const char* name) const;
  // A finite number that is at least `minimum`.
  [[nodiscard]] double number(const char* name, double minimum) const;
  // A finite number greater than 0.
  [[nodiscard]] double positive(const char* name) const;
  // A string of the form "ADDRESS:PORT".
  [[nodiscard]] std::string endpoint(const char* name) const;
  [[nodiscard]] TomlTable table(const char* name) const;
  // A list of tables; empty if the field is missing.
  [[nodiscard]] std::vector<TomlTable> tables(const char* name) const;
  [[nodiscard]] std::vector<std::string> texts(const char* name) const;

  // Throws BadSettings: the field `name` is invalid because of `fault`.
  [[noreturn]] void fail(const char* name, const char* fault) const;

 private:
  const toml::table& table_;
  std::string file_;
  std::string prefix_;
};

}  // namespace seampass::config
