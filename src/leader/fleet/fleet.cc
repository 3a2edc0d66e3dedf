#include "leader/fleet/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace seampass::leader {

using net::Ms;

namespace {
constexpr std::size_t kMaxDelete = 100;  // names a request, by the protocol
constexpr int kMaxRent = 50;
// A boot that takes this many times its nominal length is given up.
constexpr double kBootPatience = 3;
// A machine is silent after this share of a lease without a heartbeat, and overdue after so many
// report intervals.
constexpr double kSilentShare = 0.6;
constexpr double kOverdueReports = 1.6;
}  // namespace

Fleet::Fleet(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& catalog,
             const config::Settings& settings, const config::OperatorSettings& operator_settings,
             std::function<void(Machine&)> gone)
    : runtime_(runtime),
      cloud_(cloud),
      catalog_(catalog),
      settings_(settings),
      operator_settings_(operator_settings),
      gone_(std::move(gone)) {}

void Fleet::start_term(std::uint64_t epoch) {
  end_term();
  epoch_ = epoch;
  began_ = runtime_.now();
  poll_list("");
}

void Fleet::end_term() {
  epoch_ = 0;
  machines_.clear();
  to_delete_.clear();
  deleted_.clear();
  pending_scale_out_.clear();
  refused_until_.clear();
  cut_until_.clear();
  deletion_busy_ = false;
}

Machine* Fleet::find(const std::string& name) {
  const auto it = machines_.find(name);
  return it == machines_.end() ? nullptr : &it->second;
}

Machine& Fleet::ensure(const std::string& name) {
  Machine& m = machines_[name];
  if (m.name.empty()) {
    m.name = name;
    m.rented_at = m.idle_since = runtime_.now();
  }
  return m;
}

void Fleet::remove(Machine& machine) {
  mark_for_removal(machine);
  flush_removals();
}

void Fleet::mark_for_removal(Machine& machine) {
  machine.deleting = true;
  to_delete_.insert(machine.name);
}

void Fleet::flush_removals() {
  if (deletion_busy_ || to_delete_.empty()) return;
  deletion_busy_ = true;
  std::vector<std::string> names;
  for (const std::string& n : to_delete_) {
    if (names.size() == kMaxDelete) break;
    names.push_back(n);
  }
  const std::uint64_t epoch = epoch_;
  cloud_.remove(names, [this, epoch, names](bool good) {
    if (epoch != epoch_) return;
    deletion_busy_ = false;
    if (!good) {
      runtime_.after(net::ms(2 / settings_.cloud_rps), [this, epoch] {
        if (epoch == epoch_) flush_removals();
      });
      return;
    }
    for (const std::string& n : names) {
      to_delete_.erase(n);
      deleted_.insert(n);
      const auto it = machines_.find(n);
      if (it == machines_.end()) continue;
      gone_(it->second);
      machines_.erase(n);
    }
    flush_removals();
  });
}

void Fleet::poll_list(const std::string& after) {
  const std::uint64_t epoch = epoch_;
  cloud_.machines(after, [this, epoch](bool good, const wire::MachinePage& page) {
    if (epoch != epoch_ || epoch == 0) return;
    if (good) {
      take_list(page);
      if (page.more && !page.machines.empty()) return poll_list(page.machines.back().name);
    }
    runtime_.after(net::ms(std::max(2 * settings_.list_lag_s, 4 / settings_.cloud_rps)),
                   [this, epoch] {
                     if (epoch == epoch_) poll_list("");
                   });
  });
}

void Fleet::take_list(const wire::MachinePage& page) {
  const Ms now = runtime_.now();
  for (const wire::ListedMachine& l : page.machines) {
    if (deleted(l.name)) continue;  // the list is late
    const bool fresh = find(l.name) == nullptr;
    Machine& m = ensure(l.name);
    if (m.type.empty()) {
      m.addr = l.addr;
      m.type = l.type;
      m.zone = l.zone;
      m.spot = l.spot;
    }
    if (fresh) m.rented_at = now - net::ms(l.age_s);
    if (l.stage == wire::MachineStage::running && m.listed_up < 0) m.listed_up = now;
    if (l.stage == wire::MachineStage::failed && !m.deleting) remove(m);
  }
}

// Silence is counted from when workers could know of this leader.
Ms Fleet::silence(const Machine& machine) const {
  return runtime_.now() - std::max(machine.last_heartbeat_at, began_);
}

bool Fleet::is_silent(const Machine& machine) const {
  return silence(machine) > net::ms(kSilentShare * settings_.lease_s);
}

bool Fleet::is_overdue(const Machine& machine) const {
  return silence(machine) > net::ms(kOverdueReports * settings_.heartbeat_interval_s);
}

double Fleet::boot_s(const Machine& machine) const {
  const wire::MachineType* type = catalog_.find(machine.type);
  return type ? type->boot_s : settings_.lease_s;
}

std::map<std::string, Fleet::ZoneHealth> Fleet::zone_health() const {
  const Ms now = runtime_.now();
  std::map<std::string, ZoneHealth> zones;
  for (const auto& [name, m] : machines_) {
    if (m.deleting || m.zone.empty()) continue;
    ZoneHealth& zone = zones[m.zone];
    if (m.registered) {
      ++zone.up;
      zone.silent += is_silent(m) ? 1 : 0;
      zone.overdue += is_overdue(m) ? 1 : 0;
    } else if (m.listed_up >= 0 &&
               now - std::max(m.listed_up, m.last_heartbeat_at) > net::ms(settings_.lease_s) / 2) {
      ++zone.unheard;
    }
  }
  return zones;
}

void Fleet::update_cut_zones(const std::map<std::string, ZoneHealth>& zones) {
  for (const auto& [name, zone] : zones) {
    const int mute = zone.silent + zone.unheard;
    // (A few that died together are no cut.)
    if (mute > 2 && mute * 4 > (zone.up + zone.unheard) * 3) {
      cut_until_[name] = runtime_.now() + net::ms(settings_.lease_s);
    } else if (zone.up > zone.silent) {
      cut_until_.erase(name);
    }
  }
}

// A machine that this leader has not heard is booting, gone for good, or up for long and about to
// find this leader, which takes a worker up to a report's interval and a try at each other node.
bool Fleet::is_given_up(const Machine& machine) const {
  const Ms lease = net::ms(settings_.lease_s);
  const Ms patience = net::ms(kBootPatience * boot_s(machine));
  const Ms now = runtime_.now();
  return now - machine.rented_at > patience &&
         now - began_ > (machine.attempts.empty() ? lease : std::max(lease, patience));
}

// Deletion is the quickest proof that the tasks of a silent machine are gone. Where several miss
// their reports at once the network is the likelier cause, this leader's own perhaps, and their
// work may yet come back within the lease. (Machines become silent one after the other, by when
// each was heard last: the first of many would look alone if only the silent ones were counted.)
bool Fleet::is_lost(const Machine& silent, const ZoneHealth& zone) const {
  const bool alone = zone.overdue * 3 <= zone.up || zone.overdue == 1;
  const Ms lease = net::ms(settings_.lease_s);
  return alone || silence(silent) > lease + lease / 50;
}

bool Fleet::is_surplus(Machine& machine, bool kept) {
  const Ms now = runtime_.now();
  if (!machine.attempts.empty() || machine.unknown_tasks != 0 || kept) {
    machine.idle_since = now;
    return false;
  }
  return machine.draining || machine.preemption_at ||
         now - machine.idle_since > net::ms(operator_settings_.idle_return * boot_s(machine));
}

void Fleet::tick(const std::set<std::string>& kept) {
  const auto zones = zone_health();
  update_cut_zones(zones);
  for (auto& [name, m] : machines_) {
    if (m.deleting) continue;
    bool unwanted = false;
    if (!m.registered) {
      unwanted = is_given_up(m);
    } else if (is_silent(m)) {
      const auto zone = zones.find(m.zone);
      unwanted = is_lost(m, zone == zones.end() ? ZoneHealth{} : zone->second);
    } else {
      unwanted = is_surplus(m, kept.contains(name));
    }
    if (!unwanted) continue;
    spdlog::debug("returning {} ({}, up {}, {} tasks)", m.name, m.type, m.registered,
                  m.attempts.size());
    mark_for_removal(m);
  }
  flush_removals();
}

std::vector<sched::ScaleOutOption> Fleet::options() const {
  std::vector<sched::ScaleOutOption> list;
  const Ms now = runtime_.now();
  for (const auto& [name, t] : catalog_.types())
    for (const std::string& zone : t.zones) {
      const auto cut = cut_until_.find(zone);
      if (cut != cut_until_.end() && now < cut->second) continue;
      for (const bool spot : {true, false}) {
        const auto it = refused_until_.find({name, zone, spot});
        if (it != refused_until_.end() && now < it->second) continue;
        list.push_back(
            {name, zone, spot, spot ? t.spot_price : t.price, {t.cpus, t.gpus, t.memory_gb}});
      }
    }
  return list;
}

void Fleet::rent(const sched::ScaleOutOption& option, int count) {
  // The epoch and the counter make a name that is never used again.
  const std::string request = "r" + std::to_string(epoch_) + "-" + std::to_string(++counter_);
  const wire::Rental rental{request, option.type, option.zone, option.spot,
                            std::min(count, kMaxRent)};
  pending_scale_out_[request] = {option.type, option.zone, option.spot, rental.count};
  const std::uint64_t epoch = epoch_;
  spdlog::debug("renting {} {} in {} spot {}", rental.count, rental.type, rental.zone, rental.spot);
  cloud_.rent(rental, [this, epoch, request, rental](cloud::Rented result,
                                                     const std::vector<std::string>& names) {
    if (epoch != epoch_) return;
    pending_scale_out_.erase(request);
    const Ms now = runtime_.now();
    for (const std::string& n : names) {
      if (deleted(n)) continue;
      Machine& m = ensure(n);
      if (!m.type.empty()) continue;
      m.type = rental.type;
      m.zone = rental.zone;
      m.spot = rental.spot;
      m.rented_at = now;
    }
    // No answer: whatever was rented shows in the list, and is used or returned.
    if (result != cloud::Rented::ok || static_cast<int>(names.size()) < rental.count)
      refused_until_[{rental.type, rental.zone, rental.spot}] =
          now + net::ms(std::max(4 * settings_.list_lag_s, 4 / settings_.cloud_rps));
  });
}

}  // namespace seampass::leader
