// Launches attempts of tasks.
//
// A launch first charges each attempt to its machine and writes it to a task record. The start is
// sent only once that record is durable, in the reply to a heartbeat of the machine's worker. The
// next leader therefore finds every attempt that may be running in the task records.
//
// The class owns no state. It is called on the event loop's thread, between the start and the end
// of a term.
#pragma once

#include <cstdint>
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

  // Begins the job's next attempt with these tasks. An array task or service task starts once its
  // own task record is durable; a gang starts only once the records of all these tasks are durable.
  void launch(JobRecord& job, const std::vector<PlacedTask>& tasks);

 private:
  // Returns the ids of the job's present attempts with this number.
  [[nodiscard]] std::vector<AttemptId> ids_of_attempt(const std::string& id,
                                                      std::uint64_t number) const;
  void on_assignment_durable(const std::string& id, const std::vector<AttemptId>& assigned);
  [[nodiscard]] bool may_start(const TaskAttempt& attempt) const;

  LeaderContext context_;
  const JobTable& jobs_;
  AttemptTracker& tracker_;
  TaskRecordWriter& task_records_;
  CommandDispatcher& commands_;
  AttemptLifecycle& attempts_;
};

}  // namespace seampass::leader
