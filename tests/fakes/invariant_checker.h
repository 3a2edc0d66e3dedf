// The invariants that must hold in every simulated deployment, whichever faults a test injects.
//
// Fake workers report each start and stop of a task, and simulated users report each answer they
// receive. The checker uses only these events and never the service's own state, so a fault in the
// service cannot hide a violation.
#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "net/runtime.h"
#include "wire/types.h"

namespace seampass::fakes {

using net::Ms;

struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

struct MachineSpec {
  std::string type;
  std::string zone;
  bool spot = false;
};

// What users requested for a job, which answers they received, and how its tasks behave.
struct JobHistory {
  wire::Job spec;
  bool accepted = false;
  bool fails_everywhere = false;  // the job's tasks exit with an error on every machine
  bool cancel_requested = false;
  bool cancelled = false;  // a user received the answer that the job is cancelled
  Ms cancelled_at = 0;     // when the user received that answer
};

// One checker is shared by all workers and users of a simulated deployment. A violation is a line
// that begins with the name of the violated invariant. Tests expect an empty list when they end.
// Times are in simulated milliseconds.
class InvariantChecker {
 public:
  // Maximum time that tasks of a job may run after a user received the answer that it is cancelled.
  Ms cancel_ms = 0;
  std::map<std::string, double> gpus_max;  // GPU quota by team
  std::map<std::string, MachineSpec> machines;
  std::map<std::string, JobHistory> jobs;

  std::map<TaskKey, std::string> running_on;  // the machine that currently runs each task
  std::map<TaskKey, int> starts;              // how many times each task was started
  std::set<TaskKey> finished;
  std::size_t longest_reply = 0;  // bytes of the longest reply to a heartbeat
  std::vector<std::string> violations;

  void task_started(const TaskKey& task, const std::string& machine, Ms now);
  void task_stopped(const TaskKey& task, const std::string& machine, Ms now);
  // Reports tasks of cancelled jobs that still run after `cancel_ms`. The simulation calls it at
  // regular intervals, because a task that neither starts nor stops causes no other event.
  void check_deadlines(Ms now);
  // Checks an answer that a user received about a job. `stage` is empty if the answer contains
  // none.
  void job_answered(const std::string& id, int status, const std::string& stage, Ms now = 0);
  // When the job was cancelled, either itself or through a job that it depends on. The earliest
  // such time counts. Empty if none of them is cancelled.
  [[nodiscard]] std::optional<Ms> cancelled_since(const std::string& id) const;

 private:
  // The job and all jobs that it depends on, directly or indirectly.
  [[nodiscard]] std::vector<const JobHistory*> with_dependencies(const std::string& id) const;
  [[nodiscard]] bool cancel_requested(const std::string& id) const;
  void check_dependencies(const std::string& id);
  void check_placement(const TaskKey& task, const std::string& machine);
  void check_quota(const std::string& team);
  void check_cancelled(const TaskKey& task, Ms now);

  // The final stage that users received in an answer, by job.
  std::map<std::string, std::string> final_stages_;
};

}  // namespace seampass::fakes
