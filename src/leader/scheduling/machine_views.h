// MachineViews maintains the machines of the scheduling snapshot. The views persist from pass to
// pass: a machine's view is rebuilt only after the machine has changed. The class owns the list of
// free slots in the snapshot. The SnapshotBuilder calls it before every pass.
#pragma once

#include <cstddef>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/scheduling/sources.h"
#include "net/runtime.h"
#include "sched/sched.h"
#include "wire/types.h"

namespace seampass::leader {

class MachineViews {
 public:
  MachineViews(const SchedulingSources& sources, Fleet& fleet) : sources_(sources), fleet_(fleet) {}

  void end_term() { free_slots_.clear(); }
  void update(sched::ClusterSnapshot& snapshot);
  // Clears the slot of a machine that no longer exists, so that another machine can use the slot.
  void remove(const Machine& machine, sched::ClusterSnapshot& snapshot);

 private:
  void assign_slot(Machine& machine, sched::ClusterSnapshot& snapshot);
  void update_availability(sched::MachineView& view, const Machine& machine,
                           const wire::MachineType& type) const;
  void update_pending_scale_out(sched::ClusterSnapshot& snapshot) const;

  const SchedulingSources& sources_;
  Fleet& fleet_;
  std::vector<std::size_t> free_slots_;
};

}  // namespace seampass::leader
