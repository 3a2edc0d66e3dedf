// The schedulable machines of a snapshot, in pools of machines that the same jobs may use, so that
// the filter is asked once for each pool rather than for each machine.
#pragma once

#include <cstddef>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/score.h"

namespace seampass::sched {

// Machines of one type, zone and spot kind.
struct MachinePool {
  const MachineView* sample = nullptr;  // any of them: they are alike to the filter
  std::vector<std::size_t> machines;    // indices into ClusterSnapshot::machines
  // Requests that no machine of the pool had room for in this pass: a request for as much or more
  // need not be compared. Room only shrinks in a pass, except where reservations are released,
  // which clears these.
  std::vector<Resources> infeasible_requests;
};

// Lives for one pass. It refers to the snapshot, whose machines must not move meanwhile.
class MachinePools {
 public:
  explicit MachinePools(const ClusterSnapshot& snapshot);

  [[nodiscard]] const std::vector<MachinePool>& all() const { return pools_; }

  // Machines with room for one task of the job, best first; in one zone only if `zone` is given.
  // (Once a task is placed, its machine is the tighter fit, so that it stays the best for as long
  // as it has room.)
  [[nodiscard]] std::vector<MachineScore> candidates(const JobView& job, const std::string* zone);

  // Room came free: what was infeasible may fit now.
  void forget_infeasible_requests();

  // How many machines candidates() has compared with a job.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  void add_candidates(const JobView& job, MachinePool& pool, std::vector<MachineScore>& list);

  const ClusterSnapshot& snapshot_;
  std::vector<MachinePool> pools_;
  std::size_t machines_examined_ = 0;
};

}  // namespace seampass::sched
