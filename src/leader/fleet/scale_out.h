// Rents machines. Owns the rentals that have no answer yet, and which offers the cloud refused a
// short while ago. Used by the leader's loop only; answers of an earlier term are dropped.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "cloud/client.h"
#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/fleet/machine_inventory.h"
#include "leader/fleet/zone_monitor.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "sched/snapshot.h"

namespace seampass::leader {

// A rental that is asked for and not answered yet.
struct PendingScaleOut {
  std::string type, zone;
  bool spot = false;
  int count = 0;
};

class ScaleOut {
 public:
  ScaleOut(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& catalog,
           const config::Settings& settings, const ZoneMonitor& zones, MachineInventory& inventory);

  void start_term(std::uint64_t epoch) { epoch_ = epoch; }
  void end_term();

  // What may be rented now, in the order of the catalog: neither in a zone that looks cut off nor
  // where the cloud had too little a short while ago.
  [[nodiscard]] std::vector<sched::RentalOption> options() const;
  // `count` machines of this kind, or as many as one request may ask for.
  void rent(const sched::RentalOption& option, int count);
  // By the rental's name.
  [[nodiscard]] const std::map<std::string, PendingScaleOut>& pending() const { return pending_; }

 private:
  void on_answer(const wire::Rental& rental, cloud::Rented result,
                 const std::vector<std::string>& names);

  net::Runtime& runtime_;
  cloud::Client& cloud_;
  const cloud::MachineCatalog& catalog_;
  const config::Settings& settings_;
  const ZoneMonitor& zones_;
  MachineInventory& inventory_;
  net::CallbackScope term_;
  std::uint64_t epoch_ = 0, counter_ = 0;
  std::map<std::string, PendingScaleOut> pending_;
  std::map<std::tuple<std::string, std::string, bool>, net::Ms> refused_until_;
};

}  // namespace seampass::leader
