#include "leader/records/keys.h"

#include <charconv>
#include <system_error>

namespace seampass::leader {

namespace {

constexpr char kSegmentMark = 's';
constexpr char kSeparator = '/';

// Returns the key without the prefix, or none if the key does not begin with the prefix.
std::optional<std::string_view> without_prefix(std::string_view key, std::string_view prefix) {
  if (!key.starts_with(prefix)) return std::nullopt;
  key.remove_prefix(prefix.size());
  return key;
}

}  // namespace

std::string open_key(const std::string& job) { return kOpenPrefix + job; }
std::string final_status_key(const std::string& job) { return kFinalStatusPrefix + job; }
std::string work_key(const std::string& job, const RecordId& id) {
  return kWorkPrefix + job + kSeparator + record_name(id);
}

std::optional<std::string> job_from_open_key(std::string_view key) {
  const auto job = without_prefix(key, kOpenPrefix);
  if (!job) return std::nullopt;
  return std::string(*job);
}

std::optional<WorkKey> parse_work_key(std::string_view key) {
  const auto rest = without_prefix(key, kWorkPrefix);
  if (!rest) return std::nullopt;
  const auto separator = rest->find(kSeparator);
  if (separator == std::string_view::npos) return std::nullopt;
  return WorkKey{std::string(rest->substr(0, separator)),
                 record_id_from(rest->substr(separator + 1))};
}

std::string record_name(const RecordId& id) {
  const std::string number = std::to_string(id.index);
  return id.layout == Layout::chunks ? number : kSegmentMark + number;
}

std::optional<RecordId> record_id_from(std::string_view name) {
  RecordId id;
  if (name.starts_with(kSegmentMark)) {
    id.layout = Layout::segments;
    name.remove_prefix(1);
  }
  const char* end = name.data() + name.size();
  const auto [parsed, error] = std::from_chars(name.data(), end, id.index);
  if (error != std::errc() || parsed != end) return std::nullopt;
  return id;
}

}  // namespace seampass::leader
