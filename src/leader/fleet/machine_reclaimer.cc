#include "leader/fleet/machine_reclaimer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace seampass::leader {

using net::Ms;

namespace {
constexpr std::size_t kMaxDelete = 100;  // names a request, by the protocol
// A boot that takes this many times its nominal length has failed.
constexpr double kBootPatience = 3;
}  // namespace

MachineReclaimer::MachineReclaimer(net::Runtime& runtime, cloud::Client& cloud,
                                   const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings,
                                   ZoneMonitor& zones, MachineInventory& inventory,
                                   std::function<void(Machine&)> on_gone)
    : runtime_(runtime),
      cloud_(cloud),
      settings_(settings),
      operator_settings_(operator_settings),
      zones_(zones),
      inventory_(inventory),
      on_gone_(std::move(on_gone)) {}

void MachineReclaimer::end_term() {
  term_.renew();
  to_delete_.clear();
  deletion_in_flight_ = false;
}

void MachineReclaimer::remove(Machine& machine) {
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
    if (names.size() == kMaxDelete) break;
    names.push_back(name);
  }
  cloud_.remove(names, term_.wrap([this, names](bool good) {
    deletion_in_flight_ = false;
    if (good) return on_deleted(names);
    runtime_.after(net::ms(2 / settings_.cloud_rps), term_.wrap([this] { flush_removals(); }));
  }));
}

void MachineReclaimer::on_deleted(const std::vector<std::string>& names) {
  for (const std::string& name : names) {
    to_delete_.erase(name);
    inventory_.note_deleted(name);
    Machine* machine = inventory_.find(name);
    if (!machine) continue;
    on_gone_(*machine);
    inventory_.erase(name);
  }
  flush_removals();
}

// A machine that this leader has not heard is booting, gone for good, or up for long and about to
// find this leader, which takes a worker up to a report's interval and a try at each other node.
bool MachineReclaimer::failed_to_start(const Machine& machine) const {
  const Ms lease = net::ms(settings_.lease_s);
  const Ms patience = net::ms(kBootPatience * inventory_.boot_s(machine));
  const Ms now = runtime_.now();
  return now - machine.rented_at > patience &&
         inventory_.since_began() > (machine.attempts.empty() ? lease : std::max(lease, patience));
}

// Deletion is the quickest proof that the tasks of a silent machine are gone. Where several miss
// their reports at once the network is the likelier cause, this leader's own perhaps, and their
// work may yet come back within the lease. (Machines become silent one after the other, by when
// each was heard last: the first of many would look alone if only the silent ones were counted.)
bool MachineReclaimer::is_lost(const Machine& silent, const ZoneHealth& zone) const {
  const bool alone = zone.overdue * 3 <= zone.up || zone.overdue == 1;
  const Ms lease = net::ms(settings_.lease_s);
  return alone || inventory_.silence(silent) > lease + lease / 50;
}

// The time for which a machine has been idle is counted while it is not reserved.
bool MachineReclaimer::is_surplus(Machine& machine, Use use) {
  const Ms now = runtime_.now();
  if (!machine.attempts.empty() || machine.unknown_tasks != 0 || use == Use::reserved) {
    machine.idle_since = now;
    return false;
  }
  const Ms patience = net::ms(operator_settings_.idle_return * inventory_.boot_s(machine));
  return machine.draining || machine.preemption_at || now - machine.idle_since > patience;
}

bool MachineReclaimer::is_unwanted(Machine& machine, const std::map<std::string, ZoneHealth>& zones,
                                   const std::set<std::string>& reserved) {
  if (!machine.registered) return failed_to_start(machine);
  if (inventory_.is_silent(machine)) {
    const auto zone = zones.find(machine.zone);
    return is_lost(machine, zone == zones.end() ? ZoneHealth{} : zone->second);
  }
  return is_surplus(machine, reserved.contains(machine.name) ? Use::reserved : Use::free);
}

void MachineReclaimer::reclaim_unwanted(const std::set<std::string>& reserved) {
  const auto zones = zones_.measure();
  zones_.update_cut_zones(zones);
  for (auto& [name, machine] : inventory_.machines()) {
    if (machine.deleting || !is_unwanted(machine, zones, reserved)) continue;
    spdlog::debug("returning {} ({}, up {}, {} tasks)", machine.name, machine.type,
                  machine.registered, machine.attempts.size());
    mark_for_removal(machine);
  }
  flush_removals();
}

}  // namespace seampass::leader
