#include "leader/fleet/machine_reclaimer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace seampass::leader {

using net::Ms;

namespace {
// The maximum number of machine names in one deletion request, a limit of the cloud protocol.
constexpr std::size_t kMaxNamesPerDeletion = 100;
// A boot that takes longer than this many times its nominal time has failed.
constexpr double kBootTimeoutFactor = 3;
}  // namespace

MachineReclaimer::MachineReclaimer(net::Runtime& runtime, cloud::Client& cloud,
                                   const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings,
                                   ZoneMonitor& zones, MachineInventory& inventory,
                                   std::function<void(Machine&)> on_machine_deleted)
    : runtime_(runtime),
      cloud_(cloud),
      settings_(settings),
      operator_settings_(operator_settings),
      zones_(zones),
      inventory_(inventory),
      on_machine_deleted_(std::move(on_machine_deleted)) {}

void MachineReclaimer::end_term() {
  term_.renew();
  to_delete_.clear();
  deletion_in_flight_ = false;
}

void MachineReclaimer::request_deletion(Machine& machine) {
  mark_for_removal(machine);
  flush_removals();
}

void MachineReclaimer::mark_for_removal(Machine& machine) {
  machine.deleting = true;
  to_delete_.insert(machine.name);
}

void MachineReclaimer::flush_removals() {
  if (deletion_in_flight_ || to_delete_.empty()) return;
  deletion_in_flight_ = true;
  std::vector<std::string> names;
  for (const std::string& name : to_delete_) {
    if (names.size() == kMaxNamesPerDeletion) break;
    names.push_back(name);
  }
  cloud_.remove(names, term_.wrap([this, names](bool confirmed) {
    deletion_in_flight_ = false;
    if (confirmed) return on_deleted(names);
    runtime_.after(net::ms(2 / settings_.cloud_rps), term_.wrap([this] { flush_removals(); }));
  }));
}

void MachineReclaimer::on_deleted(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    to_delete_.erase(name);
    inventory_.mark_deleted(name);
    Machine* machine = inventory_.find(name);
    if (!machine) continue;
    on_machine_deleted_(*machine);
    inventory_.erase(name);
  }
  flush_removals();
}

// Returns true if the machine has failed to start. A machine that has not registered with this
// leader is either booting, or permanently dead, or it has been running for a while and its worker
// is still searching for this leader. The search takes a worker up to one heartbeat interval plus
// one attempt at each other node.
bool MachineReclaimer::failed_to_start(const Machine& machine) const {
  const Ms lease = net::ms(settings_.lease_s);
  const Ms boot_timeout = net::ms(kBootTimeoutFactor * inventory_.boot_s(machine));
  const Ms now = runtime_.now();
  return now - machine.rented_at > boot_timeout &&
         inventory_.since_term_start() >
             (machine.attempts.empty() ? lease : std::max(lease, boot_timeout));
}

// Returns true if a machine whose heartbeat has timed out should be deleted. Deletion is the
// fastest way to prove that the tasks of such a machine are absent. If the heartbeats of several
// machines of a zone are overdue at the same time, however, a network failure, perhaps at this
// leader, is the more likely cause, and the machines may reconnect with their tasks within the
// lease. Such machines are deleted only after the lease. The check counts overdue machines rather
// than timed-out ones: heartbeats time out one after another, so the first of many affected
// machines would look like a single failure.
bool MachineReclaimer::is_lost(const Machine& machine, const ZoneHealth& zone) const {
  const bool is_single_failure = zone.overdue * 3 <= zone.registered || zone.overdue == 1;
  const Ms lease = net::ms(settings_.lease_s);
  return is_single_failure || inventory_.heartbeat_age(machine) > lease + lease / 50;
}

// Returns true if the machine is idle and no longer needed. The idle time restarts while the
// machine is in use or reserved.
bool MachineReclaimer::is_surplus(Machine& machine, Availability availability) {
  const Ms now = runtime_.now();
  if (!machine.attempts.empty() || machine.unknown_tasks != 0 ||
      availability == Availability::reserved) {
    machine.idle_since = now;
    return false;
  }
  const Ms idle_timeout = net::ms(operator_settings_.idle_return * inventory_.boot_s(machine));
  return machine.draining || machine.preemption_at || now - machine.idle_since > idle_timeout;
}

bool MachineReclaimer::is_unwanted(Machine& machine, const std::map<std::string, ZoneHealth>& zones,
                                   const std::set<std::string>& reserved) {
  if (!machine.registered) return failed_to_start(machine);
  if (inventory_.heartbeat_timed_out(machine)) {
    const auto zone = zones.find(machine.zone);
    return is_lost(machine, zone == zones.end() ? ZoneHealth{} : zone->second);
  }
  return is_surplus(machine,
                    reserved.contains(machine.name) ? Availability::reserved : Availability::free);
}

void MachineReclaimer::reclaim_unwanted(const std::set<std::string>& reserved) {
  const auto zones = zones_.measure();
  zones_.update_unreachable_zones(zones);
  for (auto& [name, machine] : inventory_.machines()) {
    if (machine.deleting || !is_unwanted(machine, zones, reserved)) continue;
    spdlog::debug("returning machine {} to the cloud (type {}, registered {}, {} tasks)",
                  machine.name, machine.type, machine.registered, machine.attempts.size());
    mark_for_removal(machine);
  }
  flush_removals();
}

}  // namespace seampass::leader
