// The machines of the snapshot, kept from pass to pass: the view of a machine is made again only
// after the machine has changed. Owns which places in the snapshot are free.
#pragma once

#include <cstddef>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/scheduling/sources.h"
#include "net/runtime.h"
#include "sched/snapshot.h"
#include "wire/types.h"

namespace seampass::leader {

class MachineViews {
 public:
  MachineViews(const SchedulingSources& sources, Fleet& fleet) : sources_(sources), fleet_(fleet) {}

  void end_term() { free_slots_.clear(); }
  void update(sched::ClusterSnapshot& snapshot);
  // The machine no longer exists: its place is free for another.
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
