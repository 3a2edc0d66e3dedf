// What scheduling causes: the few calls by which the SchedulingLoop acts on attempts. Whoever owns
// the attempts, their records and the commands to workers implements it; called on the loop's
// thread, only between start_term() and end_term() of the SchedulingLoop.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "leader/audit_log.h"

namespace seampass::leader {

struct JobRecord;
struct Machine;
struct TaskAttempt;

// A task and the machine that a pass has chosen for it.
struct PlacedTask {
  std::uint32_t task = 0;
  Machine* machine = nullptr;
};

class TaskActions {
 public:
  TaskActions() = default;
  TaskActions(const TaskActions&) = delete;
  TaskActions& operator=(const TaskActions&) = delete;
  virtual ~TaskActions() = default;

  // The attempt of this task that is not known to be off its machine; null if there is none.
  [[nodiscard]] virtual TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) = 0;
  // Marks the attempt as to be stopped, with time enough to save its progress. The worker is told
  // by send_stops(), for many attempts at once.
  virtual void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why) = 0;
  virtual void send_stops(const std::vector<TaskAttempt*>& attempts) = 0;
  // Stops all attempts of the job that are not being stopped yet, and tells the workers.
  virtual void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why) = 0;
  // All attempts on this machine are proven to be off it.
  virtual void release_machine(Machine& machine, audit::AbsenceProof proof) = 0;
  // Begins the job's next attempt: the tasks are charged to their machines and recorded at once,
  // and started when the record is durable.
  virtual void launch(JobRecord& job, const std::vector<PlacedTask>& tasks) = 0;
};

}  // namespace seampass::leader
