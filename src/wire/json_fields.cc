#include "wire/json_fields.h"

#include <cmath>

namespace seampass::wire {
namespace {

constexpr int kMaxNestingDepth = 64;

// Checks the nesting depth before the text is parsed. The parser recurses once per level, so a 64
// KiB body of opening brackets would exhaust the stack.
bool nested_too_deeply(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (in_string) {
      if (character == '\\') ++i;
      if (character == '"') in_string = false;
    } else if (character == '"') {
      in_string = true;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxNestingDepth) return true;
    } else if (character == '}' || character == ']') {
      --depth;
    }
  }
  return false;
}

const Json& member(const Json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end()) throw Malformed(name, "missing");
  return *found;
}

}  // namespace

Json parse_object(std::string_view text) {
  if (nested_too_deeply(text)) throw Malformed("nested too deeply");
  Json object = Json::parse(text, nullptr, false);
  if (object.is_discarded()) throw Malformed("not JSON");
  if (!object.is_object()) throw Malformed("not an object");
  return object;
}

std::string text_field(const Json& object, const char* name) {
  const Json& value = member(object, name);
  if (!value.is_string()) throw Malformed(name, "not a string");
  return value.get<std::string>();
}

std::string short_text_field(const Json& object, const char* name) {
  std::string text = text_field(object, name);
  if (text.empty() || text.size() > kMaxShortText) throw Malformed(name, "bad length");
  return text;
}

std::uint64_t count_field(const Json& object, const char* name) {
  const Json& value = member(object, name);
  if (!value.is_number_unsigned()) throw Malformed(name, "not a count");
  return value.get<std::uint64_t>();
}

double amount_field(const Json& object, const char* name) {
  const Json& value = member(object, name);
  if (!value.is_number()) throw Malformed(name, "not a number");
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0 || amount > kMaxAmount)
    throw Malformed(name, "out of range");
  return amount;
}

bool flag_field(const Json& object, const char* name) {
  const Json& value = member(object, name);
  if (!value.is_boolean()) throw Malformed(name, "not true or false");
  return value.get<bool>();
}

const Json& list_field(const Json& object, const char* name) {
  const Json& value = member(object, name);
  if (!value.is_array()) throw Malformed(name, "not a list");
  return value;
}

bool missing_or_null(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null();
}

std::vector<std::string> text_list_field(const Json& object, const char* name) {
  std::vector<std::string> texts;
  for (const Json& item : list_field(object, name)) {
    if (!item.is_string()) throw Malformed(name, "not a string");
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

void require_object(const Json& item, const char* list_name) {
  if (!item.is_object()) throw Malformed(list_name, "not an object");
}

}  // namespace seampass::wire
