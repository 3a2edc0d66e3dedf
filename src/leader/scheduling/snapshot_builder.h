// The SnapshotBuilder owns the snapshot of the cluster on which scheduling passes decide. The
// snapshot persists from pass to pass: the builder updates it in place and never copies it. Only
// the SchedulingLoop uses this class.
#pragma once

#include <cstddef>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/jobs/job_record.h"
#include "leader/scheduling/job_views.h"
#include "leader/scheduling/machine_views.h"
#include "leader/scheduling/sources.h"
#include "leader/scheduling/start_deadline_estimator.h"
#include "sched/sched.h"

namespace seampass::leader {

class SnapshotBuilder {
 public:
  SnapshotBuilder(const SchedulingSources& sources, Fleet& fleet);

  void end_term();

  // Updates the snapshot in this order: machines, teams, jobs, fair shares, then the zones that are
  // reserved for gangs. Returns the records of snapshot().jobs, in the same order.
  std::vector<JobRecord*> update();
  [[nodiscard]] sched::ClusterSnapshot& snapshot() { return snapshot_; }
  // The machine in this slot of the snapshot; null if the machine no longer exists.
  [[nodiscard]] Machine* machine_at(std::size_t slot) {
    return fleet_.find(snapshot_.machines[slot].name);
  }
  // Marks the view of the machine in this slot to be rebuilt for the next pass. The caller uses
  // this when a pass has changed the view in a way that does not follow from a change of the
  // machine itself.
  void invalidate(std::size_t slot);
  // Removes a machine that no longer exists from the snapshot.
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
