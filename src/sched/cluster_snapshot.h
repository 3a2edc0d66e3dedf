// The scheduler's input: machines, unfinished jobs with their pending tasks, and teams, as plain
// values. The leader builds the snapshot before each pass. The snapshot has no clock: the leader
// converts deadlines and expected ends into seconds from now. A pass subtracts the resources of the
// tasks that it places from the snapshot. Resource units are those of resources.h, prices are per
// hour, and there are no errors.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sched/resources.h"
#include "sched/task_ranges.h"
#include "wire/types.h"

namespace seampass::sched {

// A running task that may be stopped in favor of a job with a higher priority. It saves a
// checkpoint before it exits, so that its progress is not lost.
struct PreemptibleTask {
  std::string job;
  std::uint32_t task = 0;
  wire::Priority priority = wire::Priority::normal;
  Resources request;
  std::string image{};
  bool spot = false;       // may use spot machines
  bool any_zone = false;   // the job does not restrict the zones of its tasks
  double remaining_s = 0;  // remaining run time, from the estimate of the job's owner
  double save_s = 0;       // duration of saving its checkpoint
};

// Resources that come free when a running task ends, `in_s` seconds from now. The time comes from
// the estimate of the job's owner.
struct ExpectedRelease {
  double in_s = 0;
  Resources resources;
};

struct MachineView {
  std::string name, type, zone;
  // The job for which tasks on this machine are preempted; empty if there is none. No other job may
  // use the machine's free resources meanwhile.
  std::string nominated_job;
  std::vector<PreemptibleTask> preemptible_tasks;
  bool spot = false;
  bool schedulable = false;  // tasks may be started on it in this pass
  bool booting = false;      // rented, and expected to become schedulable
  Resources total;
  Resources free;                // total minus the requests of its tasks
  double price = 0;              // per hour
  std::set<std::string> images;  // images in its cache
  std::size_t task_count = 0;    // number of tasks on it, in any state
  std::vector<ExpectedRelease> releases;
};

// One task on one machine.
struct Placement {
  std::uint32_t task = 0;
  std::size_t machine = 0;  // index into ClusterSnapshot::machines
};

// The number of a job's tasks in each zone, by zone name.
using ZoneCounts = std::map<std::string, std::uint32_t>;

// An unfinished job and those of its tasks that have no machine yet.
struct JobView {
  std::string id, team;
  wire::JobKind kind = wire::JobKind::array;
  wire::Priority priority = wire::Priority::normal;
  // Orders jobs of equal priority; the lower rank goes first. The leader sets 0 for a job within
  // its team's guarantee and 1 for any other. While more is requested than the cluster has,
  // set_fair_share_ranks() replaces the rank by one that grows as the team exceeds its share.
  double fair_share_rank = 0;
  std::int64_t created_ms = 0;
  Resources request;                                               // resources of each task
  const std::optional<std::vector<std::string>>* types = nullptr;  // null or no value: any type
  std::optional<std::string> zone;                                 // the only zone allowed
  bool one_zone = false;                                           // all tasks must share one zone
  bool spread = false;  // a zone takes at most half of the tasks, rounded up
  bool spot = false;    // may use spot machines
  std::string image;
  // The job's class has an objective for its start. A machine that has the image in its cache is
  // then preferred to a cheaper one, and lower-priority tasks may be preempted for the job.
  bool has_start_objective = false;
  // The job fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  // How many seconds the job's start may wait for resources that are in use, before new machines
  // are rented instead.
  double wait_budget_s = 0;
  std::uint32_t task_count = 0;  // number of tasks in the whole job
  TaskRanges pending;            // tasks to place; possibly only the first ones
  ZoneCounts placed;             // tasks charged to a machine, by any of their attempts
  bool blocked = false;          // no task of the job may be placed in this pass
  // A gang whose reservations timed out once: it no longer reserves resources for only some tasks.
  bool all_or_nothing = false;
  // The only zone where a large gang may start or reserve resources; no value: no such restriction.
  std::optional<std::string> reserved_zone;
  std::vector<Placement> reservations;  // a gang's; already subtracted from the machines' `free`

  // Returns the number of pending tasks without a reservation.
  [[nodiscard]] std::size_t unreserved_tasks() const {
    return pending.size() - reservations.size();
  }
};

// A team's resource usage and quota limits.
struct TeamView {
  std::optional<double> cpus_max, gpus_max;  // no value: no limit
  double cpus = 0, gpus = 0;                 // usage by placed and reserved tasks

  // Returns how many more tasks with this request the limits allow.
  [[nodiscard]] std::uint32_t tasks_within_quota(const Resources& request) const;
};

enum class MachineChoice {
  first_fit,  // the first machine that a task fits on, in the snapshot's order
  scored,     // the machine with the lowest score (score.h)
};

struct ClusterSnapshot {
  std::vector<MachineView> machines;
  std::vector<JobView> jobs;
  // Machines from scale-out requests that the cloud has not answered yet. They have no names and
  // count as booting.
  std::vector<MachineView> pending_scale_out;
  std::map<std::string, TeamView> teams;
  MachineChoice machine_choice = MachineChoice::scored;
};

}  // namespace seampass::sched
