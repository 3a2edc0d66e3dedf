// Groups the schedulable machines of a snapshot into pools. All machines of a pool are alike to the
// filter, so that the filter runs once per pool rather than once per machine. The placers and the
// preemptor of a pass use the pools. There are no errors.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/score.h"

namespace seampass::sched {

// Machines of one type, zone and spot kind.
struct MachinePool {
  const MachineView* sample = nullptr;  // any machine of the pool, for the filter
  std::vector<std::size_t> machines;    // indices into ClusterSnapshot::machines
  // Requests that fit on no machine of the pool in this pass. A request for as much or more does
  // not fit either and is not compared with the machines again. Free resources only shrink during a
  // pass, except when a gang's reservations are released; that clears this list.
  std::vector<Resources> infeasible_requests;
};

// An instance serves one pass. It holds pointers to the snapshot's machines, so the list of
// machines must not change meanwhile.
class MachinePools {
 public:
  explicit MachinePools(const ClusterSnapshot& snapshot);

  [[nodiscard]] const std::vector<MachinePool>& all() const { return pools_; }

  // Returns the machines that one task of the job fits on, best score first. If `zone` is given,
  // only machines in that zone are returned. The order stays valid while the caller places several
  // tasks of the job: a machine that takes a task has fewer free resources, so its score improves
  // and it stays the best one for as long as another task fits.
  [[nodiscard]] std::vector<MachineScore> candidates(const JobView& job, const std::string* zone);

  // Clears the recorded infeasible requests. To be called when reserved resources are released,
  // because requests that did not fit before may fit afterwards.
  void clear_infeasible_requests();

  // Returns how many comparisons of a machine with a job candidates() has made.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  void add_candidates(const JobView& job, MachinePool& pool, std::vector<MachineScore>& list);

  const ClusterSnapshot& snapshot_;
  std::vector<MachinePool> pools_;
  std::size_t machines_examined_ = 0;
};

}  // namespace seampass::sched
