// What the leader knows of a job and of the attempts of its tasks.
//
// Plain records, owned by the JobTable. Times of type net::Ms are in milliseconds of the steady
// clock, those of type std::int64_t in milliseconds of the time of day; those in `_s` are seconds.
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

// One attempt of one task on one machine, from its durable record until it is known to be off
// (docs/safety.md, "Off").
struct TaskAttempt {
  JobRecord* job = nullptr;
  std::uint32_t task = 0;
  std::uint64_t number = 0;
  Machine* machine = nullptr;
  std::uint64_t incarnation = 0;
  bool durable = false;  // so is the record that has it: it may be started
  bool sent = false;     // a start may have reached the worker
  bool seen = false;     // a report of its worker had it
  bool missing = false;  // a report lacked it; not confirmed yet
  int in_flight = 0;     // starts on their way through /commands
  net::Ms start_sent_at = 0;
  wire::TaskState state = wire::TaskState::fetching;
  net::Ms running_since = 0;
  bool stop = false;  // it is to stop
  double termination_grace_s = 0;
  net::Ms stop_since = 0;

  [[nodiscard]] AttemptId id() const;
};

// A job's way from its acceptance to its end; it only goes forward.
enum class Lifecycle {
  active,
  // Cancelled, or all of it is done: nothing of it is started any more.
  stopping,
  // Its final status is with the record store, and not known to be durable.
  writing_final_status,
  // Its final status is durable.
  ended,
};

struct JobRecord {
  wire::Job spec;
  std::int64_t created_ms = 0;
  std::int64_t ready_ms = 0;  // when the last job that it depends on was done; else its creation
  state::Version open_version = 0;
  std::uint64_t last_attempt = 0;
  std::vector<bool> claimed;  // finished, or has an attempt
  std::vector<bool> finished;
  std::uint32_t finished_count = 0;
  std::uint32_t first_unclaimed_task = 0;  // no task before this one is free
  std::map<std::uint32_t, TaskAttempt> attempts;
  std::uint32_t running = 0;
  net::Ms retry_at = 0;
  int failures = 0;  // since a task of it was done, and on which machines
  std::set<std::string> failed_on;
  // Task and machine where an attempt ended without a result and is not forgotten.
  std::set<std::pair<std::uint32_t, std::string>> unreaped_attempts;
  // Gangs.
  std::vector<std::pair<std::uint32_t, std::string>> reservations;
  net::Ms reservations_since = 0;
  bool all_or_nothing = false;  // timed out once
  std::string reserved_zone;    // where its room is kept since then, if anywhere
  net::Ms zone_reserved_since = 0;
  // A durable record of its attempts can't be read: nothing of it may be started.
  bool unreadable = false;
  wire::Stage stage = wire::Stage::queued;  // how it ended; queued: not known, or not yet
  // Who waits for its end.
  std::vector<std::function<void(const rpc::JobReply&)>> waiters;

  // Its tasks failed on more than one machine, with nothing of it done in between.
  [[nodiscard]] bool fails_everywhere() const { return failed_on.size() > 1; }
  [[nodiscard]] bool gang() const { return spec.kind == wire::JobKind::gang; }

  // Tasks of it may be started.
  [[nodiscard]] bool active() const { return lifecycle_ == Lifecycle::active; }
  // Its final status was handed to the record store, or found in it.
  [[nodiscard]] bool final_status_written() const {
    return lifecycle_ >= Lifecycle::writing_final_status;
  }
  [[nodiscard]] bool ended() const { return lifecycle_ == Lifecycle::ended; }
  [[nodiscard]] Lifecycle lifecycle() const { return lifecycle_; }
  // Goes on to this stage of its life; a job that is further already stays there.
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
