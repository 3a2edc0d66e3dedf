#include "leader/records/task_record.h"

#include <string_view>
#include <utility>

namespace seampass::leader {

using wire::Json;
using wire::Malformed;

namespace {

constexpr std::uint32_t kBitsPerHexDigit = 4;
constexpr unsigned kDecimalDigitCount = 10;
constexpr std::size_t kAssignmentFieldCount = 4;

// Encodes the bits as hexadecimal digits. Each digit holds four bits, the first of them as its
// least significant bit. Returns an empty string if no bit is set.
std::string hex_from(const std::vector<bool>& bits) {
  static constexpr std::string_view digits = "0123456789abcdef";
  std::string hex;
  bool any_set = false;
  for (std::size_t first = 0; first < bits.size(); first += kBitsPerHexDigit) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < kBitsPerHexDigit && first + bit < bits.size(); ++bit)
      if (bits[first + bit]) digit |= 1U << bit;
    any_set = any_set || digit != 0;
    hex.push_back(digits[digit]);
  }
  return any_set ? hex : std::string();
}

unsigned digit_from(char digit) {
  if (digit >= '0' && digit <= '9') return static_cast<unsigned>(digit - '0');
  if (digit >= 'a' && digit <= 'f') return static_cast<unsigned>(digit - 'a') + kDecimalDigitCount;
  throw Malformed("finished: not hexadecimal");
}

std::vector<bool> bits_from(const std::string& hex, std::size_t size) {
  std::vector<bool> bits(size, false);
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const unsigned digit = digit_from(hex[i]);
    for (std::size_t bit = 0; bit < kBitsPerHexDigit; ++bit) {
      if ((digit >> bit & 1U) == 0) continue;
      if (i * kBitsPerHexDigit + bit >= size) throw Malformed("finished: too long");
      bits[i * kBitsPerHexDigit + bit] = true;
    }
  }
  return bits;
}

std::uint32_t task_count(const Json& value, const char* name) {
  const std::uint64_t count = wire::count_field(value, name);
  if (count > wire::kMaxTasks) throw Malformed(std::string(name) + ": out of range");
  return static_cast<std::uint32_t>(count);
}

Assignment assignment_from(const Json& item, std::uint32_t job_tasks) {
  const bool well_formed = item.is_array() && item.size() == kAssignmentFieldCount &&
                           item[0].is_number_unsigned() && item[1].is_number_unsigned() &&
                           item[2].is_string() && item[3].is_number_unsigned();
  if (!well_formed || item[0].get<std::uint64_t>() >= job_tasks)
    throw Malformed("tasks: bad assignment");
  return {item[0].get<std::uint32_t>(), item[1].get<std::uint64_t>(), item[2].get<std::string>(),
          item[3].get<std::uint64_t>()};
}

std::vector<Assignment> assignments_from(const Json& value, std::uint32_t job_tasks) {
  const auto items = value.find("tasks");
  if (items == value.end() || !items->is_array()) throw Malformed("tasks: not a list");
  std::vector<Assignment> assignments;
  for (const Json& item : *items) assignments.push_back(assignment_from(item, job_tasks));
  return assignments;
}

TaskRange stored_range(const Json& value) {
  const std::uint32_t first = task_count(value, "first");
  return {first, first + task_count(value, "span")};
}

}  // namespace

Json encode(const TaskRecord& record) {
  Json tasks = Json::array();
  for (const Assignment& assignment : record.assignments)
    tasks.push_back(
        {assignment.task, assignment.attempt, assignment.machine, assignment.incarnation});
  // Versions that support only chunks ignore the field "span".
  Json value{{"attempt", record.last_attempt},
             {"tasks", std::move(tasks)},
             {"team", record.team},
             {"cpus", record.request.cpus},
             {"gpus", record.request.gpus},
             {"memory", record.request.memory_gb},
             {"of", record.job_tasks},
             {"first", record.range.first},
             {"span", record.range.size()}};
  std::string finished = hex_from(record.finished);
  if (!finished.empty()) value["finished"] = std::move(finished);
  return value;
}

TaskRecord decode_task_record(const RecordId& id, const Json& value, const RecordLayout& layout) {
  if (!value.is_object()) throw Malformed("not an object");
  TaskRecord record;
  record.id = id;
  record.last_attempt = wire::count_field(value, "attempt");
  record.team = wire::text_field(value, "team");
  record.request = {wire::amount_field(value, "cpus"), wire::amount_field(value, "gpus"),
                    wire::amount_field(value, "memory")};
  record.job_tasks = task_count(value, "of");
  // Versions that support only chunks write records without the field "span".
  record.range = value.contains("span") ? stored_range(value) : layout.range(id, record.job_tasks);
  if (record.range.end > record.job_tasks) throw Malformed("span: out of range");
  record.assignments = assignments_from(value, record.job_tasks);
  if (value.contains("finished"))
    record.finished = bits_from(wire::text_field(value, "finished"), record.range.size());
  else
    record.finished.assign(record.range.size(), false);
  return record;
}

}  // namespace seampass::leader
