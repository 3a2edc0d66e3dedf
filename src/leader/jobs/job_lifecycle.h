// Takes each job through its lifecycle in the leader. A job is accepted; it becomes ready once all
// its dependencies are done; it is concluded once all its tasks are done or it is cancelled; and it
// is erased once none of its attempts and task records is left.
//
// The class owns no state: the JobTable owns the JobRecords. After recovery, only this class
// advances their Lifecycle and answers the waiters in a JobRecord with the job's final status. It
// is called on the event loop's thread, between the start and the end of a term. A call that ends a
// job can erase its JobRecord, so a caller must find the job again by its id afterwards.
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
    // The job is ready: its tasks may be scheduled from now on.
    std::function<void(const JobRecord& job)> record_arrival;
    std::function<void()> request_scheduling_pass;
  };

  JobLifecycle(const LeaderContext& context, const Parts& parts, Hooks hooks);

  // Answers all waiters that the job's status is unavailable on this node, and drops all jobs.
  void end_term();

  // Adds a job that is open in the state service. Has no effect if the job is in the table, or if
  // its final status is known to be written.
  void apply_open_record(const std::string& id, const wire::Json& record, state::Version version);
  // All dependencies of the job are done; `last_dependency` is the one that was done last.
  void on_ready(const std::string& id, const std::string& last_dependency) const;
  // Cancels a job because a job that it depends on is cancelled.
  void cancel_dependent(const std::string& id);
  // Cancels a job at its user's request. The job must be active.
  void cancel(JobRecord& job);
  // Starts to write the final status of a job whose tasks are all done. Has no effect if a final
  // status is being written already, or is durable.
  void conclude_if_complete(JobRecord& job);
  // Records that the state service holds `stage` as the job's final status, no matter which node
  // wrote it. Then answers the waiting clients, stops the job's attempts and updates its
  // dependents.
  void on_final_status_durable(const std::string& id, wire::Stage stage);
  // Continues to end a job that has no attempts left. Writes the final status of a job that is
  // stopping. Erases a job whose final status is durable, once its task records are deleted.
  void erase_if_settled(const std::string& id);

  // The status of the job as a client sees it.
  [[nodiscard]] rpc::JobReply status_of(const JobRecord& job) const;
  // True if a direct or indirect dependency of the job is cancelled and that is durable. From then
  // on, clients see this job as cancelled too.
  [[nodiscard]] bool upstream_cancelled(const JobRecord& job) const;

 private:
  void conclude(JobRecord& job);
  static void answer_waiters(JobRecord& job, const rpc::JobReply& answer);

  LeaderContext context_;
  Parts parts_;
  Hooks hooks_;
};

}  // namespace seampass::leader
