// Creates and connects the parts of the leader, and starts and ends each term of leadership.
//
// The following parts own state: JobTable owns the jobs, AttemptTracker the resources that their
// attempts use, Fleet the machines, RecordStore and TaskRecordWriter the durable records,
// DependencyTracker the dependency graph, and SchedulingLoop the snapshot and the scheduling
// passes. Each of the other parts is named after the decision that it makes. The parts live as long
// as the node and are reset when a term ends. They are not destroyed then, because a term can end
// during a call into any one of them.
//
// All calls come from the loop's thread. start_term() and end_term() are called only through the
// callbacks of Election; between the two calls this node leads, as far as it knows.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/job_status_reader.h"
#include "leader/attempts/absence_verifier.h"
#include "leader/attempts/attempt_launcher.h"
#include "leader/attempts/attempt_lifecycle.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/dependency_tracker.h"
#include "leader/jobs/job_lifecycle.h"
#include "leader/jobs/job_request_handler.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "leader/records/cluster_version.h"
#include "leader/records/record_store.h"
#include "leader/records/task_record_writer.h"
#include "leader/recovery/job_watcher.h"
#include "leader/recovery/recovery.h"
#include "leader/scheduling/scheduling_loop.h"
#include "leader/scheduling/task_actions.h"
#include "leader/term_state.h"
#include "leader/workers/command_dispatcher.h"
#include "leader/workers/heartbeat_handler.h"
#include "leader/workers/heartbeat_reconciler.h"
#include "net/runtime.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass::leader {

class LeaderTerm : private TaskActions {
 public:
  LeaderTerm(net::Runtime& runtime, state::Client& state, cloud::Client& cloud,
             const cloud::MachineCatalog& catalog, workers::Client workers, Election& election,
             jobs::JobStatusReader& status_reader, ClusterVersion& cluster,
             const config::Settings& settings, const config::OperatorSettings& operator_settings);

  void start_term();
  // Ends the term. No callback of the term runs afterwards. If the term ends during a call into a
  // part, that part must not continue its work.
  void end_term();

  [[nodiscard]] HeartbeatReply handle_heartbeat(const wire::Heartbeat& report) {
    return heartbeat_handler_.handle(report);
  }
  // Handles the message, from this node or another, that a job was accepted.
  void on_job_accepted(const std::string& id, const wire::Json& record, state::Version version) {
    job_watcher_.on_job_accepted(id, record, version);
  }
  // Handles a status poll or a cancellation. The reply is rpc::Lookup::unavailable unless the term
  // is ready: recovery is complete and the lease is certainly still valid.
  void handle_job_request(const std::string& id, JobRequestKind kind,
                          JobRequestHandler::Reply reply) {
    job_requests_.handle(id, kind, std::move(reply));
  }

 private:
  // Implementation of TaskActions, by which the SchedulingLoop acts on attempts.
  TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) override {
    return jobs_.find_attempt(job, task);
  }
  void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason reason) override {
    attempt_lifecycle_.stop_to_checkpoint(attempt, reason);
  }
  void send_stops(const std::vector<TaskAttempt*>& attempts) override {
    command_dispatcher_.send_stops(attempts);
  }
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason reason) override {
    attempt_lifecycle_.stop_all(job, termination_grace_s, reason);
  }
  void release_machine(Machine& machine, audit::AbsenceProof proof) override {
    attempt_lifecycle_.release_machine(machine, proof);
  }
  void launch(JobRecord& job, const std::vector<PlacedTask>& tasks) override {
    launcher_.launch(job, tasks);
  }

  // These functions create the callbacks that connect the parts. A part that calls such a callback
  // does not know the type of the part that handles it; only LeaderTerm knows both.
  RecordStore::Callbacks record_store_hooks();
  DependencyTracker::Hooks dependency_hooks();
  AttemptLifecycle::Hooks attempt_hooks();
  JobLifecycle::Hooks job_hooks();
  HeartbeatReconciler::Hooks reconciler_hooks();
  JobWatcher::Hooks watcher_hooks();
  Recovery::Hooks recovery_hooks();
  void on_machine_gone(Machine& machine);
  void on_fenced() { election_.step_down(audit::StepDownReason::fenced); }

  net::Runtime& runtime_;
  Election& election_;
  ClusterVersion& cluster_version_;
  TermState term_;
  const LeaderContext context_;
  workers::Client workers_;

  JobTable jobs_;
  AttemptTracker attempt_tracker_;
  Fleet fleet_;
  RecordStore records_;
  TaskRecordWriter task_records_;
  DependencyTracker dependency_tracker_;
  SchedulingLoop scheduling_loop_;

  CommandDispatcher command_dispatcher_;
  AttemptLifecycle attempt_lifecycle_;
  AttemptLauncher launcher_;
  JobLifecycle job_lifecycle_;
  JobRequestHandler job_requests_;
  AbsenceVerifier absence_verifier_;
  HeartbeatReconciler reconciler_;
  HeartbeatHandler heartbeat_handler_;
  JobWatcher job_watcher_;
  Recovery recovery_;
};

}  // namespace seampass::leader
