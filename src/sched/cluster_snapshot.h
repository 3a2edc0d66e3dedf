// The scheduler's input: machines, jobs with what is pending, and teams, as plain values. It has no
// clock: whoever builds a snapshot (the leader, before each pass) has turned times into seconds
// from now. A pass takes what it places out of the snapshot.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sched/resources.h"
#include "wire/types.h"

namespace seampass::sched {

// A running task that may be stopped for work of a higher priority, since it saves a checkpoint.
struct PreemptibleTask {
  std::string job;
  std::uint32_t task = 0;
  wire::Priority priority = wire::Priority::normal;
  Resources request;
  std::string image{};
  bool spot = false;       // may use spot machines
  bool any_zone = false;   // no rule ties it to a zone
  double remaining_s = 0;  // run time that is left, by its owner's estimate
  double save_s = 0;       // how long saving its checkpoint takes
};

// Room that comes free when a task ends, by its owner's estimate.
struct ExpectedRelease {
  double in_s = 0;
  Resources resources;
};

struct MachineView {
  std::string name, type, zone;
  std::string nominated_job;  // room that is being cleared for this job, and for no other
  std::vector<PreemptibleTask> preemptible_tasks;
  bool spot = false;
  bool schedulable = false;  // tasks may be started on it now
  bool booting = false;      // will be schedulable later
  Resources total;
  Resources free;                // total less what its tasks request
  double price = 0;              // per hour
  std::set<std::string> images;  // in its cache
  std::size_t tasks = 0;         // how many are on it, in any state
  std::vector<ExpectedRelease> releases;
};

// One task on one machine.
struct Placement {
  std::uint32_t task = 0;
  std::size_t machine = 0;  // index into ClusterSnapshot::machines
};

// How many tasks of a job are in each zone.
using ZoneCounts = std::map<std::string, std::uint32_t>;

// An unfinished job, with those of its tasks that have no machine.
struct JobView {
  std::string id, team;
  wire::JobKind kind = wire::JobKind::array;
  wire::Priority priority = wire::Priority::normal;
  // 0 on the ordinary path. When more is requested than there is: how far the team is beyond its
  // share; the lower rank goes first.
  double fair_share_rank = 0;
  std::int64_t created_ms = 0;
  Resources request;                                               // of each task
  const std::optional<std::vector<std::string>>* types = nullptr;  // null or empty: any
  std::optional<std::string> zone;                                 // the only one allowed
  bool one_zone = false;                                           // all tasks in the same zone
  bool spread = false;  // at most half of the tasks, rounded up, in one zone
  bool spot = false;    // may use spot machines
  std::string image;
  bool urgent = false;  // its class has a short start objective: a cached image goes before price
  // It fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  // For how many seconds its start may wait for room that is in use, rather than new machines.
  double wait_budget_s = 0;
  std::uint32_t tasks = 0;             // of the whole job
  std::vector<std::uint32_t> pending;  // tasks to place, lowest first; may be cut short
  ZoneCounts placed;                   // tasks still charged to a machine, of any attempt
  // Task and machine where an earlier attempt of the task is on record still, since a copy of its
  // start may come late: a new attempt there would be in its way.
  std::set<std::pair<std::uint32_t, std::size_t>> anti_affinity;
  bool blocked = false;         // nothing may be placed now
  bool all_or_nothing = false;  // a gang that timed out once: reserve nothing short of the whole
  std::optional<std::string> reserved_zone;  // the one zone where a large gang's room is reserved
  std::vector<Placement> reservations;       // a gang's, taken out of its machines' free room

  // Pending tasks without a reservation.
  [[nodiscard]] std::size_t unreserved_tasks() const {
    return pending.size() - reservations.size();
  }
};

// A team's use and quota limits.
struct TeamView {
  std::optional<double> cpus_max, gpus_max;  // none: no limit
  double cpus = 0, gpus = 0;                 // charged and reserved

  // How many more tasks with this request the limits allow.
  [[nodiscard]] std::uint32_t allows(const Resources& request) const;
};

enum class MachineChoice {
  first_fit,  // the first machine with room, in the snapshot's order
  scored,     // the best machine by `score`
};

struct ClusterSnapshot {
  std::vector<MachineView> machines;
  std::vector<JobView> jobs;
  std::vector<MachineView> pending_scale_out;  // requests not answered yet: nameless, booting
  std::map<std::string, TeamView> teams;
  MachineChoice choice = MachineChoice::scored;
};

}  // namespace seampass::sched
