#include "leader/audit_log.h"

#include <spdlog/spdlog.h>

#include "leader/records/keys.h"

namespace seampass::leader::audit {

namespace {

const char* name_of(StepDownReason why) {
  switch (why) {
    case StepDownReason::lease_ended:
      return "its lease ended";
    case StepDownReason::worker_shows_higher_epoch:
      return "a worker shows a higher epoch";
    case StepDownReason::peer_shows_higher_epoch:
      return "a peer shows a higher epoch";
    case StepDownReason::fenced:
      return "a transaction was fenced";
    case StepDownReason::resigned:
      return "it resigned, no worker is heard";
  }
  return "?";
}

const char* name_of(AbsenceProof proof) {
  switch (proof) {
    case AbsenceProof::reported_ended:
      return "reported as ended";
    case AbsenceProof::inspected:
      return "an inspection lacks it";
    case AbsenceProof::machine_deleted:
      return "its machine is deleted";
    case AbsenceProof::lease_expired:
      return "its worker's lease has expired";
    case AbsenceProof::never_sent:
      return "its start was never sent";
  }
  return "?";
}

const char* name_of(StopReason why) {
  switch (why) {
    case StopReason::job_over:
      return "its job is over";
    case StopReason::gang_incomplete:
      return "its gang lost a task";
    case StopReason::room_needed:
      return "its room is needed";
    case StopReason::machine_leaving:
      return "its machine is to leave";
    case StopReason::not_wanted:
      return "it was found at work and is not wanted";
  }
  return "?";
}

const char* name_of(AnswerBasis basis) {
  switch (basis) {
    case AnswerBasis::cache_written:
      return "cache, written";
    case AnswerBasis::cache_derived:
      return "cache, derived";
    case AnswerBasis::leader:
      return "leader";
    case AnswerBasis::store:
      return "store";
  }
  return "?";
}

}  // namespace

void elected(std::uint64_t epoch) { spdlog::info("leading, epoch {}", epoch); }

void stepped_down(std::uint64_t epoch, StepDownReason why, net::Ms since_grant) {
  spdlog::info("no longer leading, epoch {}: {}; lease granted {} ms ago", epoch, name_of(why),
               since_grant);
}

void renewal_failed(std::uint64_t epoch, net::Ms since_grant) {
  spdlog::info("lease not renewed, epoch {}, granted {} ms ago", epoch, since_grant);
}

void extended_by_peers(std::uint64_t epoch, net::Ms since_grant) {
  spdlog::info(
      "all peers know no higher epoch than {}: workers are kept without a lease, granted "
      "{} ms ago",
      epoch, since_grant);
}

void recovery_ended(std::uint64_t epoch, state::Version listed, std::size_t open_jobs,
                    std::size_t ended_jobs, std::size_t attempts, net::Ms took) {
  spdlog::info(
      "recovered {} open jobs, {} ended ones, {} attempts: epoch {}, listed at revision {}, in {} "
      "ms",
      open_jobs, ended_jobs, attempts, epoch, listed, took);
}

void load(const Load& load) {
  spdlog::info(
      "load: {} reads, {} writes, {} refused, {} unknown; waiting {} reads, {} writes, {} ms; turn "
      "{} ms; lease granted {} ms ago",
      load.store.reads, load.store.writes, load.store.refused, load.store.unknown,
      load.waiting_reads, load.waiting_writes, load.backlog, load.lateness, load.since_grant);
}

void record_durable(const std::string& job, const RecordId& record, state::Version revision) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  spdlog::debug("durable work/{}/{} at revision {}", job, record_name(record), revision);
}

void final_status(const std::string& job, wire::Stage stage, state::Version revision) {
  spdlog::debug("final status of {}: {}, at revision {}", job, wire::stage_name(stage), revision);
}

void ready(const std::string& job, const std::string& last_dependency) {
  spdlog::debug("ready {}, the last that it depends on is {}", job, last_dependency);
}

void start(const AttemptId& attempt, const std::string& machine, std::uint64_t incarnation,
           std::uint64_t epoch, bool in_heartbeat) {
  spdlog::debug(
      "start {}/{} try {} on {} incarnation {} by {}: epoch {}, assignment durable, nothing "
      "upstream open",
      attempt.job, attempt.task, attempt.attempt, machine, incarnation,
      in_heartbeat ? "heartbeat" : "command", epoch);
}

void stop(const AttemptId& attempt, const std::string& machine, StopReason why) {
  spdlog::debug("stop {}/{} try {} on {}: {}", attempt.job, attempt.task, attempt.attempt, machine,
                name_of(why));
}

void absent(const AttemptId& attempt, const std::string& machine, AbsenceProof proof) {
  spdlog::debug("off {}/{} try {} on {}: {}", attempt.job, attempt.task, attempt.attempt, machine,
                name_of(proof));
}

void answer(const wire::JobStatus& status, AnswerBasis basis) {
  spdlog::debug("answer {}: {} by {}", status.id, wire::stage_name(status.stage), name_of(basis));
}

}  // namespace seampass::leader::audit
