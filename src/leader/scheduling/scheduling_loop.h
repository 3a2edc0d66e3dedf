// The SchedulingLoop does the scheduling during a term of leadership. It decides when a scheduling
// pass runs and carries out the pass's decisions: starts, preemptions, reservations and scale-out.
// It also runs the periodic checks of every tick. It owns the pacing of passes and the classes that
// scheduling consists of. It is an actor: all calls come from the leader's event loop. It acts on
// attempts only through TaskActions. Times are in milliseconds of the steady clock.
#pragma once

#include <vector>

#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/job_table.h"
#include "leader/scheduling/autoscaler.h"
#include "leader/scheduling/headroom_estimator.h"
#include "leader/scheduling/isolation_detector.h"
#include "leader/scheduling/leader_upkeep.h"
#include "leader/scheduling/snapshot_builder.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/task_actions.h"
#include "leader/scheduling/usage_log.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "sched/sched.h"
#include "state/client.h"

namespace seampass::leader {

class SchedulingLoop {
 public:
  // `state` is used only to read the counters for the periodic `load` log line.
  SchedulingLoop(const SchedulingSources& sources, const state::Client& state, Election& election,
                 Fleet& fleet, TaskActions& actions);

  // Starts the ticks of a term that began at `started_at`. Passes start only after allow_passes().
  void start_term(net::Ms started_at);
  // Allows passes. The caller calls this once recovery has read all records.
  void allow_passes() { recovered_ = true; }
  void end_term();

  // Requests a scheduling pass, because something has changed that a pass could act on.
  void request_scheduling_pass();
  // Records that the job has become ready to be scheduled.
  void record_arrival(const JobRecord& job) { headroom_.record_arrival(job); }
  // Frees the snapshot slot of a machine that no longer exists, so that another machine can use it.
  void forget_machine(const Machine& machine) { snapshot_.remove(machine); }

 private:
  [[nodiscard]] bool may_schedule() const { return recovered_ && election_.lease_valid(); }

  // Runs a pass. `start_delay` is the time by which the pass starts later than it was due; it shows
  // how busy this process is.
  void run_pass(net::Ms start_delay);
  void schedule(const std::vector<JobRecord*>& jobs);
  void replace_reservations(const std::vector<JobRecord*>& jobs, const sched::Decisions& decisions);
  void preempt(const sched::Decisions& decisions);
  void launch(JobRecord& job, const std::vector<sched::Placement>& placements);
  void tick();

  const SchedulingSources sources_;
  Election& election_;
  Fleet& fleet_;
  TaskActions& actions_;
  net::CallbackScope term_;
  SnapshotBuilder snapshot_;
  HeadroomEstimator headroom_;
  Autoscaler autoscaler_;
  LeaderUpkeep upkeep_;
  IsolationDetector isolation_;
  LoadLog load_log_;

  bool recovered_ = false;
  bool pass_requested_ = false;
  net::Ms next_pass_at_ = 0;
  net::Ms tick_delay_ = 0;
};

}  // namespace seampass::leader
