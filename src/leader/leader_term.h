// One term of leadership: wires the leader's parts and gives them a beginning and an end.
//
// Its parts, by what they own: JobTable the jobs, AttemptTracker what their attempts take up, Fleet
// the machines, RecordStore and TaskRecordWriter what is durable, DependencyTracker the graph of
// dependencies, SchedulingLoop the snapshot and the passes. The others own no state, and are named
// after what they decide. The parts live as long as the node; they are reset as the term ends,
// since that can happen deep inside a call of any of them.
//
// An actor: every call comes from the loop's thread. start_term and end_term are called by the
// Election alone; between them this node leads, as far as it knows.
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
  // Nothing of the term runs after this, and no part may go on with what it was doing.
  void end_term();

  [[nodiscard]] HeartbeatReply handle_heartbeat(const wire::Heartbeat& report) {
    return heartbeats_.handle(report);
  }
  // News that a job was accepted, from this node or another.
  void on_job_accepted(const std::string& id, const wire::Json& record, state::Version version) {
    watcher_.on_job_accepted(id, record, version);
  }
  // A poll or a cancellation; answered with rpc::Lookup::unavailable unless the lease surely holds.
  void handle_job_request(const std::string& id, JobRequestKind kind,
                          JobRequestHandler::Reply reply) {
    job_requests_.handle(id, kind, std::move(reply));
  }

 private:
  // TaskActions: what scheduling causes.
  TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) override {
    return jobs_.find_attempt(job, task);
  }
  void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why) override {
    attempts_.stop_to_checkpoint(attempt, why);
  }
  void send_stops(const std::vector<TaskAttempt*>& attempts) override {
    commands_.send_stops(attempts);
  }
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why) override {
    attempts_.stop_all(job, termination_grace_s, why);
  }
  void release_machine(Machine& machine, audit::AbsenceProof proof) override {
    attempts_.release_machine(machine, proof);
  }
  void launch(JobRecord& job, const std::vector<PlacedTask>& tasks) override {
    launcher_.launch(job, tasks);
  }

  // The callbacks between parts that know one another's name only here.
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
  ClusterVersion& cluster_;
  TermState term_;
  const LeaderContext context_;
  workers::Client workers_;

  JobTable jobs_;
  AttemptTracker tracker_;
  Fleet fleet_;
  RecordStore records_;
  TaskRecordWriter task_records_;
  DependencyTracker dependencies_;
  SchedulingLoop scheduling_;

  CommandDispatcher commands_;
  AttemptLifecycle attempts_;
  AttemptLauncher launcher_;
  JobLifecycle lifecycle_;
  JobRequestHandler job_requests_;
  AbsenceVerifier absence_;
  HeartbeatReconciler reconciler_;
  HeartbeatHandler heartbeats_;
  JobWatcher watcher_;
  Recovery recovery_;
};

}  // namespace seampass::leader
