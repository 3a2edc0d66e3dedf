// The log lines from which a job can be followed from one controller to the next: who led under
// which epoch, what was read, and why a start, a stop, an absence or an answer was allowed. One
// place formats them; nothing is formatted while the level is off.
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
// What proves that an attempt is off its machine (docs/architecture.md, "Off").
enum class AbsenceProof { reported_ended, inspected, machine_deleted, lease_expired, never_sent };
// Why an attempt is to stop.
enum class StopReason { job_over, gang_incomplete, room_needed, machine_leaving, not_wanted };
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

// Debug: by job.
void record_durable(const std::string& job, const RecordId& record, state::Version revision);
void final_status(const std::string& job, wire::Stage stage, state::Version revision);
void ready(const std::string& job, const std::string& last_dependency);
void start(const AttemptId& attempt, const std::string& machine, std::uint64_t incarnation,
           std::uint64_t epoch, bool in_heartbeat);
void stop(const AttemptId& attempt, const std::string& machine, StopReason why);
void absent(const AttemptId& attempt, const std::string& machine, AbsenceProof proof);
void answer(const wire::JobStatus& status, AnswerBasis basis);

}  // namespace seampass::leader::audit
