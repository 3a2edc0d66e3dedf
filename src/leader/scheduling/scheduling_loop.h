// Scheduling in one term of leadership: when a pass is made, what it sees, and what follows from it
// (starts, preemptions, reservations, rentals), beside what is done at regular intervals. Owns the
// snapshot of the cluster, kept from pass to pass, and all that paces the passes. Actor: every call
// comes from the loop's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/job_table.h"
#include "leader/scheduling/task_actions.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "sched/dependency_graph.h"
#include "sched/snapshot.h"
#include "state/client.h"

namespace seampass::leader {

class SchedulingLoop {
 public:
  // What a pass reads; all of it outlives the loop.
  struct Sources {
    const JobTable& jobs;
    const AttemptTracker& attempts;
    const sched::DependencyGraph& dependencies;
    const cloud::MachineCatalog& catalog;
    const state::Client& state;  // for the line on load alone
    const config::Settings& settings;
    const config::OperatorSettings& operator_settings;
  };

  SchedulingLoop(net::Runtime& runtime, Election& election, Fleet& fleet, const Sources& sources,
                 TaskActions& actions);

  // `began`: when the term began. The intervals run from here; passes wait for allow_passes().
  void start_term(net::Ms began);
  // All records are listed.
  void allow_passes() { recovered_ = true; }
  void end_term();

  // Something has changed that a pass could act on.
  void request_pass();
  // The job may be scheduled from now on.
  void record_arrival(const JobRecord& job);
  // The machine no longer exists: its place in the snapshot is free for another.
  void forget_machine(const Machine& machine);

 private:
  bool may_schedule() const { return recovered_ && election_.holds(); }

  // The snapshot: cluster_view.cc.
  void update_view(Machine& machine, const wire::MachineType& type);
  void update_machines();
  void update_teams();
  static std::vector<std::uint32_t> pending_tasks(const JobRecord& job, std::size_t most);
  std::set<std::pair<std::uint32_t, std::size_t>> tasks_to_avoid(JobRecord& job);
  void apply_reservations(const JobRecord& job, sched::JobView& view);
  std::vector<JobRecord*> update_jobs();
  std::set<const JobRecord*> guaranteed_jobs() const;
  void reserve_zones(const std::vector<JobRecord*>& jobs);

  // Passes: planning.cc.
  // lateness: how long after it was due; a sign of how busy this process is.
  void run_pass(net::Ms lateness);
  void touch(std::size_t slot);
  double longest_boot_s() const;
  double age_s(const JobRecord& job) const;
  double wait_budget_s(const JobRecord& job) const;
  std::vector<sched::Headroom> headroom() const;
  void plan();
  void consolidate();
  void preempt(const sched::Decisions& decisions);
  void start(JobRecord& job, const std::vector<sched::Placement>& tasks);

  // At intervals: upkeep.cc.
  void tick();
  bool is_isolated();
  void release_expired();
  std::set<std::string> expire_reservations();
  void drain_preempted();
  void log_use() const;
  void log_load();

  net::Runtime& runtime_;
  Election& election_;
  Fleet& fleet_;
  const JobTable& jobs_;
  const AttemptTracker& attempts_;
  const sched::DependencyGraph& dependencies_;
  const cloud::MachineCatalog& catalog_;
  const state::Client& state_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  TaskActions& actions_;

  net::CallbackScope term_;
  bool recovered_ = false, pass_requested_ = false;
  net::Ms ticked_ = 0;
  int isolated_ticks_ = 0;
  net::Ms lateness_ = 0, load_logged_ = 0;  // of the last tick; when the load was last logged
  net::Ms began_ = 0, last_rental_ = 0, next_pass_ = 0;
  net::Ms waited_ = 0;  // when a job last found no place
  // Kept from pass to pass: a machine is drawn anew when it has changed.
  sched::ClusterSnapshot snapshot_;
  std::vector<std::size_t> free_slots_;

  // Arrivals of the classes that have a start aim: what a spare is measured by.
  struct Arrivals {
    double within_s = 0;
    wire::Job latest;
    std::deque<std::pair<net::Ms, std::uint32_t>> recent;  // when, how many tasks
  };
  std::map<std::string, Arrivals> arrivals_;
  std::map<std::string, std::vector<config::ServiceLevelObjective>>
      objectives_by_class_;                  // by class
  std::set<std::string> headroom_machines_;  // machines wanted as headroom
};

}  // namespace seampass::leader
