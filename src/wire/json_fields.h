// Reading of JSON objects member by member, with checks. No I/O. Whatever is malformed is refused
// with a reason of one line, which is also what a user is answered with.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace seampass::wire {

using Json = nlohmann::json;

// A message or record that has not the expected form.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  // The member that is wrong, and in which way.
  Malformed(const char* field, const char* reason)
      : std::runtime_error(std::string(field) + ": " + reason) {}
};

// Bounds of names and other short texts, in bytes; for lists see the codec that reads them.
inline constexpr std::size_t kMaxShortText = 200;
// No amount (cores, GB, seconds, prices) that is meant is larger.
inline constexpr double kMaxAmount = 1e9;

// Parses text that must be one JSON object, and nested at most 64 deep. Throws Malformed.
[[nodiscard]] Json parse_object(std::string_view text);

// Each of these reads the member `name`, and throws Malformed, naming it, if it is missing or of
// another kind.
[[nodiscard]] std::string text_field(const Json& object, const char* name);
// Not empty, and at most kMaxShortText long.
[[nodiscard]] std::string short_text_field(const Json& object, const char* name);
// A whole number from 0 on.
[[nodiscard]] std::uint64_t count_field(const Json& object, const char* name);
// From 0 to kMaxAmount.
[[nodiscard]] double amount_field(const Json& object, const char* name);
[[nodiscard]] bool flag_field(const Json& object, const char* name);
// The list is part of `object`.
[[nodiscard]] const Json& list_field(const Json& object, const char* name);

// Whether the member is missing or null: for optional members, both say the same.
[[nodiscard]] bool absent(const Json& object, const char* name);

// An optional member, read by one of the functions above if it is there.
template <typename Value>
[[nodiscard]] std::optional<Value> optional_field(const Json& object, const char* name,
                                                  Value (*read)(const Json&, const char*)) {
  if (absent(object, name)) return std::nullopt;
  return read(object, name);
}

// A list of texts, of any length.
[[nodiscard]] std::vector<std::string> text_list_field(const Json& object, const char* name);
// Throws Malformed, naming the list, if an item of it is not an object.
void require_object(const Json& item, const char* list_name);

}  // namespace seampass::wire
