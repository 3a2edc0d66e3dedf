// The wire's words for the values of an enum: a constant table, looked up both ways.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "wire/json_fields.h"

namespace seampass::wire {

template <typename Enum, std::size_t Size>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Size>;

// Empty for a value that is never sent, and so has no name.
template <typename Enum, std::size_t Size>
[[nodiscard]] constexpr std::string_view name_of(const EnumNames<Enum, Size>& names, Enum value) {
  for (const auto& [known, name] : names)
    if (known == value) return name;
  return "";
}

// Throws Malformed, which names `field`, if `name` is in no entry of the table.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum value_of(const EnumNames<Enum, Size>& names, std::string_view name,
                            const char* field) {
  for (const auto& [value, known] : names)
    if (known == name) return value;
  throw Malformed(field, "unknown value");
}

// The member `field` of `object`, which has to be one of the names.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum enum_field(const EnumNames<Enum, Size>& names, const Json& object,
                              const char* field) {
  return value_of(names, text_field(object, field), field);
}

}  // namespace seampass::wire
