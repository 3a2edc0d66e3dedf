// What the leader knows of a job and of the attempts of its tasks.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
// (docs/architecture.md, "Off").
struct TaskAttempt {
  JobRecord* job = nullptr;
  std::uint32_t task = 0;
  std::uint64_t number = 0;
  Machine* machine = nullptr;
  std::uint64_t incarnation = 0;
  bool durable = false;
  bool sent = false;  // a start may have reached the worker
  bool seen = false;
  bool missing = false;  // a report lacked it; not confirmed yet
  int in_flight = 0;     // starts on their way through /commands
  net::Ms start_sent_at = 0;
  wire::TaskState state = wire::TaskState::fetching;
  net::Ms running_since = 0;
  bool stop = false;
  double termination_grace_s = 0;
  net::Ms stop_since = 0;

  AttemptId id() const;
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
  // Ends. `ending`: nothing of it is started any more; it was cancelled, or all of it is done.
  // `concluding`: its final status is with the record store. `ended`: that status is durable.
  bool ending = false;
  bool concluding = false;
  bool ended = false;
  // A durable record of its attempts can't be read: nothing of it may be started.
  bool unreadable = false;
  wire::Stage stage = wire::Stage::queued;
  std::vector<std::function<void(const rpc::JobReply&)>> waiters;

  bool fails_everywhere() const { return failed_on.size() > 1; }
  bool gang() const { return spec.kind == wire::JobKind::gang; }
};

using JobMap = std::map<std::string, std::unique_ptr<JobRecord>>;  // by id

inline AttemptId TaskAttempt::id() const { return {job->spec.id, task, number}; }

}  // namespace seampass::leader
