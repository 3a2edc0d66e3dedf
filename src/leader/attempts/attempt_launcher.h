// How attempts begin: charged to their machines and recorded first, started once the record is
// durable, so that no leader to come can miss one that may run.
//
// Owns no state. Called on the loop's thread, between the term's start and its end.
#pragma once

#include <string>
#include <vector>

#include "leader/attempts/attempt_lifecycle.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "leader/scheduling/task_actions.h"
#include "leader/workers/command_dispatcher.h"

namespace seampass::leader {

class AttemptLauncher {
 public:
  AttemptLauncher(const LeaderContext& context, const JobTable& jobs, AttemptTracker& tracker,
                  TaskRecordWriter& task_records, CommandDispatcher& commands,
                  AttemptLifecycle& attempts);

  // Begins the job's next attempt, with these tasks of it. A gang starts only once all of them are
  // recorded.
  void launch(JobRecord& job, const std::vector<PlacedTask>& tasks);

 private:
  void on_assignment_durable(const std::string& id, const std::vector<AttemptId>& assigned);
  [[nodiscard]] bool may_start(const TaskAttempt& attempt) const;
  static void append_start(const Machine& machine, const AttemptId& id,
                           std::vector<wire::Command>& commands);

  LeaderContext context_;
  const JobTable& jobs_;
  AttemptTracker& tracker_;
  TaskRecordWriter& task_records_;
  CommandDispatcher& commands_;
  AttemptLifecycle& attempts_;
};

}  // namespace seampass::leader
