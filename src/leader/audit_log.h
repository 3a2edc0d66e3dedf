// Formats the structured log lines with which an operator can follow a job from one leader to the
// next. The lines state which controller led under which epoch, what recovery read, and why the
// leader was allowed to start or stop a task, to treat an attempt as absent or to answer a user.
//
// Every line has the form `event key=value ...`. Keys of durations end in `_ms`. Free text, such as
// an error message, is the last value and is quoted. Only this file formats such lines, and it
// formats nothing while the log level is disabled. The functions have no state. They are called on
// the loop's thread. Durations are in milliseconds.
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

// The reason for which a controller stopped leading.
enum class StepDownReason {
  lease_ended,
  worker_shows_higher_epoch,
  peer_shows_higher_epoch,
  fenced,
  resigned
};
// The proof that an attempt is absent from its machine (docs/safety.md, "When an attempt is proven
// absent").
enum class AbsenceProof { reported_ended, inspected, machine_deleted, lease_expired, never_sent };
// The reason for which the leader stops an attempt.
enum class StopReason { job_over, gang_incomplete, room_needed, machine_leaving, not_wanted };
// The source of an answer to a user: a final status in this controller's cache (written to the
// store, or derived from a cancelled dependency), the leader or the store.
enum class AnswerBasis { cache_written, cache_derived, leader, store };

// Events logged at level info. They are rare, and each is one line.
void elected(std::uint64_t epoch);
void stepped_down(std::uint64_t epoch, StepDownReason reason, net::Ms since_grant);
void renewal_failed(std::uint64_t epoch, net::Ms since_grant);
void extended_by_peers(std::uint64_t epoch, net::Ms since_grant);
void recovery_ended(std::uint64_t epoch, state::Version revision, std::size_t open_jobs,
                    std::size_t ended_jobs, std::size_t attempts, net::Ms duration);

// The state of a job's records that recovery read.
struct RecoveredJob {
  bool ended = false;        // the job was not among the open jobs
  std::size_t records = 0;   // task records of the job
  std::size_t attempts = 0;  // attempts that these records contain
};

// Counters of the requests between this controller and the state service, and measures of this
// controller's load.
struct Load {
  state::Counters store;
  std::size_t waiting_reads = 0, waiting_writes = 0;
  net::Ms backlog = 0;  // how long a write of the lowest urgency would now wait in the queue
  // Delay of the timer tick that logs this line. It shows how long one event loop iteration takes.
  net::Ms tick_delay = 0;
  net::Ms since_grant = 0;
};
void load(const Load& load);

// Events logged at level error. A record that can't be read stays in the store unchanged, and the
// leader makes no decision based on it.
void unreadable_job(const std::string& job, const std::string& error);
void unreadable_task_record(const std::string& key, const std::string& job,
                            const std::string& error);
// Logs that an open job depends on `job`, which the store does not contain.
void unknown_dependency(const std::string& job);

// Events of single jobs, logged at level debug.
void queued(const wire::Job& job);
void record_durable(const std::string& job, const RecordId& record, state::Version revision);
void record_deleted(const std::string& job, const RecordId& record, state::Version revision);
void final_status(const std::string& job, wire::Stage stage, state::Version revision);
// Logs which attempts of a job the task records contained that a new leader has read.
void recovered_job(const std::string& job, const RecoveredJob& recovered);
void ready(const std::string& job, const std::string& last_dependency);
// Logs that a job is cancelled because a job that it depends on is cancelled.
void cancelled_with_dependency(const std::string& job);
// Logs that the leader begins an attempt of the job: its tasks are assigned to machines now, and
// are started once the assignments are durable.
void launch(const std::string& job, std::uint64_t attempt, std::size_t tasks,
            const std::string& first_machine);
// Logs that the reply to a heartbeat starts an attempt: its assignment is durable, and no
// dependency of its job is still open.
void start(const AttemptId& attempt, const std::string& machine, std::uint64_t incarnation,
           std::uint64_t epoch);
void all_running(const std::string& job);
void stop(const AttemptId& attempt, const std::string& machine, StopReason reason);
// Logs that an attempt has exited. `stopping`: whether the leader had already requested its stop.
void exited(const AttemptId& attempt, const std::string& machine, wire::ExitCause cause,
            bool stopping);
void absent(const AttemptId& attempt, const std::string& machine, AbsenceProof proof);
void answer(const wire::JobStatus& status, AnswerBasis basis);

}  // namespace seampass::leader::audit
