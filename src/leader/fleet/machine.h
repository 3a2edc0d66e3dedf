// What the leader knows about one machine: from its rental, the cloud's list of machines and the
// heartbeats of its worker. This is a plain record, owned by the MachineInventory. Other classes of
// the leader write the fields that they are responsible for. Times are in milliseconds of the
// steady clock.
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
  // Its worker has shown this leader's epoch in this term: the machine is alive and receives this
  // leader's answers.
  bool registered = false;
  bool deleting = false;
  bool draining = false;  // no new tasks are placed here
  net::Ms rented_at = 0;  // when it was rented, as far as known
  // When the last heartbeat arrived that this leader may have answered; -1 if there is none.
  net::Ms last_heartbeat_at = -1;
  std::optional<net::Ms> first_heartbeat_at;  // when the first heartbeat of this term arrived
  // When the cloud first listed the machine as running in this term.
  std::optional<net::Ms> listed_running_at;
  // The time of the first unanswered command since the last answered one; empty if the last command
  // was answered.
  std::optional<net::Ms> unresponsive_since;
  // From the worker's latest report: the worker's incarnation, the report's sequence number within
  // that incarnation and the epoch (fencing token) that the report showed.
  std::uint64_t incarnation = 0, sequence = 0, shown_epoch = 0;
  // Incarnation and sequence number of the latest heartbeat that showed this leader's epoch, and of
  // the latest heartbeat that did not.
  std::pair<std::uint64_t, std::uint64_t> last_heartbeat, last_unconfirmed_heartbeat;
  bool inspecting = false;  // an inspection request is in flight
  // The worker was asked to send a heartbeat, and no heartbeat has been answered with commands
  // since.
  bool heartbeat_requested = false;
  // When the cloud preempts this spot machine, once the cloud has announced it.
  std::optional<net::Ms> preemption_at;
  net::Ms idle_since = 0;
  net::Ms quarantined_until = 0;
  // Jobs with a failed task on this machine since a task last completed here.
  std::set<std::string> failed_jobs;
  std::map<TaskId, TaskAttempt*> attempts;
  std::string nominated_job;  // the job for which tasks here are being preempted
  net::Ms nominated_until = 0;
  // The number of tasks in the latest report that no attempt of this leader accounts for.
  std::size_t unknown_tasks = 0;
  std::set<std::string> images;
  // Attempts that the worker's latest report shows as ended; the worker still remembers them.
  std::set<AttemptId> exited;
  // The machine's slot in the scheduling snapshot, and whether the machine has changed since its
  // view was built.
  std::size_t slot = kNoSlot;
  bool view_stale = true;
  static constexpr std::size_t kNoSlot = static_cast<std::size_t>(-1);

  void note_heartbeat(net::Ms now) {
    last_heartbeat_at = now;
    if (!first_heartbeat_at) first_heartbeat_at = now;
  }
};

// Orders machines by name, so that the order does not depend on memory addresses.
struct ByName {
  bool operator()(const Machine* left, const Machine* right) const {
    return left->name < right->name;
  }
};

}  // namespace seampass::leader
