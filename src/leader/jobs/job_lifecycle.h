// A job's way through the leader: accepted, ready once all that it depends on is done, concluded
// when all of it is done or when it is cancelled, and erased when nothing of it is left.
//
// Owns no state beside the JobTable's records: it alone moves their Lifecycle on and answers those
// who wait for a job's end. Called on the loop's thread, between the term's start and its end. What
// ends a job can erase its record: callers find it again by name.
#pragma once

#include <functional>
#include <string>

#include "jobs/job_status_reader.h"
#include "leader/attempts/attempt_lifecycle.h"
#include "leader/jobs/dependency_tracker.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/cluster_version.h"
#include "leader/records/record_store.h"
#include "rpc/peer.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class JobLifecycle {
 public:
  struct Parts {
    JobTable& jobs;
    RecordStore& records;
    DependencyTracker& dependencies;
    AttemptLifecycle& attempts;
    jobs::JobStatusReader& status_reader;
    ClusterVersion& cluster;
  };
  struct Hooks {
    // The job may be scheduled from now on.
    std::function<void(const JobRecord& job)> record_arrival;
    std::function<void()> request_pass;
  };

  JobLifecycle(const LeaderContext& context, const Parts& parts, Hooks hooks);

  // Tells all who wait that this node can't say, and drops all jobs.
  void end_term();

  // Takes a job that is open in the store; does nothing if it is known here, or known to have
  // ended.
  void apply_open_record(const std::string& id, const wire::Json& record, state::Version version);
  // All that it depends on is done, this one last.
  void on_ready(const std::string& id, const std::string& last_dependency) const;
  // A job that it depends on is cancelled.
  void cancel_dependent(const std::string& id);
  // Its user wants it cancelled; it must be active.
  void cancel(JobRecord& job);
  void conclude_if_complete(JobRecord& job);
  // The final status in the store is this one, whoever wrote it.
  void on_ended(const std::string& id, wire::Stage stage);
  // Goes on with a job that is to end once nothing of it is at work: writes its final status, and
  // forgets it when that is durable and its records are gone.
  void erase_if_settled(const std::string& id);

  // What a user is told of the job.
  [[nodiscard]] rpc::JobReply status_of(const JobRecord& job) const;
  // A job that it depends on is cancelled, durably: so is this one for whoever asks, from then on.
  [[nodiscard]] bool upstream_cancelled(const JobRecord& job) const;

 private:
  void conclude(JobRecord& job);
  static void answer_waiters(JobRecord& job, const rpc::JobReply& answer);

  LeaderContext context_;
  Parts parts_;
  Hooks hooks_;
};

}  // namespace seampass::leader
