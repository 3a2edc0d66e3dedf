// Restores a new leader's state from the task records: which attempts may be running, which tasks
// are finished, and which steps the former leader left unfinished.
//
// Recovery owns the records of one job at a time, until all records of that job are read.
// LeaderTerm calls it on the loop's thread, between the start and the end of a term, after
// JobWatcher has listed the open jobs. A failed request is retried. A record that can't be decoded
// is logged, and its job, if the job is still open, is marked as having an unreadable record.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "leader/attempts/attempt_lifecycle.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/dependency_tracker.h"
#include "leader/jobs/job_lifecycle.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/record_store.h"
#include "leader/records/task_record.h"
#include "leader/records/task_record_writer.h"
#include "leader/recovery/job_watcher.h"
#include "leader/recovery/prefix_listing.h"
#include "state/client.h"

namespace seampass::leader {

class Recovery {
 public:
  struct Parts {
    JobTable& jobs;
    RecordStore& records;
    const TaskRecordWriter& task_records;
    Fleet& fleet;
    AttemptTracker& attempt_tracker;
    AttemptLifecycle& attempt_lifecycle;
    JobLifecycle& job_lifecycle;
    DependencyTracker& dependencies;
    JobWatcher& watcher;
  };
  struct Hooks {
    // Reports that all records are read. The state of the term is then complete, and scheduling
    // passes may be requested.
    std::function<void()> on_records_read;
    std::function<void()> request_scheduling_pass;
  };

  Recovery(const LeaderContext& context, state::Client& state, const Parts& parts, Hooks hooks);

  void end_term();
  // Reads all task records, then completes what the former leader left unfinished, and starts the
  // watch for new jobs.
  void read_task_records() { listing_.start(); }

 private:
  void complete();
  void finish_interrupted_steps();
  void log_recovery() const;
  void collect_record(const state::Item& item);
  void apply_collected_records();
  JobRecord& add_ended_job(const std::string& id, const TaskRecord& record);
  // `covered`: for each task of the job, whether a newer record, which takes precedence, has been
  // applied.
  void apply_record(JobRecord& job, const TaskRecord& record, const std::vector<bool>& covered);

  LeaderContext context_;
  Parts parts_;
  Hooks hooks_;
  PrefixListing listing_;
  std::string collected_job_;
  std::vector<TaskRecord> collected_records_;
};

}  // namespace seampass::leader
