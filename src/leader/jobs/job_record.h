// The leader's in-memory state of a job and of the attempts of its tasks.
//
// The structs are plain records, owned by the JobTable and used on the event loop's thread. Times
// of type net::Ms are in milliseconds of the steady clock, and times of type std::int64_t are in
// milliseconds of the wall clock. A name that ends in `_s` is a duration in seconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

struct JobRecord;

// One attempt of one task on one machine. It exists from its assignment to the machine until it is
// proven absent from it (docs/safety.md, "When an attempt is proven absent").
struct TaskAttempt {
  JobRecord* job = nullptr;
  std::uint32_t task = 0;
  std::uint64_t number = 0;
  Machine* machine = nullptr;
  std::uint64_t incarnation = 0;
  bool durable = false;  // the task record that contains the attempt is durable: it may be started
  bool start_sent = false;  // a start may have reached the worker
  bool reported = false;    // a report of the worker has listed the attempt
  // No start was sent, and none will be. The task records are written without the attempt.
  bool revoked = false;
  bool missing = false;  // a report did not list it; its absence is not proven yet
  net::Ms start_sent_at = 0;
  wire::TaskState state = wire::TaskState::fetching;
  net::Ms running_since = 0;
  bool stop_requested = false;  // the attempt is to be stopped
  double termination_grace_s = 0;
  net::Ms stop_requested_at = 0;

  [[nodiscard]] AttemptId id() const;
};

// The lifecycle of an accepted job. A job never returns to an earlier value.
enum class Lifecycle {
  // Tasks of the job may be started.
  active,
  // The job is cancelled. None of its tasks is started, and its attempts are being stopped.
  stopping,
  // The RecordStore has the job's final status, which is not known to be durable yet.
  writing_final_status,
  // The job's final status is durable.
  ended,
};

struct JobRecord {
  wire::Job spec;
  std::int64_t created_ms = 0;
  // When the last dependency was done; for a job without dependencies, its creation.
  std::int64_t ready_ms = 0;
  state::Version open_version = 0;
  std::uint64_t last_attempt = 0;
  std::vector<bool> claimed;   // by task: finished, or has an attempt
  std::vector<bool> finished;  // by task
  std::uint32_t finished_count = 0;
  std::uint32_t first_unclaimed_task = 0;         // all tasks below this index are claimed
  std::map<std::uint32_t, TaskAttempt> attempts;  // by task
  std::uint32_t running_attempts = 0;             // attempts in TaskState::running
  net::Ms retry_at = 0;                           // no task is started before this time
  int failures = 0;                               // attempts that failed since a task was last done
  std::set<std::string> failed_on;                // machines on which they failed
  // Of gangs only: the reserved machine of each task.
  std::vector<std::pair<std::uint32_t, std::string>> reservations;
  net::Ms reservations_since = 0;
  // True once the reservations have timed out: the gang is then placed as a whole or not at all.
  bool all_or_nothing = false;
  // The zone whose capacity is reserved for the gang after that timeout; empty if there is none.
  std::string reserved_zone;
  net::Ms zone_reserved_since = 0;
  // A durable task record of the job can't be read, so none of its tasks may be started.
  bool has_unreadable_record = false;
  // The final stage of an ended job; `queued` if the job has not ended or its final stage is
  // unknown.
  wire::Stage stage = wire::Stage::queued;
  // Callbacks of clients that wait for the job to end.
  std::vector<std::function<void(const rpc::JobReply&)>> waiters;

  // True if tasks of the job failed on more than one machine, with none of its tasks done in
  // between.
  [[nodiscard]] bool fails_everywhere() const { return failed_on.size() > 1; }
  [[nodiscard]] bool gang() const { return spec.kind == wire::JobKind::gang; }

  // True if tasks of the job may be started.
  [[nodiscard]] bool active() const { return lifecycle_ == Lifecycle::active; }
  // True if the final status was passed to the RecordStore, or was found in the state service. It
  // may not be durable yet.
  [[nodiscard]] bool final_status_decided() const {
    return lifecycle_ >= Lifecycle::writing_final_status;
  }
  [[nodiscard]] bool ended() const { return lifecycle_ == Lifecycle::ended; }
  [[nodiscard]] Lifecycle lifecycle() const { return lifecycle_; }
  // Advances the lifecycle to `next`. Has no effect if the job is there or further already.
  void advance_to(Lifecycle next) { lifecycle_ = std::max(lifecycle_, next); }

  [[nodiscard]] bool all_finished() const { return finished_count == spec.tasks; }
  void finish_task(std::uint32_t task) {
    if (finished[task]) return;
    finished[task] = claimed[task] = true;
    ++finished_count;
  }

 private:
  Lifecycle lifecycle_ = Lifecycle::active;
};

inline AttemptId TaskAttempt::id() const { return {job->spec.id, task, number}; }

}  // namespace seampass::leader
