// A new leader's reading of the records of tasks: which attempts may be at work, what is finished,
// and what the former leader left half done.
//
// Owns the records of one job at a time, until all of them are read. Called on the loop's thread,
// between the term's start and its end; open jobs are listed before (JobWatcher).
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
    AttemptTracker& tracker;
    AttemptLifecycle& attempts;
    JobLifecycle& lifecycle;
    DependencyTracker& dependencies;
    JobWatcher& watcher;
  };
  struct Hooks {
    // All records are read: the term's state is complete, and passes may be asked for.
    std::function<void()> records_read;
    std::function<void()> request_pass;
  };

  Recovery(const LeaderContext& context, state::Client& state, const Parts& parts, Hooks hooks);

  void end_term();
  // Reads the records of tasks, then settles what was left half done, and has new jobs watched.
  void read_task_records() { listing_.start(); }

 private:
  void complete();
  void settle_unfinished();
  void log_outcome() const;
  void collect_record(const state::Item& item);
  void apply_collected_records();
  JobRecord& add_ended_job(const std::string& id, const TaskRecord& record);
  // `covered`: by task, whether a newer record says what became of it.
  void apply_record(JobRecord& job, const TaskRecord& record, const std::vector<bool>& covered);

  LeaderContext context_;
  Parts parts_;
  Hooks hooks_;
  PrefixListing listing_;
  std::string collected_job_;
  std::vector<TaskRecord> collected_;
};

}  // namespace seampass::leader
