// Identifiers of tasks and of their attempts, as used in heartbeats, commands and task records, and
// conversions between them and the wire types. Plain values and pure functions.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

#include "wire/types.h"

namespace seampass::leader {

struct TaskId {
  std::string job;
  std::uint32_t task = 0;

  bool operator==(const TaskId&) const = default;
  bool operator<(const TaskId& other) const {
    return std::tie(job, task) < std::tie(other.job, other.task);
  }
};

// Identifies one attempt of a task. Attempts are numbered within their job and a number is never
// reused, so that no two starts of a task have the same id.
struct AttemptId {
  std::string job;
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;

  [[nodiscard]] TaskId task_id() const { return {job, task}; }
  bool operator==(const AttemptId&) const = default;
  bool operator<(const AttemptId& other) const {
    return std::tie(job, task, attempt) < std::tie(other.job, other.task, other.attempt);
  }
};

[[nodiscard]] inline AttemptId id_of(const wire::TaskStatus& status) {
  return {status.job, status.index, status.attempt};
}

[[nodiscard]] inline AttemptId id_of(const wire::Command& command) {
  return {command.job, command.index, command.attempt};
}

// Builds a command for an attempt. `termination_grace_s`, in seconds, applies to stop commands
// only.
[[nodiscard]] inline wire::Command command_for(wire::Verb verb, const AttemptId& id,
                                               double termination_grace_s = 0) {
  return {verb, id.job, id.task, id.attempt, termination_grace_s};
}

}  // namespace seampass::leader
