// ScaleOut rents machines from the cloud. It owns the rentals that have no answer yet and the
// options that the cloud recently refused. All calls come from the leader's event loop. Answers to
// requests of an earlier term are ignored.
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
#include "sched/sched.h"

namespace seampass::leader {

// A rental that has been requested from the cloud and has no answer yet.
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

  // The options that may be rented now, in the order of the catalog. It leaves out zones that look
  // unreachable, and options for which a recent rental got no answer or fewer machines than
  // requested.
  [[nodiscard]] std::vector<sched::ScaleOutOption> options() const;
  // Rents `count` machines of this option, but at most as many as one rental may request.
  void rent(const sched::ScaleOutOption& option, int count);
  // The rentals without an answer, by request name.
  [[nodiscard]] const std::map<std::string, PendingScaleOut>& pending() const { return pending_; }

 private:
  void on_answer(const wire::Rental& rental, cloud::RentalResult result,
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
