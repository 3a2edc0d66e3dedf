// The machines that the leader knows of in one term, and how long each has been silent. Owns the
// Machine records: a record stays where it is in memory until its machine is known to be deleted.
// Used by the leader's loop only; times in milliseconds of the steady clock.
#pragma once

#include <map>
#include <set>
#include <string>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/fleet/machine.h"
#include "net/runtime.h"
#include "wire/types.h"

namespace seampass::leader {

class MachineInventory {
 public:
  using Map = std::map<std::string, Machine>;  // by name

  MachineInventory(net::Runtime& runtime, const cloud::MachineCatalog& catalog,
                   const config::Settings& settings);

  void start_term() { began_ = runtime_.now(); }
  void end_term();

  // Null if it is not known, or known to be deleted.
  [[nodiscard]] Machine* find(const std::string& name);
  // The machine of this name, as one that was rented now if nothing was known of it.
  Machine& ensure(const std::string& name);
  [[nodiscard]] Map& machines() { return machines_; }
  [[nodiscard]] const Map& machines() const { return machines_; }

  // Takes over what the cloud's list says of a machine. The caller drops late news of a deleted
  // one.
  Machine& register_listed(const wire::ListedMachine& listed);
  // Takes over the name that answers a rental; nothing if the machine's heartbeat came first.
  void register_rented(const std::string& name, const wire::Rental& rental);

  // The cloud has confirmed its deletion. Only late news comes from such a machine.
  [[nodiscard]] bool deleted(const std::string& name) const { return deleted_.contains(name); }
  void note_deleted(const std::string& name) { deleted_.insert(name); }
  void erase(const std::string& name) { machines_.erase(name); }

  // Since this term began.
  [[nodiscard]] net::Ms since_began() const { return runtime_.now() - began_; }
  // Counted from when workers could know of this leader.
  [[nodiscard]] net::Ms silence(const Machine& machine) const;
  // No heartbeat for most of a lease.
  [[nodiscard]] bool is_silent(const Machine& machine) const;
  // Whether a report of this machine should have come.
  [[nodiscard]] bool is_overdue(const Machine& machine) const;
  // The nominal length of its type's boot, in seconds.
  [[nodiscard]] double boot_s(const Machine& machine) const;

 private:
  net::Runtime& runtime_;
  const cloud::MachineCatalog& catalog_;
  const config::Settings& settings_;
  net::Ms began_ = 0;
  Map machines_;
  std::set<std::string> deleted_;
};

}  // namespace seampass::leader
