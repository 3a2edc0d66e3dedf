// Updates the leader's state of a machine and its attempts from the worker's report.
//
// A report (wire::Heartbeat) arrives as a heartbeat or in the reply to a command. The class owns no
// state: it changes the Machine and the attempts. It is called on the event loop's thread, between
// the start and the end of a term.
#pragma once

#include <functional>
#include <vector>

#include "leader/attempts/absence_verifier.h"
#include "leader/attempts/attempt_lifecycle.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "wire/types.h"

namespace seampass::leader {

// True if the report is newer than the last one that was applied to this machine: its incarnation
// is higher, or the incarnation is the same and its sequence is higher.
[[nodiscard]] bool is_newer(const wire::Heartbeat& report, const Machine& machine);

class HeartbeatReconciler {
 public:
  struct Parts {
    const JobTable& jobs;
    Fleet& fleet;
    AttemptTracker& tracker;
    TaskRecordWriter& task_records;
    AttemptLifecycle& attempts;
    AbsenceVerifier& absence;
  };
  struct Hooks {
    std::function<void(JobRecord& job)> conclude_if_complete;
    std::function<void()> request_scheduling_pass;
  };

  HeartbeatReconciler(const LeaderContext& context, const Parts& parts, Hooks hooks);

  // Applies a report. Ignores a report that is not newer than the last one applied, and one from a
  // worker that has not seen this leader's epoch.
  void reconcile(Machine& machine, const wire::Heartbeat& report, ReportSource source);

 private:
  void update_machine(Machine& machine, const wire::Heartbeat& report) const;
  TaskAttempt* adopt(Machine& machine, const AttemptId& id);
  void apply_exits(Machine& machine, const std::vector<const wire::TaskStatus*>& exited);

  LeaderContext context_;
  Parts parts_;
  Hooks hooks_;
};

}  // namespace seampass::leader
