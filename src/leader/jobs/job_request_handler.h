// Answers polls and cancellations of jobs, from the leader's memory or from the state service.
//
// The class owns no state: the JobRecord stores the callbacks that wait for a cancellation. It is
// called on the event loop's thread at any time. An empty reply (rpc::Lookup::unavailable) means
// that this node can't answer; the client has to ask again.
#pragma once

#include <functional>
#include <string>

#include "jobs/job_status_reader.h"
#include "leader/jobs/dependency_tracker.h"
#include "leader/jobs/job_lifecycle.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/record_store.h"
#include "rpc/peer.h"

namespace seampass::leader {

enum class JobRequestKind { poll, cancellation };

// The kind of a request that has no record. (A request with a record submits a job.)
[[nodiscard]] inline JobRequestKind kind_of(const rpc::JobRequest& request) {
  return request.cancel ? JobRequestKind::cancellation : JobRequestKind::poll;
}

class JobRequestHandler {
 public:
  using Reply = std::function<void(const rpc::JobReply&)>;

  JobRequestHandler(const LeaderContext& context, const JobTable& jobs, const RecordStore& records,
                    const DependencyTracker& dependencies, jobs::JobStatusReader& status_reader,
                    JobLifecycle& lifecycle);

  // Calls `reply` once with the answer. A cancellation is answered once the job has ended, which
  // needs all its attempts to be proven absent. If that takes longer than a third of the heartbeat
  // interval, the reply is empty and the cancellation continues.
  void handle(const std::string& id, JobRequestKind kind, Reply reply);

 private:
  void answer_poll(const JobRecord& job, const Reply& reply) const;
  void cancel(JobRecord& job, Reply reply);
  // Answers from the state service, for a job that is not in the table or whose final stage is not
  // known here.
  void look_up(const std::string& id, JobRequestKind kind, Reply reply);
  // True if the status of every job upstream is known here, so that this job's status can be
  // answered from memory.
  [[nodiscard]] bool upstream_known(const std::string& id) const;

  LeaderContext context_;
  const JobTable& jobs_;
  const RecordStore& records_;
  const DependencyTracker& dependencies_;
  jobs::JobStatusReader& status_reader_;
  JobLifecycle& lifecycle_;
};

}  // namespace seampass::leader
