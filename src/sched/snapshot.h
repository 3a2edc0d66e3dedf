// The scheduler's input and output. Pure: no clock, no I/O, no randomness; whoever builds a
// ClusterSnapshot has already turned times into plain numbers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire/types.h"

namespace seampass::sched {

struct Resources {
  double cpus = 0, gpus = 0, memory_gb = 0;

  bool fits_in(const Resources& room) const {
    constexpr double slack = 1e-6;  // amounts are decimal fractions summed in binary
    return cpus <= room.cpus + slack && gpus <= room.gpus + slack &&
           memory_gb <= room.memory_gb + slack;
  }
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory_gb -= o.memory_gb;
    return *this;
  }
};

inline Resources request_of(const wire::Job& j) { return {j.cpus, j.gpus, j.memory_gb}; }

// May a task of this job ever be on an empty machine of this type?
inline bool fits_empty(const wire::MachineType& t, const wire::Job& j) {
  return request_of(j).fits_in({t.cpus, t.gpus, t.memory_gb}) &&
         (!j.types || std::find(j.types->begin(), j.types->end(), t.name) != j.types->end());
}

// How many tasks of this need an empty machine takes.
std::uint32_t capacity(const Resources& need, const Resources& total);

// A running task that may be stopped for work of a higher priority: it saves its progress.
struct PreemptibleTask {
  std::string job;
  std::uint32_t task = 0;
  wire::Priority priority = wire::Priority::normal;
  Resources request;
  std::string image{};
  bool spot = false;       // may use spot machines
  bool any_zone = false;   // no rule ties it to a zone
  double remaining_s = 0;  // by its owner's estimate
  double save_s = 0;
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
  bool booting = false;      // will be open later
  Resources total, free;
  double price = 0;  // an hour
  std::set<std::string> images;
  std::size_t tasks = 0;  // on it, in any state
  std::vector<ExpectedRelease> releases;
};

struct Placement {
  std::uint32_t task = 0;
  std::size_t machine = 0;  // index into ClusterSnapshot::machines
};

struct JobView {
  std::string id, team;
  wire::JobKind kind = wire::JobKind::array;
  wire::Priority priority = wire::Priority::normal;
  // 0 on the ordinary path. When more is asked than there is: how far the team is beyond its share.
  double fair_share_rank = 0;
  std::int64_t created_ms = 0;
  Resources request;
  const std::optional<std::vector<std::string>>* types = nullptr;  // null: any
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  std::string image;
  bool urgent = false;  // its class has a short start aim: a cached image counts before the price
  // It fits into its team's guarantee together with the team's earlier unfinished jobs.
  bool within_guarantee = false;
  // For how many seconds its start may wait for room that is in use, rather than new machines.
  double wait_budget_s = 0;
  std::uint32_t tasks = 0;
  std::vector<std::uint32_t> pending;           // tasks to place, lowest first; may be cut short
  std::map<std::string, std::uint32_t> placed;  // by zone: tasks still charged, any attempt
  // Task and machine: where a former attempt of the task can't be forgotten, which is in its way.
  std::set<std::pair<std::uint32_t, std::size_t>> anti_affinity;
  bool blocked = false;         // nothing may be placed now
  bool all_or_nothing = false;  // a gang that timed out once: hold nothing short of its minimum
  std::optional<std::string> reserved_zone;  // the one zone where a large gang's room is kept
  std::vector<Placement> reservations;
};

struct TeamView {
  std::optional<double> cpus_max, gpus_max;
  double cpus = 0, gpus = 0;  // charged and held

  // How many tasks of this need the limit still allows.
  std::uint32_t allows(const Resources& need) const;
};

// Teams served in turn by shares: sets each job's `turn` from what its team uses and has asked for
// before it. `guaranteed` is the team's GPUs; a team without any is counted by its CPUs.
void set_fair_share_ranks(std::vector<JobView>& jobs, const std::map<std::string, TeamView>& teams,
                          const std::map<std::string, double>& guaranteed);

enum class MachineChoice { first_fit, scored };

struct ClusterSnapshot {
  std::vector<MachineView> machines;
  std::vector<JobView> jobs;
  std::vector<MachineView> pending_scale_out;  // rentals not answered yet: nameless, booting
  std::map<std::string, TeamView> teams;
  MachineChoice choice = MachineChoice::scored;
};

struct JobPlacements {
  std::size_t job = 0;  // index into ClusterSnapshot::jobs
  std::vector<Placement> tasks;
};

struct Preemption {
  std::size_t machine = 0, job = 0;  // for which job
  std::vector<PreemptibleTask> tasks;
};

struct Decisions {
  std::vector<Preemption> preemptions;
  std::vector<JobPlacements> starts;
  std::vector<JobPlacements>
      reservations;                   // each gang's whole new set; a gang not named holds nothing
  std::size_t machines_examined = 0;  // machines compared with a job: the work that this pass was
};

// Queue sort: priority, turn (the exception of docs/design.md), creation time, id.
std::vector<std::size_t> queue_order(const std::vector<JobView>& jobs);

// Filter: may a task of this job ever be on this machine, room aside?
bool allowed(const JobView& job, const std::string& type, const std::string& zone, bool spot);

// One scheduling pass. The snapshot is left as it is after the decisions: room and team use taken,
// placed tasks no longer pending.
Decisions run_pass(ClusterSnapshot& snapshot);

struct ScaleOutOption {
  std::string type, zone;
  bool spot = false;
  double price = 0;
  Resources total;
};

struct ScaleOutRequest {
  std::size_t option = 0;
  int count = 0;
};

// Room to keep free for tasks that are expected to come before a new machine could be up.
struct Headroom {
  JobView job;           // `pending` says how many
  double budget = 0;     // for machines that nothing else needs, an hour
  double max_price = 0;  // no machine above this price
};

struct ScalingPlan {
  std::vector<ScaleOutRequest> scale_out;
  std::set<std::size_t> headroom_machines;  // machines whose free room is wanted as a spare
};

// Which machines to rent for what a pass left pending, after room that is booting is counted, and
// which to rent or keep for what is expected.
ScalingPlan plan_scaling(const ClusterSnapshot& snapshot,
                         const std::vector<ScaleOutOption>& options,
                         const std::vector<Headroom>& headroom);

// Machines whose few tasks have room on fuller machines of their type, with their image: once
// moved, the machine can be returned. Only where nothing waits, and what is left to run is worth
// the stop: `worth` times what saving and starting again takes, `restart_s` beside the save. At
// most `most`.
std::vector<std::size_t> consolidation_candidates(const ClusterSnapshot& snapshot, double restart_s,
                                                  double worth, std::size_t most);

}  // namespace seampass::sched
