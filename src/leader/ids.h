// Names of tasks and of their attempts, as they stand in reports, commands and records.
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

// Attempts of a job are numbered once, so that no two starts of a task share an id.
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

[[nodiscard]] inline AttemptId id_of(const wire::TaskStatus& report) {
  return {report.job, report.index, report.attempt};
}

[[nodiscard]] inline AttemptId id_of(const wire::Command& command) {
  return {command.job, command.index, command.attempt};
}

// The grace counts for a stop alone.
[[nodiscard]] inline wire::Command command_for(wire::Verb verb, const AttemptId& id,
                                               double termination_grace_s = 0) {
  return {verb, id.job, id.task, id.attempt, termination_grace_s};
}

}  // namespace seampass::leader
