// Which reports of workers count, and what each is answered.
//
// An answer with this leader's epoch renews the worker's lease, so that every report that gets one
// counts as a sign of life. Owns no state: the last report is noted at the Machine. Called on the
// loop's thread at any time, whether a term is on or not.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "jobs/job_status_reader.h"
#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "leader/workers/heartbeat_reconciler.h"
#include "wire/types.h"

namespace seampass::leader {

// The status and body of an HTTP answer. 503: this node does not answer the report.
struct HeartbeatReply {
  int status = 503;
  std::string body;
};

class HeartbeatHandler {
 public:
  HeartbeatHandler(const LeaderContext& context, const JobTable& jobs, Fleet& fleet,
                   const TaskRecordWriter& task_records, jobs::JobStatusReader& status_reader,
                   HeartbeatReconciler& reconciler);

  [[nodiscard]] HeartbeatReply handle(const wire::Heartbeat& report);

 private:
  [[nodiscard]] HeartbeatReply answer_unconfirmed(Machine& machine,
                                                  const wire::Heartbeat& report) const;
  [[nodiscard]] bool may_forget(const Machine& machine, const wire::TaskStatus& task) const;
  [[nodiscard]] std::vector<wire::Command> commands_for(Machine& machine,
                                                        const wire::Heartbeat& report) const;
  [[nodiscard]] wire::Command stop_command(const TaskAttempt& attempt, net::Ms now) const;
  void append_starts(Machine& machine, const std::set<TaskId>& reported,
                     std::vector<wire::Command>& commands) const;

  LeaderContext context_;
  const JobTable& jobs_;
  Fleet& fleet_;
  const TaskRecordWriter& task_records_;
  jobs::JobStatusReader& status_reader_;
  HeartbeatReconciler& reconciler_;
};

}  // namespace seampass::leader
