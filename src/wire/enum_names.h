// Maps the values of an enum to the names that represent them in JSON messages, and back. Each
// codec defines one constant table per enum.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "wire/json_fields.h"

namespace seampass::wire {

template <typename Enum, std::size_t Size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Size>;

// Returns the name of `value`. Returns an empty string if the table has no entry for it, which is
// the case for values that are never sent.
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view name_of(const EnumNames<Enum, Size>& names, Enum value) {
  for (const auto& [entry_value, name] : names)
    if (entry_value == value) return name;
  return "";
}

// Returns the value whose name is `name`. Throws Malformed with the member name `field` if the
// table has no such entry.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum value_of(const EnumNames<Enum, Size>& names, std::string_view name,
                            const char* field) {
  for (const auto& [value, entry_name] : names)
    if (entry_name == name) return value;
  throw Malformed(field, "unknown value");
}

// Reads the member `field` of `object`, a string that must be one of the names in the table. Throws
// Malformed otherwise.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum enum_field(const EnumNames<Enum, Size>& names, const Json& object,
                              const char* field) {
  return value_of(names, text_field(object, field), field);
}

}  // namespace seampass::wire
