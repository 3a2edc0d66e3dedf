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
      cluster_(cluster),
      term_(election),
      context_{runtime, election, term_, settings},
      workers_(std::move(workers)),
      tracker_(runtime),
      fleet_(runtime, cloud, catalog, settings, operator_settings,
             [this](Machine& machine) { on_machine_gone(machine); }),
      records_(runtime, state, settings.least_state_limits(), record_store_hooks()),
      task_records_(jobs_, records_, cluster.spans()),
      dependencies_(runtime, status_reader, net::ms(settings.heartbeat_interval_s / 10),
                    dependency_hooks()),
      scheduling_(
          {runtime, jobs_, tracker_, dependencies_.graph(), catalog, settings, operator_settings},
          state, election, fleet_, *this),
      commands_(context_, workers_, fleet_, jobs_,
                [this](Machine& machine, const wire::Heartbeat& report) {
                  reconciler_.reconcile(machine, report, ReportSource::command_answer);
                }),
      attempts_(context_, jobs_, tracker_, task_records_, fleet_, commands_, attempt_hooks()),
      launcher_(context_, jobs_, tracker_, task_records_, commands_, attempts_),
      lifecycle_(context_, {jobs_, records_, dependencies_, attempts_, status_reader, cluster},
                 job_hooks()),
      job_requests_(context_, jobs_, records_, dependencies_, status_reader, lifecycle_),
      absence_(context_, workers_, fleet_, tracker_, attempts_, commands_),
      reconciler_(context_, {jobs_, fleet_, tracker_, task_records_, attempts_, absence_},
                  reconciler_hooks()),
      heartbeats_(context_, jobs_, fleet_, task_records_, status_reader, reconciler_),
      watcher_(context_, state, watcher_hooks()),
      recovery_(context_, state,
                {jobs_, records_, task_records_, fleet_, tracker_, attempts_, lifecycle_,
                 dependencies_, watcher_},
                recovery_hooks()) {}

void LeaderTerm::start_term() {
  end_term();
  term_.begin(runtime_.now());
  const std::uint64_t epoch = election_.epoch();
  audit::elected(epoch);
  records_.start_term(epoch);
  fleet_.start_term(epoch);
  task_records_.start_term(cluster_.spans());
  // Records are read once it is known in which layouts they may be.
  cluster_.start_term(
      epoch, {[this] { watcher_.list(); }, [this] { task_records_.use_segments(cluster_.spans()); },
              [this] { on_fenced(); }});
  scheduling_.start_term(term_.began());
}

void LeaderTerm::end_term() {
  term_.end();
  scheduling_.end_term();
  watcher_.end_term();
  lifecycle_.end_term();
  tracker_.clear();
  recovery_.end_term();
  cluster_.end_term();
  dependencies_.end_term();
  records_.end_term();
  fleet_.end_term();
  commands_.end_term();
}

RecordStore::Hooks LeaderTerm::record_store_hooks() {
  return {[this](const std::string& job, const RecordId& record) {
            return task_records_.render(job, record);
          },
          [this] { on_fenced(); },
          [this](const std::string& job, wire::Stage stage) { lifecycle_.on_ended(job, stage); },
          [this] { cluster_.finalize(); }};
}

DependencyTracker::Hooks LeaderTerm::dependency_hooks() {
  return {[this](const std::string& job, const std::string& last_dependency) {
            lifecycle_.on_ready(job, last_dependency);
          },
          [this](const std::string& job) { lifecycle_.cancel_dependent(job); },
          [this](const std::string& job, const state::Item& open) {
            lifecycle_.apply_open_record(job, open.value, open.version);
          }};
}

AttemptLifecycle::Hooks LeaderTerm::attempt_hooks() {
  return {[this](const std::string& job) { lifecycle_.erase_if_settled(job); },
          [this](JobRecord& job) { lifecycle_.conclude_if_complete(job); },
          [this] { scheduling_.request_pass(); }};
}

JobLifecycle::Hooks LeaderTerm::job_hooks() {
  return {[this](const JobRecord& job) { scheduling_.record_arrival(job); },
          [this] { scheduling_.request_pass(); }};
}

HeartbeatReconciler::Hooks LeaderTerm::reconciler_hooks() {
  return {[this](JobRecord& job) { lifecycle_.conclude_if_complete(job); },
          [this] { scheduling_.request_pass(); }};
}

JobWatcher::Hooks LeaderTerm::watcher_hooks() {
  return {[this](const std::string& id, const wire::Json& record, state::Version version) {
            lifecycle_.apply_open_record(id, record, version);
          },
          [this] { recovery_.read_task_records(); }};
}

Recovery::Hooks LeaderTerm::recovery_hooks() {
  return {[this] {
            term_.complete_recovery();
            scheduling_.allow_passes();
          },
          [this] { scheduling_.request_pass(); }};
}

void LeaderTerm::on_machine_gone(Machine& machine) {
  attempts_.release_machine(machine, audit::AbsenceProof::machine_deleted);
  scheduling_.forget_machine(machine);
}

}  // namespace seampass::leader
