// Scheduling in one term of leadership: when a pass is made, and what follows from it (starts,
// preemptions, reservations, rentals), beside what is done at every tick. Owns the pacing of passes
// and the parts of scheduling. Actor: every call comes from the leader's loop; acts on attempts
// only through TaskActions.
#pragma once

#include <vector>

#include "leader/election/election.h"
#include "leader/fleet/fleet.h"
#include "leader/jobs/job_record.h"
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
#include "sched/snapshot.h"
#include "state/client.h"

namespace seampass::leader {

class SchedulingLoop {
 public:
  // `state` is asked for the figures of the line on load, and for nothing else.
  SchedulingLoop(const SchedulingSources& sources, const state::Client& state, Election& election,
                 Fleet& fleet, TaskActions& actions);

  // `began`: when the term began. Ticks run from here; passes wait for allow_passes().
  void start_term(net::Ms began);
  // All records are listed.
  void allow_passes() { recovered_ = true; }
  void end_term();

  // Something has changed that a pass could act on.
  void request_pass();
  // The job may be scheduled from now on.
  void record_arrival(const JobRecord& job) { headroom_.record_arrival(job); }
  // The machine no longer exists: its place in the snapshot is free for another.
  void forget_machine(const Machine& machine) { snapshot_.remove(machine); }

 private:
  [[nodiscard]] bool may_schedule() const { return recovered_ && election_.holds(); }

  // `lateness`: how long after it was due; a sign of how busy this process is.
  void run_pass(net::Ms lateness);
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
  net::Ms tick_lateness_ = 0;
};

}  // namespace seampass::leader
