// The leading controller: the jobs, what runs where, and the decisions. It acts only between
// begin() and stop(), which the election calls. Its parts, by what they own: controller.cc the jobs
// and their ends, dependencies.cc what follows for those that wait for others, recovery.cc the
// take-over, attempts.cc how attempts end, heartbeats.cc and commands.cc the talk with workers,
// absence.cc the questions about missing attempts, cluster_view.cc the snapshot, planning.cc passes
// and rentals, upkeep.cc what is done at intervals.
#pragma once

#include <deque>
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
#include "leader/jobs/job_table.h"
#include "leader/records/cluster_version.h"
#include "leader/records/record_store.h"
#include "leader/records/task_record.h"
#include "leader/records/task_record_writer.h"
#include "leader/term_state.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "sched/snapshot.h"
#include "state/client.h"
#include "workers/client.h"

namespace seampass::leader {

struct HeartbeatReply {
  int status = 503;
  std::string body;
};

class Controller {
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

  // Jobs.
  void apply_open_record(const std::string& id, const wire::Json& record, state::Version version);
  void conclude_if_complete(JobRecord& job);
  void cancel_job(JobRecord& job);
  void conclude(JobRecord& job);
  void record_arrival(const JobRecord& job);
  void on_ended(const std::string& id, wire::Stage stage);
  void erase_if_settled(const std::string& id);
  rpc::JobReply status_of(const JobRecord& job) const;

  // Attempts: attempts.cc.
  void release(TaskAttempt& attempt);
  void release_lost(const std::vector<TaskAttempt*>& lost, audit::AbsenceProof proof);
  void lost_attempt(JobRecord& job);
  void stop_to_save(TaskAttempt& attempt, audit::StopReason why);
  void stop_all(JobRecord& job, double termination_grace_s, audit::StopReason why,
                bool again = false);
  void release_machine(Machine& machine, audit::AbsenceProof proof);
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
  void send_stops(const std::vector<TaskAttempt*>& attempts);
  void on_command_answer(const std::string& name, const std::vector<AttemptId>& starts,
                         workers::Sent sent, const std::optional<wire::Heartbeat>& report);
  void on_command_unanswered(Machine& machine);
  void on_assignment_durable(const std::string& id, const std::vector<AttemptId>& assigned);
  static void append_start(const Machine& machine, const AttemptId& id,
                           std::vector<wire::Command>& commands);

  // The snapshot: cluster_view.cc.
  void update_view(Machine& machine, const wire::MachineType& type);
  void update_machines();
  void update_teams();
  static std::vector<std::uint32_t> pending_tasks(const JobRecord& job, std::size_t most);
  std::set<std::pair<std::uint32_t, std::size_t>> tasks_to_avoid(JobRecord& job);
  void apply_reservations(const JobRecord& job, sched::JobView& view);
  std::vector<JobRecord*> update_jobs();
  std::set<const JobRecord*> guaranteed_jobs() const;
  void reserve_zones(const std::vector<JobRecord*>& jobs);

  // Scheduling: planning.cc.
  void request_pass();
  // lateness: how long after it was due; a sign of how busy this process is.
  void run_pass(net::Ms lateness);
  void touch(std::size_t slot);
  double longest_boot_s() const;
  double age_s(const JobRecord& job) const;
  double wait_budget_s(const JobRecord& job) const;
  std::vector<sched::Headroom> headroom() const;
  void plan();
  void consolidate();
  void preempt(const sched::Decisions& decisions);
  void start(JobRecord& job, const std::vector<sched::Placement>& tasks);

  // At intervals: upkeep.cc.
  void tick();
  bool is_isolated();
  void release_expired();
  std::set<std::string> expire_reservations();
  void drain_preempted();
  void log_use() const;
  void log_load();

  net::Runtime& runtime_;
  state::Client& state_;
  const cloud::MachineCatalog& catalog_;
  workers::Client workers_;
  Election& election_;
  jobs::JobStatusReader& status_reader_;
  ClusterVersion& cluster_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  TermState term_;
  JobTable jobs_;
  RecordStore records_;
  Fleet fleet_;
  TaskRecordWriter task_records_;
  DependencyTracker dependencies_;

  bool pass_requested_ = false;
  net::Ms ticked_ = 0;
  int isolated_ticks_ = 0;
  net::Ms lateness_ = 0, load_logged_ = 0;  // of the last tick; when the load was last logged
  net::Ms last_rental_ = 0, next_pass_ = 0;
  net::Ms waited_ = 0;         // when a job last found no place
  state::Version listed_ = 0;  // open jobs were listed as of this revision; 0: not yet
  state::Version watched_ = 0;
  // Of one job, while its records are being listed.
  std::string collected_job_;
  std::vector<TaskRecord> collected_;
  AttemptTracker attempts_;
  // Kept from pass to pass: a machine is drawn anew when it has changed.
  sched::ClusterSnapshot snapshot_;
  std::vector<std::size_t> free_slots_;

  // Arrivals of the classes that have a start aim: what a spare is measured by.
  struct Arrivals {
    double within_s = 0;
    wire::Job latest;
    std::deque<std::pair<net::Ms, std::uint32_t>> recent;  // when, how many tasks
  };
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, std::vector<config::ServiceLevelObjective>>
      objectives_by_class_;                  // by class
  std::set<std::string> headroom_machines_;  // machines wanted as headroom
};

}  // namespace seampass::leader
