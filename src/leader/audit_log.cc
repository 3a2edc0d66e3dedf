#include "leader/audit_log.h"

#include <spdlog/spdlog.h>

#include "leader/records/keys.h"

namespace seampass::leader::audit {

namespace {

// Each name_of() returns the text that the log shows for a value: the name of the enumerator.
const char* name_of(StepDownReason reason) {
  switch (reason) {
    case StepDownReason::lease_ended:
      return "lease_ended";
    case StepDownReason::worker_shows_higher_epoch:
      return "worker_shows_higher_epoch";
    case StepDownReason::peer_shows_higher_epoch:
      return "peer_shows_higher_epoch";
    case StepDownReason::fenced:
      return "fenced";
    case StepDownReason::resigned:
      return "resigned";
  }
  return "?";
}

const char* name_of(AbsenceProof proof) {
  switch (proof) {
    case AbsenceProof::reported_ended:
      return "reported_ended";
    case AbsenceProof::inspected:
      return "inspected";
    case AbsenceProof::machine_deleted:
      return "machine_deleted";
    case AbsenceProof::lease_expired:
      return "lease_expired";
    case AbsenceProof::never_sent:
      return "never_sent";
  }
  return "?";
}

const char* name_of(StopReason reason) {
  switch (reason) {
    case StopReason::job_over:
      return "job_over";
    case StopReason::gang_incomplete:
      return "gang_incomplete";
    case StopReason::room_needed:
      return "room_needed";
    case StopReason::machine_leaving:
      return "machine_leaving";
    case StopReason::not_wanted:
      return "not_wanted";
  }
  return "?";
}

const char* name_of(AnswerBasis basis) {
  switch (basis) {
    case AnswerBasis::cache_written:
      return "cache_written";
    case AnswerBasis::cache_derived:
      return "cache_derived";
    case AnswerBasis::leader:
      return "leader";
    case AnswerBasis::store:
      return "store";
  }
  return "?";
}

const char* name_of(wire::ExitCause cause) {
  switch (cause) {
    case wire::ExitCause::none:
      return "none";
    case wire::ExitCause::done:
      return "done";
    case wire::ExitCause::stopped:
      return "stopped";
    case wire::ExitCause::gang_task_lost:
      return "peers";
    case wire::ExitCause::gang_timeout:
      return "alone";
    case wire::ExitCause::error:
      return "error";
    case wire::ExitCause::no_room:
      return "no_room";
    case wire::ExitCause::busy:
      return "busy";
    case wire::ExitCause::unknown:
      return "unknown";
  }
  return "?";
}

}  // namespace

void elected(std::uint64_t epoch) { spdlog::info("elected epoch={}", epoch); }

void stepped_down(std::uint64_t epoch, StepDownReason reason, net::Ms since_grant) {
  spdlog::info("stepped_down epoch={} reason={} since_grant_ms={}", epoch, name_of(reason),
               since_grant);
}

void renewal_failed(std::uint64_t epoch, net::Ms since_grant) {
  spdlog::info("renewal_failed epoch={} since_grant_ms={}", epoch, since_grant);
}

void extended_by_peers(std::uint64_t epoch, net::Ms since_grant) {
  spdlog::info("extended_by_peers epoch={} since_grant_ms={}", epoch, since_grant);
}

void recovery_ended(std::uint64_t epoch, state::Version revision, std::size_t open_jobs,
                    std::size_t ended_jobs, std::size_t attempts, net::Ms duration) {
  spdlog::info("recovered open_jobs={} ended_jobs={} attempts={} epoch={} revision={} took_ms={}",
               open_jobs, ended_jobs, attempts, epoch, revision, duration);
}

void load(const Load& load) {
  spdlog::info(
      "load reads={} writes={} refused={} unknown={} waiting_reads={} waiting_writes={} "
      "backlog_ms={} turn_ms={} since_grant_ms={}",
      load.store.reads, load.store.writes, load.store.refused, load.store.unknown,
      load.waiting_reads, load.waiting_writes, load.backlog, load.tick_delay, load.since_grant);
}

void unreadable_job(const std::string& job, const std::string& error) {
  spdlog::error("unreadable_job job={} error=\"{}\"", job, error);
}

void unreadable_task_record(const std::string& key, const std::string& job,
                            const std::string& error) {
  spdlog::error("unreadable_task_record key={} not_scheduled={} error=\"{}\"", key, job, error);
}

void unknown_dependency(const std::string& job) { spdlog::error("unknown_dependency job={}", job); }

void queued(const wire::Job& job) {
  spdlog::debug("queued job={} class={} tasks={} team={}", job.id, job.job_class, job.tasks,
                job.team);
}

void record_durable(const std::string& job, const RecordId& record, state::Version revision) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  spdlog::debug("record_durable key={} revision={}", work_key(job, record), revision);
}

void record_deleted(const std::string& job, const RecordId& record, state::Version revision) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  spdlog::debug("record_deleted key={} revision={}", work_key(job, record), revision);
}

void final_status(const std::string& job, wire::Stage stage, state::Version revision) {
  spdlog::debug("final_status job={} stage={} revision={}", job, wire::stage_name(stage), revision);
}

void recovered_job(const std::string& job, const RecoveredJob& recovered) {
  spdlog::debug("recovered_job job={} ended={} records={} attempts={}", job, recovered.ended,
                recovered.records, recovered.attempts);
}

void ready(const std::string& job, const std::string& last_dependency) {
  spdlog::debug("ready job={} last_dependency={}", job, last_dependency);
}

void cancelled_with_dependency(const std::string& job) {
  spdlog::debug("cancelled_with_dependency job={}", job);
}

void launch(const std::string& job, std::uint64_t attempt, std::size_t tasks,
            const std::string& first_machine) {
  spdlog::debug("launch job={} attempt={} tasks={} first_machine={}", job, attempt, tasks,
                first_machine);
}

void start(const AttemptId& attempt, const std::string& machine, std::uint64_t incarnation,
           std::uint64_t epoch) {
  spdlog::debug("start job={} task={} attempt={} machine={} incarnation={} epoch={}", attempt.job,
                attempt.task, attempt.attempt, machine, incarnation, epoch);
}

void all_running(const std::string& job) { spdlog::debug("all_running job={}", job); }

void stop(const AttemptId& attempt, const std::string& machine, StopReason reason) {
  spdlog::debug("stop job={} task={} attempt={} machine={} reason={}", attempt.job, attempt.task,
                attempt.attempt, machine, name_of(reason));
}

void exited(const AttemptId& attempt, const std::string& machine, wire::ExitCause cause,
            bool stopping) {
  spdlog::debug("exited job={} task={} attempt={} machine={} cause={} stopping={}", attempt.job,
                attempt.task, attempt.attempt, machine, name_of(cause), stopping);
}

void absent(const AttemptId& attempt, const std::string& machine, AbsenceProof proof) {
  spdlog::debug("absent job={} task={} attempt={} machine={} proof={}", attempt.job, attempt.task,
                attempt.attempt, machine, name_of(proof));
}

void answer(const wire::JobStatus& status, AnswerBasis basis) {
  spdlog::debug("answer job={} stage={} basis={}", status.id, wire::stage_name(status.stage),
                name_of(basis));
}

}  // namespace seampass::leader::audit
