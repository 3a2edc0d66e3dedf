#include "leader/leader_term.h"

#include <utility>

#include "leader/audit_log.h"

namespace seampass::leader {

LeaderTerm::LeaderTerm(net::Runtime& runtime, state::Client& state, cloud::Client& cloud,
                       const cloud::MachineCatalog& catalog, workers::Client workers,
                       Election& election, jobs::JobStatusReader& status_reader,
                       ClusterVersion& cluster, const config::Settings& settings,
                       const config::OperatorSettings& operator_settings)
    : runtime_(runtime),
      election_(election),
      cluster_version_(cluster),
      term_(election),
      context_{runtime, election, term_, settings},
      workers_(std::move(workers)),
      attempt_tracker_(runtime),
      fleet_(runtime, cloud, catalog, settings, operator_settings,
             [this](Machine& machine) { on_machine_gone(machine); }),
      records_(runtime, state, settings.min_state_limits(), record_store_hooks()),
      task_records_(jobs_, records_, cluster.spans()),
      dependency_tracker_(runtime, status_reader, net::ms(settings.heartbeat_interval_s / 10),
                          dependency_hooks()),
      scheduling_loop_({runtime, jobs_, attempt_tracker_, dependency_tracker_.graph(), catalog,
                        settings, operator_settings},
                       state, election, fleet_, *this),
      command_dispatcher_(context_, workers_, fleet_,
                          [this](Machine& machine, const wire::Heartbeat& report) {
                            reconciler_.reconcile(machine, report, ReportSource::command_reply);
                          }),
      attempt_lifecycle_(context_, jobs_, attempt_tracker_, task_records_, fleet_,
                         command_dispatcher_, attempt_hooks()),
      launcher_(context_, jobs_, attempt_tracker_, task_records_, command_dispatcher_,
                attempt_lifecycle_),
      job_lifecycle_(
          context_,
          {jobs_, records_, dependency_tracker_, attempt_lifecycle_, status_reader, cluster},
          job_hooks()),
      job_requests_(context_, jobs_, records_, dependency_tracker_, status_reader, job_lifecycle_),
      absence_verifier_(context_, workers_, fleet_, attempt_tracker_, attempt_lifecycle_,
                        command_dispatcher_),
      reconciler_(
          context_,
          {jobs_, fleet_, attempt_tracker_, task_records_, attempt_lifecycle_, absence_verifier_},
          reconciler_hooks()),
      heartbeat_handler_(context_, fleet_, task_records_, reconciler_),
      job_watcher_(context_, state, watcher_hooks()),
      recovery_(context_, state,
                {jobs_, records_, task_records_, fleet_, attempt_tracker_, attempt_lifecycle_,
                 job_lifecycle_, dependency_tracker_, job_watcher_},
                recovery_hooks()) {}

void LeaderTerm::start_term() {
  end_term();
  term_.begin(runtime_.now());
  const std::uint64_t epoch = election_.epoch();
  audit::elected(epoch);
  records_.start_term(epoch);
  fleet_.start_term(epoch);
  task_records_.start_term(cluster_version_.spans());
  // The open jobs and the task records are read only after the cluster version is loaded, because
  // it determines in which layouts the records may be.
  cluster_version_.start_term(
      epoch, {.on_loaded = [this] { job_watcher_.list(); },
              .on_finalized = [this] { task_records_.use_segments(cluster_version_.spans()); },
              .on_fenced = [this] { on_fenced(); }});
  scheduling_loop_.start_term(term_.began_at());
}

void LeaderTerm::end_term() {
  term_.end();
  scheduling_loop_.end_term();
  job_watcher_.end_term();
  job_lifecycle_.end_term();
  attempt_tracker_.clear();
  recovery_.end_term();
  cluster_version_.end_term();
  dependency_tracker_.end_term();
  records_.end_term();
  fleet_.end_term();
  command_dispatcher_.end_term();
}

RecordStore::Callbacks LeaderTerm::record_store_hooks() {
  return {.render = [this](const std::string& job,
                           const RecordId& record) { return task_records_.render(job, record); },
          .on_fenced = [this] { on_fenced(); },
          .on_final_status_found =
              [this](const std::string& job, wire::Stage stage) {
                job_lifecycle_.on_final_status_durable(job, stage);
              },
          .on_value_too_large = [this] { cluster_version_.finalize(); }};
}

DependencyTracker::Hooks LeaderTerm::dependency_hooks() {
  return {[this](const std::string& job, const std::string& last_dependency) {
            job_lifecycle_.on_ready(job, last_dependency);
          },
          [this](const std::string& job) { job_lifecycle_.cancel_dependent(job); },
          [this](const std::string& job, const state::Item& open_record) {
            job_lifecycle_.apply_open_record(job, open_record.value, open_record.version);
          }};
}

AttemptLifecycle::Hooks LeaderTerm::attempt_hooks() {
  return {[this](const std::string& job) { job_lifecycle_.erase_if_settled(job); },
          [this](JobRecord& job) { job_lifecycle_.conclude_if_complete(job); },
          [this] { scheduling_loop_.request_scheduling_pass(); }};
}

JobLifecycle::Hooks LeaderTerm::job_hooks() {
  return {[this](const JobRecord& job) { scheduling_loop_.record_arrival(job); },
          [this] { scheduling_loop_.request_scheduling_pass(); }};
}

HeartbeatReconciler::Hooks LeaderTerm::reconciler_hooks() {
  return {[this](JobRecord& job) { job_lifecycle_.conclude_if_complete(job); },
          [this] { scheduling_loop_.request_scheduling_pass(); }};
}

JobWatcher::Hooks LeaderTerm::watcher_hooks() {
  return {[this](const std::string& id, const wire::Json& record, state::Version version) {
            job_lifecycle_.apply_open_record(id, record, version);
          },
          [this] { recovery_.read_task_records(); }};
}

Recovery::Hooks LeaderTerm::recovery_hooks() {
  return {[this] {
            term_.complete_recovery();
            scheduling_loop_.allow_passes();
          },
          [this] { scheduling_loop_.request_scheduling_pass(); }};
}

void LeaderTerm::on_machine_gone(Machine& machine) {
  attempt_lifecycle_.release_machine(machine, audit::AbsenceProof::machine_deleted);
  scheduling_loop_.forget_machine(machine);
}

}  // namespace seampass::leader
