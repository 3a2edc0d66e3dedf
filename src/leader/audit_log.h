// The log lines from which a job can be followed from one controller to the next: who led under
// which epoch, what was read, and why a start, a stop, an absence or an answer was allowed.
//
// Every line has the form `event key=value ...`; times end in `_ms`. Free text, as of an error,
// stands last and in quotes. This is the one place that formats them, and nothing is formatted
// while the level is off. Functions without state, called on the loop's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "leader/ids.h"
#include "leader/records/record_layout.h"
#include "net/runtime.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader::audit {

// Why a controller stopped leading.
enum class StepDownReason {
  lease_ended,
  worker_shows_higher_epoch,
  peer_shows_higher_epoch,
  fenced,
  resigned
};
// What proves that an attempt is off its machine (docs/safety.md, "Off").
enum class AbsenceProof { reported_ended, inspected, machine_deleted, lease_expired, never_sent };
// Why an attempt is to stop.
enum class StopReason { job_over, gang_incomplete, room_needed, machine_leaving, not_wanted };
// How a start travels to the worker.
enum class StartPath { command, heartbeat };
// What an answer to a user rests on.
enum class AnswerBasis { cache_written, cache_derived, leader, store };

// Info: rare, one line each.
void elected(std::uint64_t epoch);
void stepped_down(std::uint64_t epoch, StepDownReason why, net::Ms since_grant);
void renewal_failed(std::uint64_t epoch, net::Ms since_grant);
void extended_by_peers(std::uint64_t epoch, net::Ms since_grant);
void recovery_ended(std::uint64_t epoch, state::Version listed, std::size_t open_jobs,
                    std::size_t ended_jobs, std::size_t attempts, net::Ms took);

// What has passed between this controller and the state service, and how busy it is.
struct Load {
  state::Counters store;
  std::size_t waiting_reads = 0, waiting_writes = 0;
  net::Ms backlog = 0;   // how long the least urgent write waits for its turn
  net::Ms lateness = 0;  // of the tick that says so: the length of a turn of the loop
  net::Ms since_grant = 0;
};
void load(const Load& load);

// Error: what can't be read stands, and nothing is decided by it.
void unreadable_job(const std::string& job, const std::string& error);
void unreadable_task_record(const std::string& key, const std::string& job,
                            const std::string& error);
// An open job depends on this one, and the store does not know it.
void unknown_dependency(const std::string& job);

// Debug: by job.
void queued(const wire::Job& job);
void record_durable(const std::string& job, const RecordId& record, state::Version revision);
void final_status(const std::string& job, wire::Stage stage, state::Version revision);
void ready(const std::string& job, const std::string& last_dependency);
// With a job that it depends on.
void cancelled_with_dependency(const std::string& job);
// An attempt of the job begins: its tasks are assigned, and started once that is durable.
void launch(const std::string& job, std::uint64_t attempt, std::size_t tasks,
            const std::string& first_machine);
// Its assignment is durable, and nothing that its job depends on is open.
void start(const AttemptId& attempt, const std::string& machine, std::uint64_t incarnation,
           std::uint64_t epoch, StartPath path);
void all_running(const std::string& job);
void stop(const AttemptId& attempt, const std::string& machine, StopReason why);
// `stopping`: it was told to stop before.
void exited(const AttemptId& attempt, const std::string& machine, wire::ExitCause cause,
            bool stopping);
void absent(const AttemptId& attempt, const std::string& machine, AbsenceProof proof);
void answer(const wire::JobStatus& status, AnswerBasis basis);

}  // namespace seampass::leader::audit
