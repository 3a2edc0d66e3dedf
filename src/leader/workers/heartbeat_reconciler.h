// Brings what the leader knows of a machine and its attempts in line with the worker's report.
//
// Owns no state: what a report changes belongs to the Machine and to the attempts. Called on the
// loop's thread, between the term's start and its end.
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

// Whether the report is newer than the last one that was taken from this machine.
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
    std::function<void()> request_pass;
  };

  HeartbeatReconciler(const LeaderContext& context, const Parts& parts, Hooks hooks);

  // Ignores a report that is no newer than the last, or of a worker that has not seen this epoch.
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
