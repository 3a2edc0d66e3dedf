// What the leader knows of one machine: from its rental, the cloud's list and its worker's
// heartbeats. A plain record, owned by the MachineInventory; the parts of the leader write the
// fields of which they are in charge, as grouped below.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "leader/ids.h"
#include "net/runtime.h"

namespace seampass::leader {

struct TaskAttempt;

struct Machine {
  std::string name, addr, type, zone;
  bool spot = false;
  bool registered = false;  // has shown this leader's epoch: it lives now, and hears us
  bool deleting = false;
  bool draining = false;           // takes nothing new
  net::Ms rented_at = 0;           // rented, as far as known
  net::Ms last_heartbeat_at = -1;  // last check-in that this leader may have answered; -1: none
  std::optional<net::Ms> first_heartbeat_at;  // of this term
  std::optional<net::Ms> listed_running_at;   // first listed as running in this term
  // The first command without an answer since the last with one.
  std::optional<net::Ms> unresponsive_since;
  std::uint64_t incarnation = 0, sequence = 0, token = 0;
  // Session and sequence of the latest check-in that showed this leader's epoch, and of the latest
  // that did not.
  std::pair<std::uint64_t, std::uint64_t> last_heartbeat, last_unconfirmed_heartbeat;
  net::Ms last_command_ack_at = -1;  // last command that was, or may have been, executed; -1: none
  bool inspecting = false;           // an inspection is on its way
  std::optional<net::Ms> preemption_at;  // spot notice
  net::Ms idle_since = 0;
  net::Ms quarantined_until = 0;
  std::set<std::string> failed_jobs;  // since a task was done here
  std::map<TaskId, TaskAttempt*> attempts;
  std::string nominated_job;  // a job that room is being cleared for
  net::Ms nominated_until = 0;
  std::size_t unknown_tasks = 0;  // reported tasks that no attempt accounts for
  std::set<std::string> images;
  std::set<AttemptId> exited;  // reported as ended and not forgotten yet
  // Starts sent to /commands in this incarnation: until it changes, each may be executed late, or
  // once more by a late copy. The worker ignores it for as long as it knows the attempt.
  std::set<AttemptId> replayable_starts;
  // Its place among the snapshot's machines, and whether it has changed since its view was made.
  std::size_t slot = kNoSlot;
  bool stale = true;
  static constexpr std::size_t kNoSlot = static_cast<std::size_t>(-1);

  // Whether a start of this task, of whichever attempt, may still come late.
  [[nodiscard]] bool may_replay_start(const TaskId& task) const {
    const auto first = replayable_starts.lower_bound({task.job, task.task, 0});
    return first != replayable_starts.end() && first->task_id() == task;
  }
  void note_heartbeat(net::Ms now) {
    last_heartbeat_at = now;
    if (!first_heartbeat_at) first_heartbeat_at = now;
  }
};

// An order that does not depend on where machines lie in memory.
struct ByName {
  bool operator()(const Machine* left, const Machine* right) const {
    return left->name < right->name;
  }
};

}  // namespace seampass::leader
