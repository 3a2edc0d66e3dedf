// What a durable record holds of the tasks in its range, and its form in the state service.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "leader/records/record_layout.h"
#include "sched/snapshot.h"
#include "wire/codec.h"

namespace seampass::leader {

// An attempt that is not known to be off its machine.
struct Assignment {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
};

struct TaskRecord {
  RecordId id;
  TaskRange range;
  std::uint64_t last_attempt = 0;  // of the job
  std::string team;
  sched::Resources request;     // of each task
  std::uint32_t job_tasks = 0;  // of the whole job
  std::vector<Assignment> assignments;
  std::vector<bool> finished;  // by task, from the first of the range
};

wire::Json encode(const TaskRecord& record);

// Throws wire::Malformed. `layout` tells the span of a chunk that does not say it itself, as those
// written by older versions.
TaskRecord decode_task_record(const RecordId& id, const wire::Json& value,
                              const RecordLayout& layout);

}  // namespace seampass::leader
