// The MachineInventory holds the machines that the leader knows in one term and the age of their
// last heartbeat. It owns the Machine records: a record keeps its address in memory until the cloud
// has confirmed that its machine is deleted. All calls come from the leader's event loop. Times of
// type net::Ms are in milliseconds of the steady clock.
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
  using Map = std::map<std::string, Machine>;  // by machine name

  MachineInventory(net::Runtime& runtime, const cloud::MachineCatalog& catalog,
                   const config::Settings& settings);

  void start_term() { term_started_at_ = runtime_.now(); }
  void end_term();

  // The machine of this name; null if the name is unknown or the machine is known to be deleted.
  [[nodiscard]] Machine* find(const std::string& name);
  // The machine of this name. If the name is unknown, a new record is created as if the machine had
  // been rented now.
  Machine& ensure(const std::string& name);
  [[nodiscard]] Map& machines() { return machines_; }
  [[nodiscard]] const Map& machines() const { return machines_; }

  // Stores what the cloud's list says about a machine. The caller must not pass machines that are
  // known to be deleted, which an old list may still contain.
  Machine& register_listed(const wire::ListedMachine& listed);
  // Stores a machine whose name the cloud returned for a rental. Does nothing if the machine's type
  // is already known, for example because its heartbeat arrived before the cloud's answer.
  void register_rented(const std::string& name, const wire::Rental& rental);

  // True if the cloud has confirmed that the machine is deleted. Any message from or about such a
  // machine is out of date.
  [[nodiscard]] bool is_deleted(const std::string& name) const { return deleted_.contains(name); }
  void mark_deleted(const std::string& name) { deleted_.insert(name); }
  void erase(const std::string& name) { machines_.erase(name); }

  // The time since this term started.
  [[nodiscard]] net::Ms since_term_start() const { return runtime_.now() - term_started_at_; }
  // The time since the last heartbeat of this machine, or since this term started if that is
  // shorter: before then, workers could not know of this leader.
  [[nodiscard]] net::Ms heartbeat_age(const Machine& machine) const;
  // True if no heartbeat has arrived for more than 60% of a worker lease.
  [[nodiscard]] bool heartbeat_timed_out(const Machine& machine) const;
  // True if no heartbeat has arrived for more than 1.6 heartbeat intervals, so that the next one is
  // overdue.
  [[nodiscard]] bool is_overdue(const Machine& machine) const;
  // The nominal boot time of the machine's type, in seconds; the worker lease if the type is
  // unknown.
  [[nodiscard]] double boot_s(const Machine& machine) const;

 private:
  net::Runtime& runtime_;
  const cloud::MachineCatalog& catalog_;
  const config::Settings& settings_;
  net::Ms term_started_at_ = 0;
  Map machines_;
  std::set<std::string> deleted_;
};

}  // namespace seampass::leader
