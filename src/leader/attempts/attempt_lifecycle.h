// Stops attempts, handles their exits, and updates their jobs and machines accordingly.
//
// The class owns no state: attempts belong to their JobRecord, and the AttemptTracker accounts for
// the resources that they use. It is called on the event loop's thread, between the start and the
// end of a term. Releasing an attempt can end its job and erase the JobRecord, so a caller must
// find the job again by its id after a release.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "leader/attempts/attempt_tracker.h"
#include "leader/audit_log.h"
#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "leader/workers/command_dispatcher.h"
#include "wire/types.h"

namespace seampass::leader {

// Selects which of a job's attempts receive a stop command.
enum class StopScope {
  not_stopping_yet,
  all,  // also attempts that are stopping already; the new grace period replaces theirs
};

class AttemptLifecycle {
 public:
  // Calls into the other parts of the leader after an attempt has ended.
  struct Hooks {
    std::function<void(const std::string& job)> erase_if_settled;
    std::function<void(JobRecord& job)> conclude_if_complete;
    std::function<void()> request_scheduling_pass;
  };

  AttemptLifecycle(const LeaderContext& context, const JobTable& jobs, AttemptTracker& tracker,
                   TaskRecordWriter& task_records, Fleet& fleet, CommandDispatcher& commands,
                   Hooks hooks);

  // Marks the attempt as to be stopped, with a grace period that is long enough to save its
  // progress. CommandDispatcher::send_stops sends the stop command to the worker.
  void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason reason);
  // Stops the job's attempts and sends the stop commands to the workers. Attempts whose start was
  // never sent are revoked.
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason reason,
                StopScope scope = StopScope::not_stopping_yet);
  // Stops the remaining attempts of a gang. The caller has released one of the gang's attempts, and
  // a gang can't continue without all of its tasks.
  void stop_incomplete_gang(JobRecord& job);

  // Releases attempts that are proven absent from their machines and ended without a result.
  void release_lost(const std::vector<TaskAttempt*>& lost, audit::AbsenceProof proof);
  // Releases all attempts on this machine, which are proven absent and ended without a result.
  void release_machine(Machine& machine, audit::AbsenceProof proof);
  // Handles a worker's report that this attempt has exited.
  void on_task_exited(TaskAttempt& attempt, const wire::TaskStatus& status);

 private:
  void release(TaskAttempt& attempt);
  // Writes the task records without these attempts, whose start was never sent. The attempts are
  // released once the records are durable.
  void revoke(JobRecord& job, const std::vector<AttemptId>& unsent);
  void on_revocation_durable(const std::string& job, const std::vector<AttemptId>& revoked);
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
