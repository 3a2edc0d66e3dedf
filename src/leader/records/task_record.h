// TaskRecord is the content of a durable record, work/<job>/<record>: the state of the tasks in the
// record's range. Only this file encodes and decodes its stored form. Both layouts have the same
// fields; they differ in how the range of tasks is determined. These are pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "leader/records/record_layout.h"
#include "sched/sched.h"
#include "wire/codec.h"

namespace seampass::leader {

// An attempt that is not proven absent from its machine.
struct Assignment {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
};

struct TaskRecord {
  RecordId id;
  TaskRange range;
  std::uint64_t last_attempt = 0;  // the highest attempt number that the job has used
  std::string team;
  sched::Resources request;     // the resources of each task
  std::uint32_t job_tasks = 0;  // the number of tasks in the whole job
  std::vector<Assignment> assignments;
  std::vector<bool> finished;  // one entry per task of the range, in order
};

[[nodiscard]] wire::Json encode(const TaskRecord& record);

// Throws wire::Malformed if a field cannot be decoded. The error names the field but not the key,
// which the caller knows. `layout` provides the range of a record without the field `span`: older
// versions wrote chunks without it.
[[nodiscard]] TaskRecord decode_task_record(const RecordId& id, const wire::Json& value,
                                            const RecordLayout& layout);

}  // namespace seampass::leader
