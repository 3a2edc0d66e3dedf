// The leading controller: the jobs, what runs where, and the decisions. It acts only between
// begin() and stop(), which the election calls. Its parts, by what they own: controller.cc the jobs
// and their ends, dependencies.cc what follows for those that wait for others, task_records.cc
// their durable records, recovery.cc the take-over, attempts.cc how attempts end, launch.cc how
// they begin, heartbeats.cc and commands.cc the talk with workers, absence.cc the questions about
// missing attempts. Scheduling is a class of its own, SchedulingLoop, which acts through
// TaskActions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/job_status_reader.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/audit_log.h"
#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/jobs/dependency_tracker.h"
#include "leader/jobs/job_record.h"
#include "leader/records/cluster_version.h"
#include "leader/records/record_layout.h"
#include "leader/records/record_store.h"
#include "leader/records/task_record.h"
#include "leader/scheduling/scheduling_loop.h"
#include "leader/scheduling/task_actions.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass::leader {

struct HeartbeatReply {
  int status = 503;
  std::string body;
};

class Controller : private TaskActions {
 public:
  Controller(net::Runtime& runtime, state::Client& state, cloud::Client& cloud,
             const cloud::MachineCatalog& catalog, workers::Client workers, Election& election,
             jobs::JobStatusReader& status_reader, ClusterVersion& cluster,
             const config::Settings& settings, const config::OperatorSettings& operator_settings);

  void start_term();
  void end_term();

  HeartbeatReply handle_heartbeat(const wire::Heartbeat& report);
  // News that a job was accepted, from this node or another.
  void on_job_accepted(const std::string& id, const wire::Json& record, state::Version version);
  // A poll or a cancellation; `cannot` unless the lease surely holds.
  void handle_job_request(const std::string& id, bool cancel,
                          std::function<void(const rpc::JobReply&)> reply);

  static wire::Json open_record(const wire::Job& job, std::int64_t created_ms);

 private:
  bool ready() const { return loaded_ && election_.holds(); }

  // Recovery: recovery.cc.
  void list_records(const std::string& prefix, const std::string& after, bool first);
  void complete_recovery();
  void collect_record(const state::Item& item);
  void apply_collected_records();
  JobRecord& ended_job(const std::string& id, const TaskRecord& record);
  // `covered`: by task, whether a newer record tells of it.
  void apply_record(JobRecord& job, const TaskRecord& record, const std::vector<bool>& covered);
  void watch();

  // Dependencies: dependencies.cc.
  void job_ready(const std::string& id, const std::string& dependency);
  void cancel_dependent(const std::string& id);
  // A job that it depends on is cancelled, durably: so is this one for whoever asks, from then on.
  bool upstream_cancelled(const JobRecord& job) const {
    return dependencies_.graph().cancelled(job.spec.id);
  }
  // Whether its state can be told from memory: nothing upstream is unknown or in doubt.
  bool upstream_certain(const std::string& id) const;

  // Durable records of tasks: task_records.cc.
  void use_segments();
  void replace_chunks(const std::string& id);
  // What this task's record should hold has changed.
  void record_changed(const std::string& id, std::uint32_t task, state::Urgency urgency,
                      std::function<void()> durable = nullptr);
  bool record_settled(const std::string& id, std::uint32_t task) const;
  std::optional<wire::Json> render(const std::string& id, const RecordId& record) const;

  // Jobs.
  JobRecord* find_job(const std::string& id) const;
  void apply_open_record(const std::string& id, const wire::Json& record, state::Version version);
  static void finish_task(JobRecord& job, std::uint32_t task);
  void conclude_if_complete(JobRecord& job);
  void cancel_job(JobRecord& job);
  void conclude(JobRecord& job);
  void record_arrival(const JobRecord& job) { scheduling_.record_arrival(job); }
  void request_pass() { scheduling_.request_pass(); }
  void on_ended(const std::string& id, wire::Stage stage);
  void erase_if_settled(const std::string& id);
  rpc::JobReply status_of(const JobRecord& job) const;

  // Attempts: attempts.cc.
  TaskAttempt* find_attempt(const std::string& job, std::uint32_t task) override;
  TaskAttempt* find_attempt(const AttemptId& id);
  void release(TaskAttempt& attempt);
  void release_lost(const std::vector<TaskAttempt*>& lost, audit::AbsenceProof proof);
  void lost_attempt(JobRecord& job);
  void stop_to_checkpoint(TaskAttempt& attempt, audit::StopReason why) override;
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why) override;
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why, bool again);
  void launch(JobRecord& job, const std::vector<PlacedTask>& tasks) override;
  void release_machine(Machine& machine, audit::AbsenceProof proof) override;
  void forget_machine(Machine& machine);
  void record_failure(JobRecord& job, Machine& machine);
  void task_exited(TaskAttempt& attempt, const wire::TaskStatus& report);
  void task_done(TaskAttempt& attempt);

  // Reports of workers: heartbeats.cc.
  void reconcile(Machine& machine, const wire::Heartbeat& report, bool heartbeat);
  void update_machine_state(Machine& machine, const wire::Heartbeat& report);
  TaskAttempt* adopt(Machine& machine, const AttemptId& id);
  void apply_exits(Machine& machine, const std::vector<const wire::TaskStatus*>& exited);
  bool may_forget(const Machine& machine, const wire::TaskStatus& task) const;
  std::vector<wire::Command> commands_for(Machine& machine, const wire::Heartbeat& report);
  void append_starts(Machine& machine, const std::set<TaskId>& reported,
                     std::vector<wire::Command>& commands);

  // Missing attempts: absence.cc.
  void verify_absence(Machine& machine);
  void on_inspection(Machine& machine, const wire::Heartbeat& report,
                     const std::vector<AttemptId>& asked);

  // Commands to workers: commands.cc.
  void send(Machine& machine, const std::vector<wire::Command>& commands);
  void send_stops(const std::vector<TaskAttempt*>& attempts) override;
  void on_command_answer(const std::string& name, const std::vector<AttemptId>& starts,
                         workers::Sent sent, const std::optional<wire::Heartbeat>& report);
  void on_command_unanswered(Machine& machine);
  void on_assignment_durable(const std::string& id, const std::vector<AttemptId>& assigned);
  static void append_start(const Machine& machine, const AttemptId& id,
                           std::vector<wire::Command>& commands);

  net::Runtime& runtime_;
  state::Client& state_;
  workers::Client workers_;
  Election& election_;
  jobs::JobStatusReader& status_reader_;
  ClusterVersion& cluster_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  RecordStore records_;
  Fleet fleet_;
  RecordLayout layout_;
  DependencyTracker dependencies_;

  bool active_ = false, loaded_ = false;
  std::uint64_t term_ = 0;
  net::Ms began_ = 0;
  state::Version listed_ = 0;  // open jobs were listed as of this revision; 0: not yet
  state::Version watched_ = 0;
  JobMap jobs_;
  // Of one job, while its records are being listed.
  std::string collected_job_;
  std::vector<TaskRecord> collected_;
  AttemptTracker attempts_;
  SchedulingLoop scheduling_;
};

}  // namespace seampass::leader
