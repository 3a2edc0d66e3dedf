#include "leader/fleet/fleet.h"

#include <algorithm>
#include <utility>

namespace seampass::leader {

Fleet::Fleet(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& catalog,
             const config::Settings& settings, const config::OperatorSettings& operator_settings,
             std::function<void(Machine&)> on_machine_deleted)
    : runtime_(runtime),
      cloud_(cloud),
      settings_(settings),
      inventory_(runtime, catalog, settings),
      zones_(runtime, settings, inventory_),
      scale_out_(runtime, cloud, catalog, settings, zones_, inventory_),
      reclaimer_(runtime, cloud, settings, operator_settings, zones_, inventory_,
                 std::move(on_machine_deleted)) {}

void Fleet::start_term(std::uint64_t epoch) {
  end_term();
  inventory_.start_term();
  scale_out_.start_term(epoch);
  poll_list("");
}

void Fleet::end_term() {
  term_.renew();
  inventory_.end_term();
  reclaimer_.end_term();
  scale_out_.end_term();
  zones_.end_term();
}

void Fleet::poll_list(const std::string& after) {
  cloud_.machines(after, term_.wrap([this](bool answered, const wire::MachinePage& page) {
    if (answered) {
      apply_list(page);
      if (page.has_next_page && !page.machines.empty()) return poll_list(page.machines.back().name);
    }
    runtime_.after(net::ms(std::max(2 * settings_.list_lag_s, 4 / settings_.cloud_rps)),
                   term_.wrap([this] { poll_list(""); }));
  }));
}

void Fleet::apply_list(const wire::MachinePage& page) {
  for (const wire::ListedMachine& listed : page.machines) {
    if (is_deleted(listed.name)) continue;  // the list is older than the deletion
    Machine& machine = inventory_.register_listed(listed);
    if (listed.stage == wire::MachineStage::failed && !machine.deleting) request_deletion(machine);
  }
}

}  // namespace seampass::leader
