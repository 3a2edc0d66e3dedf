// TaskActions is the interface through which the SchedulingLoop acts on attempts. The class that
// owns the attempts, their records and the commands to workers implements it. All calls come from
// the leader's event loop, and only between start_term() and end_term() of the SchedulingLoop.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "leader/audit_log.h"

namespace seampass::leader {

struct JobRecord;
struct Machine;
struct TaskAttempt;

// A task and the machine on which the scheduling pass has placed it.
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

  // Returns the attempt of this task that is not yet proven absent (docs/safety.md, "When an
  // attempt is proven absent"); null if there is none.
  [[nodiscard]] virtual TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) = 0;
  // Marks the attempt to be stopped, with enough grace time to save its progress. The worker
  // receives the stop only through send_stops(), which sends the stops of many attempts together.
  virtual void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason reason) = 0;
  virtual void send_stops(const std::vector<TaskAttempt*>& attempts) = 0;
  // Stops all attempts of the job that are not being stopped yet, and sends the stops to the
  // workers.
  virtual void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason reason) = 0;
  // Releases all attempts on this machine. `proof` names the proof that all of them are absent from
  // it.
  virtual void release_machine(Machine& machine, audit::AbsenceProof proof) = 0;
  // Starts the job's next attempt. The tasks are charged to their machines and written to a record
  // immediately; the workers receive the starts once the record is durable.
  virtual void launch(JobRecord& job, const std::vector<PlacedTask>& tasks) = 0;
};

}  // namespace seampass::leader
