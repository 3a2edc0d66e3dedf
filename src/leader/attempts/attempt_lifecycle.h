// How attempts are stopped, how they end, and what follows for their jobs and machines.
//
// Owns no state: attempts belong to their JobRecord, and what they take up is charged by the
// AttemptTracker. Called on the loop's thread, between the term's start and its end. Releasing an
// attempt can end its job and erase it: whoever goes on after a release finds jobs by name.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "leader/attempts/attempt_tracker.h"
#include "leader/audit_log.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "leader/workers/command_dispatcher.h"
#include "wire/types.h"

namespace seampass::leader {

// Which of a job's attempts are told to stop.
enum class StopScope {
  not_stopping_yet,
  all,  // those that are being stopped as well, with this grace now
};

class AttemptLifecycle {
 public:
  // What the end of an attempt causes for its job.
  struct Hooks {
    std::function<void(const std::string& job)> erase_if_settled;
    std::function<void(JobRecord& job)> conclude_if_complete;
    std::function<void()> request_pass;
  };

  AttemptLifecycle(const LeaderContext& context, const JobTable& jobs, AttemptTracker& tracker,
                   TaskRecordWriter& task_records, Fleet& fleet, CommandDispatcher& commands,
                   Hooks hooks);

  // Marks the attempt as to be stopped, with time enough to save its progress; the worker is told
  // by CommandDispatcher::send_stops.
  void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why);
  // Stops attempts of the job, and tells the workers. Those that no worker was ever told of are
  // released at once.
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why,
                StopScope scope = StopScope::not_stopping_yet);
  // A gang's attempt is over for all its tasks once it is for one: stops the rest.
  void stop_incomplete_gang(JobRecord& job);

  // These attempts are proven to be off their machines, and ended without a result.
  void release_lost(const std::vector<TaskAttempt*>& lost, audit::AbsenceProof proof);
  // So are all attempts on this machine.
  void release_machine(Machine& machine, audit::AbsenceProof proof);
  // The worker reports that this attempt has ended.
  void on_task_exited(TaskAttempt& attempt, const wire::TaskStatus& report);

 private:
  void release(TaskAttempt& attempt);
  void on_task_done(TaskAttempt& attempt);
  void record_failure(JobRecord& job, Machine& machine);
  void delay_retry(JobRecord& job, Machine& machine, wire::ExitCause cause);

  LeaderContext context_;
  const JobTable& jobs_;
  AttemptTracker& tracker_;
  TaskRecordWriter& task_records_;
  Fleet& fleet_;
  CommandDispatcher& commands_;
  Hooks hooks_;
};

}  // namespace seampass::leader
