#include "leader/scheduling/machine_views.h"

#include "leader/scheduling/views.h"

namespace seampass::leader {

using net::Ms;

void MachineViews::update(sched::ClusterSnapshot& snapshot) {
  for (auto& [name, machine] : fleet_.machines()) {
    const wire::MachineType* type = sources_.catalog.find(machine.type);
    if (!type) continue;
    if (machine.slot == Machine::kNoSlot) assign_slot(machine, snapshot);
    sched::MachineView& view = snapshot.machines[machine.slot];
    if (machine.view_stale) {
      update_view(view, machine, *type);
      machine.view_stale = false;
    }
    update_availability(view, machine, *type);
  }
  update_pending_scale_out(snapshot);
}

void MachineViews::assign_slot(Machine& machine, sched::ClusterSnapshot& snapshot) {
  if (free_slots_.empty()) {
    machine.slot = snapshot.machines.size();
    snapshot.machines.emplace_back();
  } else {
    machine.slot = free_slots_.back();
    free_slots_.pop_back();
  }
  machine.view_stale = true;
}

void MachineViews::remove(const Machine& machine, sched::ClusterSnapshot& snapshot) {
  if (machine.slot == Machine::kNoSlot) return;
  snapshot.machines[machine.slot] = {};
  free_slots_.push_back(machine.slot);
}

// Updates the fields that depend on the current time. This runs for every machine in every pass,
// even if the machine itself has not changed.
void MachineViews::update_availability(sched::MachineView& view, const Machine& machine,
                                       const wire::MachineType& type) const {
  const Ms now = sources_.runtime.now();
  // A machine whose last heartbeat is older than a third of the worker lease takes no new tasks:
  // its worker may never receive their starts.
  const Ms max_heartbeat_age = net::ms(sources_.settings.lease_s) / 3;
  view.price = machine.spot ? type.spot_price : type.price;
  view.schedulable = machine.registered && !machine.deleting && !machine.draining &&
                     !machine.preemption_at && machine.unknown_tasks == 0 &&
                     now >= machine.quarantined_until &&
                     now - machine.last_heartbeat_at < max_heartbeat_age;
  // A worker shows this leader's epoch within one heartbeat interval of its first heartbeat. A
  // machine whose worker does not do so does not count as booting, because it will not become
  // schedulable soon.
  view.booting = !machine.registered && !machine.deleting && machine.attempts.empty() &&
                 (machine.first_heartbeat_at ? now - *machine.first_heartbeat_at <
                                                   net::ms(sources_.settings.heartbeat_interval_s)
                                             : now - machine.rented_at < net::ms(2 * type.boot_s));
  view.nominated_job.clear();
  if (now < machine.nominated_until && sources_.jobs.contains(machine.nominated_job))
    view.nominated_job = machine.nominated_job;
}

void MachineViews::update_pending_scale_out(sched::ClusterSnapshot& snapshot) const {
  snapshot.pending_scale_out.clear();
  for (const auto& [request, rental] : fleet_.pending_scale_out()) {
    const wire::MachineType* type = sources_.catalog.find(rental.type);
    if (!type) continue;
    snapshot.pending_scale_out.insert(snapshot.pending_scale_out.end(),
                                      static_cast<std::size_t>(rental.count),
                                      view_of_pending(rental, *type));
  }
}

}  // namespace seampass::leader
