#include "leader/fleet.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace seampass::leader {

using net::Ms;

namespace {
constexpr std::size_t kMaxDelete = 100;  // names a request, by the protocol
constexpr int kMaxRent = 50;
// A boot that takes this many times its nominal length is given up.
constexpr double kBootPatience = 3;
}  // namespace

Fleet::Fleet(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& types,
             const config::Settings& settings, const config::Operator& op,
             std::function<void(Machine&)> gone)
    : runtime_(runtime),
      cloud_(cloud),
      types_(types),
      settings_(settings),
      operator_(op),
      gone_(std::move(gone)) {}

void Fleet::begin(std::uint64_t warrant) {
  stop();
  warrant_ = warrant;
  began_ = runtime_.now();
  poll_list("");
}

void Fleet::stop() {
  warrant_ = 0;
  machines_.clear();
  to_delete_.clear();
  deleted_.clear();
  asked_.clear();
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
    m.since = m.idle_since = runtime_.now();
  }
  return m;
}

void Fleet::remove(Machine& machine) {
  machine.deleting = true;
  to_delete_.insert(machine.name);
  flush_removals();
}

void Fleet::flush_removals() {
  if (deletion_busy_ || to_delete_.empty()) return;
  deletion_busy_ = true;
  std::vector<std::string> names;
  for (const std::string& n : to_delete_) {
    if (names.size() == kMaxDelete) break;
    names.push_back(n);
  }
  const std::uint64_t warrant = warrant_;
  cloud_.remove(names, [this, warrant, names](bool good) {
    if (warrant != warrant_) return;
    deletion_busy_ = false;
    if (!good) {
      runtime_.after(net::ms(2 / settings_.cloud_rps), [this, warrant] {
        if (warrant == warrant_) flush_removals();
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
  const std::uint64_t warrant = warrant_;
  cloud_.machines(after, [this, warrant](bool good, const wire::MachinePage& page) {
    if (warrant != warrant_ || warrant == 0) return;
    if (good) {
      take_list(page);
      if (page.more && !page.machines.empty()) return poll_list(page.machines.back().name);
    }
    runtime_.after(net::ms(std::max(2 * settings_.list_lag_s, 4 / settings_.cloud_rps)),
                   [this, warrant] {
                     if (warrant == warrant_) poll_list("");
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
    if (fresh) m.since = now - net::ms(l.age_s);
    if (l.stage == wire::MachineStage::running && m.listed_up < 0) m.listed_up = now;
    if (l.stage == wire::MachineStage::failed && !m.deleting) remove(m);
  }
}

void Fleet::tick(const std::set<std::string>& kept) {
  const Ms now = runtime_.now();
  const Ms lease = net::ms(settings_.lease_s);
  // unheard: up by the list, for long enough to have reported.
  std::map<std::string, int> silent;
  std::map<std::string, int> up;
  std::map<std::string, int> unheard;
  const auto is_silent = [&](const Machine& m) {
    // Silence is counted from when workers could know of this leader.
    return now - std::max(m.heard, began_) > lease * 3 / 5;
  };
  for (const auto& [name, m] : machines_) {
    if (m.deleting || m.zone.empty()) continue;
    if (m.up) {
      ++up[m.zone];
      silent[m.zone] += is_silent(m) ? 1 : 0;
    } else if (m.listed_up >= 0 && now - std::max(m.listed_up, m.heard) > lease / 2) {
      ++unheard[m.zone];
    }
  }
  for (const auto& zones : {up, unheard}) {
    for (const auto& [zone, n] : zones) {
      const int mute = silent[zone] + unheard[zone];
      // (A few that died together are no cut.)
      if (mute > 2 && mute * 4 > (up[zone] + unheard[zone]) * 3)
        cut_until_[zone] = now + lease;
      else if (up[zone] > silent[zone])
        cut_until_.erase(zone);
    }
  }
  std::vector<Machine*> doomed;
  for (auto& [name, m] : machines_) {
    if (m.deleting) continue;
    const wire::MachineType* type = types_.find(m.type);
    if (!m.up) {
      // Not heard yet: booting, gone for good, or up for long and about to find this leader, which
      // takes a worker up to a report's interval and a try at each other node.
      const double boot = type ? type->boot_s : settings_.lease_s;
      const Ms patience = net::ms(kBootPatience * boot);
      if (now - m.since > patience &&
          now - began_ > (m.attempts.empty() ? lease : std::max(lease, patience)))
        doomed.push_back(&m);
      continue;
    }
    if (is_silent(m)) {
      // Deletion is the quickest proof that its tasks are gone. Where several fall silent at once
      // the network is the likelier cause, and their work may yet come back within the lease.
      const bool alone = silent[m.zone] * 3 <= up[m.zone] || silent[m.zone] == 1;
      if (alone || now - std::max(m.heard, began_) > lease + lease / 50) doomed.push_back(&m);
      continue;
    }
    if (m.attempts.empty() && m.unknown_tasks == 0 && !kept.contains(name)) {
      const double boot = type ? type->boot_s : settings_.lease_s;
      if (m.draining || m.taken_at || now - m.idle_since > net::ms(operator_.idle_return * boot))
        doomed.push_back(&m);
    } else {
      m.idle_since = now;
    }
  }
  for (Machine* m : doomed) {
    spdlog::debug("returning {} ({}, up {}, {} tasks)", m->name, m->type, m->up,
                  m->attempts.size());
    remove(*m);
  }
}

std::vector<sched::RentalOption> Fleet::options() const {
  std::vector<sched::RentalOption> list;
  const Ms now = runtime_.now();
  for (const auto& [name, t] : types_.types())
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

void Fleet::rent(const sched::RentalOption& option, int count) {
  // The warrant and the counter make a name that is never used again.
  const std::string request = "r" + std::to_string(warrant_) + "-" + std::to_string(++counter_);
  const wire::Rental rental{request, option.type, option.zone, option.spot,
                            std::min(count, kMaxRent)};
  asked_[request] = {option.type, option.zone, option.spot, rental.count};
  const std::uint64_t warrant = warrant_;
  spdlog::debug("renting {} {} in {} spot {}", rental.count, rental.type, rental.zone, rental.spot);
  cloud_.rent(rental, [this, warrant, request, rental](cloud::Rented result,
                                                       const std::vector<std::string>& names) {
    if (warrant != warrant_) return;
    asked_.erase(request);
    const Ms now = runtime_.now();
    for (const std::string& n : names) {
      if (deleted(n)) continue;
      Machine& m = ensure(n);
      if (!m.type.empty()) continue;
      m.type = rental.type;
      m.zone = rental.zone;
      m.spot = rental.spot;
      m.since = now;
    }
    // No answer: whatever was rented shows in the list, and is used or returned.
    if (result != cloud::Rented::ok || static_cast<int>(names.size()) < rental.count)
      refused_until_[{rental.type, rental.zone, rental.spot}] =
          now + net::ms(std::max(4 * settings_.list_lag_s, 4 / settings_.cloud_rps));
  });
}

}  // namespace seampass::leader
