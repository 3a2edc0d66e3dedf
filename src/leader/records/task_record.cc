#include "leader/records/task_record.h"

namespace seampass::leader {

using wire::Json;
using wire::Malformed;

namespace {

constexpr std::uint32_t kBitsPerDigit = 4;

// The bits as hexadecimal digits, the first bit lowest in its digit; empty if none is set.
std::string hex_from(const std::vector<bool>& bits) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string out;
  bool any = false;
  for (std::size_t first = 0; first < bits.size(); first += kBitsPerDigit) {
    unsigned digit = 0;
    for (std::size_t bit = 0; bit < kBitsPerDigit && first + bit < bits.size(); ++bit)
      if (bits[first + bit]) digit |= 1U << bit;
    any = any || digit != 0;
    out.push_back(digits[digit]);
  }
  return any ? out : std::string();
}

unsigned digit_from(char c) {
  if (c >= '0' && c <= '9') return static_cast<unsigned>(c - '0');
  if (c >= 'a' && c <= 'f') return static_cast<unsigned>(c - 'a') + 10;
  throw Malformed("finished: not hexadecimal");
}

std::vector<bool> bits_from(const std::string& hex, std::size_t size) {
  std::vector<bool> bits(size, false);
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const unsigned digit = digit_from(hex[i]);
    for (std::size_t bit = 0; bit < kBitsPerDigit; ++bit) {
      if ((digit >> bit & 1U) == 0) continue;
      if (i * kBitsPerDigit + bit >= size) throw Malformed("finished: too long");
      bits[i * kBitsPerDigit + bit] = true;
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
  const bool well_formed = item.is_array() && item.size() == 4 && item[0].is_number_unsigned() &&
                           item[1].is_number_unsigned() && item[2].is_string() &&
                           item[3].is_number_unsigned();
  if (!well_formed || item[0].get<std::uint64_t>() >= job_tasks)
    throw Malformed("tasks: bad assignment");
  return {item[0].get<std::uint32_t>(), item[1].get<std::uint64_t>(), item[2].get<std::string>(),
          item[3].get<std::uint64_t>()};
}

}  // namespace

Json encode(const TaskRecord& record) {
  Json tasks = Json::array();
  for (const Assignment& a : record.assignments)
    tasks.push_back({a.task, a.attempt, a.machine, a.incarnation});
  // "span" is not read by the versions that know chunks alone.
  Json value{{"attempt", record.last_attempt},
             {"tasks", std::move(tasks)},
             {"team", record.team},
             {"cpus", record.request.cpus},
             {"gpus", record.request.gpus},
             {"memory", record.request.memory_gb},
             {"of", record.job_tasks},
             {"first", record.range.first},
             {"span", record.range.end - record.range.first}};
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
  if (value.contains("span")) {
    record.range.first = task_count(value, "first");
    record.range.end = record.range.first + task_count(value, "span");
  } else {
    record.range = layout.range(id, record.job_tasks);
  }
  if (record.range.end > record.job_tasks) throw Malformed("span: out of range");
  const auto items = value.find("tasks");
  if (items == value.end() || !items->is_array()) throw Malformed("tasks: not a list");
  for (const Json& item : *items)
    record.assignments.push_back(assignment_from(item, record.job_tasks));
  const std::string finished =
      value.contains("finished") ? wire::text_field(value, "finished") : std::string();
  record.finished = bits_from(finished, record.range.end - record.range.first);
  return record;
}

}  // namespace seampass::leader
