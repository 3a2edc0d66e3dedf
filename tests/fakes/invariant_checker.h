// What must hold in every simulated deployment, whatever fails: checked at each event that a worker
// or a user sees, independently of what the service says of itself.
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

// What users asked for a job and were answered, and how it is to behave.
struct JobHistory {
  wire::Job spec;
  bool accepted = false;
  bool fails_everywhere = false;  // its tasks exit with an error on each machine
  bool cancel_requested = false;
  bool cancelled = false;  // the user was told so
  Ms cancelled_at = 0;
};

// Shared by all workers of a deployment and its user. A violation is a line that begins with the
// name of the invariant; tests end with the list being empty.
class InvariantChecker {
 public:
  Ms cancel_ms = 0;                        // by then no task of a cancelled job runs
  std::map<std::string, double> gpus_max;  // of teams
  std::map<std::string, MachineSpec> machines;
  std::map<std::string, JobHistory> jobs;

  std::map<TaskKey, std::string> running_on;  // the machine that runs the task now
  std::map<TaskKey, int> starts;
  std::set<TaskKey> finished;
  std::vector<std::string> violations;

  void task_started(const TaskKey& task, const std::string& machine, Ms now);
  void task_stopped(const TaskKey& task, const std::string& machine, Ms now);
  // Every now and then: also of tasks that neither start nor stop.
  void check_deadlines(Ms now);
  // What a user was answered about a job; `stage` is empty if the answer says none.
  void job_answered(const std::string& id, int status, const std::string& stage, Ms now = 0);
  // Since when the job is cancelled, itself or by one that it depends on.
  [[nodiscard]] std::optional<Ms> cancelled_since(const std::string& id) const;

 private:
  // The job, and those that it depends on, directly or through others.
  [[nodiscard]] std::vector<const JobHistory*> with_upstream(const std::string& id) const;
  [[nodiscard]] bool cancel_requested(const std::string& id) const;
  void check_dependencies(const std::string& id);
  void check_place(const TaskKey& task, const std::string& machine);
  void check_quota(const std::string& team);
  void check_cancelled(const TaskKey& task, Ms now);

  std::map<std::string, std::string> final_stages_;  // as answered, by job
};

}  // namespace seampass::fakes
