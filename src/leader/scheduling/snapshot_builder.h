// The snapshot of the cluster on which passes decide. Owned here and kept from pass to pass: it is
// brought up to date in place, never copied. Used by the SchedulingLoop only.
#pragma once

#include <cstddef>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/jobs/job_record.h"
#include "leader/scheduling/job_views.h"
#include "leader/scheduling/machine_views.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/start_deadline_estimator.h"
#include "sched/snapshot.h"

namespace seampass::leader {

class SnapshotBuilder {
 public:
  SnapshotBuilder(const SchedulingSources& sources, Fleet& fleet);

  void end_term();

  // Brings the snapshot up to date: machines, teams, jobs, fair shares, then zones kept for gangs.
  // Returns the records of snapshot().jobs, in the same order.
  std::vector<JobRecord*> update();
  [[nodiscard]] sched::ClusterSnapshot& snapshot() { return snapshot_; }
  // The machine at this place; null if it no longer exists.
  [[nodiscard]] Machine* machine_at(std::size_t slot) {
    return fleet_.find(snapshot_.machines[slot].name);
  }
  // A pass changes the view of this machine beyond what the machine itself becomes: it is made
  // again for the next pass.
  void invalidate(std::size_t slot);
  // The machine no longer exists.
  void remove(const Machine& machine) { machines_.remove(machine, snapshot_); }

 private:
  void update_teams();
  void update_fair_shares(const std::vector<JobRecord*>& jobs);

  const SchedulingSources& sources_;
  Fleet& fleet_;
  StartDeadlineEstimator deadlines_;
  MachineViews machines_;
  JobViews jobs_;
  sched::ClusterSnapshot snapshot_;
};

}  // namespace seampass::leader
