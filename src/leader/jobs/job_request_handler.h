// Answers to polls and cancellations of jobs, as far as this leader can tell.
//
// Owns no state: who waits for a cancellation waits at the JobRecord. Called on the loop's thread
// at any time; an empty reply (rpc::Lookup::unavailable) says that this node can't tell.
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

// Of a request without a record; one with a record asks for an acceptance.
[[nodiscard]] inline JobRequestKind kind_of(const rpc::JobRequest& request) {
  return request.cancel ? JobRequestKind::cancellation : JobRequestKind::poll;
}

class JobRequestHandler {
 public:
  using Reply = std::function<void(const rpc::JobReply&)>;

  JobRequestHandler(const LeaderContext& context, const JobTable& jobs, const RecordStore& records,
                    const DependencyTracker& dependencies, jobs::JobStatusReader& status_reader,
                    JobLifecycle& lifecycle);

  // A cancellation is answered once nothing of the job is at work; whoever asked is told after a
  // third of a report interval to come again.
  void handle(const std::string& id, JobRequestKind kind, Reply reply);

 private:
  void answer_poll(const JobRecord& job, const Reply& reply) const;
  void cancel(JobRecord& job, Reply reply);
  // A job that this leader does not know, or knows no stage of: what the store says counts.
  void look_up(const std::string& id, JobRequestKind kind, Reply reply);
  // Whether its state can be told from memory: nothing upstream is unknown or in doubt.
  [[nodiscard]] bool upstream_certain(const std::string& id) const;

  LeaderContext context_;
  const JobTable& jobs_;
  const RecordStore& records_;
  const DependencyTracker& dependencies_;
  jobs::JobStatusReader& status_reader_;
  JobLifecycle& lifecycle_;
};

}  // namespace seampass::leader
