#include "leader/fleet/scale_out.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace seampass::leader {

using net::Ms;

ScaleOut::ScaleOut(net::Runtime& runtime, cloud::Client& cloud,
                   const cloud::MachineCatalog& catalog, const config::Settings& settings,
                   const ZoneMonitor& zones, MachineInventory& inventory)
    : runtime_(runtime),
      cloud_(cloud),
      catalog_(catalog),
      settings_(settings),
      zones_(zones),
      inventory_(inventory) {}

void ScaleOut::end_term() {
  term_.renew();
  pending_.clear();
  refused_until_.clear();
}

std::vector<sched::ScaleOutOption> ScaleOut::options() const {
  std::vector<sched::ScaleOutOption> list;
  const Ms now = runtime_.now();
  for (const auto& [name, type] : catalog_.types())
    for (const std::string& zone : type.zones) {
      if (zones_.is_unreachable(zone)) continue;
      for (const bool spot : {true, false}) {
        const auto refused = refused_until_.find({name, zone, spot});
        if (refused != refused_until_.end() && now < refused->second) continue;
        list.push_back({name,
                        zone,
                        spot,
                        spot ? type.spot_price : type.price,
                        {type.cpus, type.gpus, type.memory_gb},
                        wire::kMaxMachinesPerRental});
      }
    }
  return list;
}

void ScaleOut::rent(const sched::ScaleOutOption& option, int count) {
  // The epoch and the counter make the request name unique; it is never used again.
  const std::string request = "r" + std::to_string(epoch_) + "-" + std::to_string(++counter_);
  const wire::Rental rental{request, option.type, option.zone, option.spot,
                            std::min(count, wire::kMaxMachinesPerRental)};
  pending_[request] = {option.type, option.zone, option.spot, rental.count};
  spdlog::debug("renting {} machines of type {} in zone {}, spot {}", rental.count, rental.type,
                rental.zone, rental.spot);
  cloud_.rent(rental, term_.wrap([this, request, rental](cloud::RentalResult result,
                                                         const std::vector<std::string>& names) {
    pending_.erase(request);
    on_answer(rental, result, names);
  }));
}

void ScaleOut::on_answer(const wire::Rental& rental, cloud::RentalResult result,
                         const std::vector<std::string>& names) {
  for (const std::string& name : names)
    if (!inventory_.is_deleted(name)) inventory_.register_rented(name, rental);
  // If the rental got no answer, the cloud may still have rented machines. They appear in the
  // cloud's list and are then used, or returned as idle.
  if (result != cloud::RentalResult::ok || static_cast<int>(names.size()) < rental.count)
    refused_until_[{rental.type, rental.zone, rental.spot}] =
        runtime_.now() + net::ms(std::max(4 * settings_.list_lag_s, 4 / settings_.cloud_rps));
}

}  // namespace seampass::leader
