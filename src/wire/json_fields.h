// Reads and validates the members of JSON objects. Pure functions without I/O, called by the codecs
// of this folder and by other code that decodes JSON. On invalid input they throw Malformed with a
// one-line reason, which the user API also returns to the user as the error text.
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

// Thrown when a message or stored record does not have the expected form.
class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
  // `field`: the invalid member. `reason`: what is wrong with it.
  Malformed(const char* field, const char* reason)
      : std::runtime_error(std::string(field) + ": " + reason) {}
};

// Maximum length of names and other short strings, in bytes. The codec that reads a list sets the
// maximum length of that list.
inline constexpr std::size_t kMaxShortText = 200;
// Maximum of every amount (cores, GB, seconds, prices). It is larger than any realistic amount, so
// that a larger one can be rejected as an error.
inline constexpr double kMaxAmount = 1e9;

// Parses text that must be a single JSON object with at most 64 levels of nesting. Throws Malformed
// otherwise.
[[nodiscard]] Json parse_object(std::string_view text);

// Each of the following functions reads the member `name` of `object`. It throws Malformed, which
// names the member, if the member is missing, has another JSON type or violates the rule stated at
// the function.
[[nodiscard]] std::string text_field(const Json& object, const char* name);
// A string that is not empty and at most kMaxShortText bytes long.
[[nodiscard]] std::string short_text_field(const Json& object, const char* name);
// A non-negative integer.
[[nodiscard]] std::uint64_t count_field(const Json& object, const char* name);
// A finite number from 0 to kMaxAmount.
[[nodiscard]] double amount_field(const Json& object, const char* name);
[[nodiscard]] bool flag_field(const Json& object, const char* name);
// Returns a reference to the list within `object`, valid as long as `object`.
[[nodiscard]] const Json& list_field(const Json& object, const char* name);

// Whether the member is missing or null. Both mean that an optional member is not set.
[[nodiscard]] bool missing_or_null(const Json& object, const char* name);

// Reads an optional member with `read`, one of the functions above. Returns nullopt if the member
// is missing or null.
template <typename Value>
[[nodiscard]] std::optional<Value> optional_field(const Json& object, const char* name,
                                                  Value (*read)(const Json&, const char*)) {
  if (missing_or_null(object, name)) return std::nullopt;
  return read(object, name);
}

// A list of strings; neither its length nor that of the strings is limited.
[[nodiscard]] std::vector<std::string> text_list_field(const Json& object, const char* name);
// Throws Malformed, which names the list, if `item` (an element of that list) is not an object.
void require_object(const Json& item, const char* list_name);

}  // namespace seampass::wire
