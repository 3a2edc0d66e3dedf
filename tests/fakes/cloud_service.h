// A fake of the cloud provider's HTTP API, written from its published protocol. It rents out one
// machine type in two zones and runs a fake worker on each machine that is up. SimulatedCluster
// owns the fake and routes requests to it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/worker.h"

namespace seampass::fakes {

class CloudService {
 public:
  // Workers on the machines send their heartbeats to `nodes`.
  CloudService(SimNet& net, InvariantChecker& checker, WorkerTiming timing,
               std::vector<std::string> nodes)
      : net_(net), checker_(checker), timing_(timing), nodes_(std::move(nodes)) {}

  // Tests set these.
  bool down = false;              // every request is answered with 503
  bool refuses_deletion = false;  // every request to delete machines is answered with 503
  int capacity = 20;              // no machine is rented when this many are listed

  // The workers of the machines that are up, by machine name.
  std::map<std::string, std::unique_ptr<Worker>> machines;
  // How many machines were rented through the API in total, and by zone. Machines that a test boots
  // itself are not counted.
  int rented = 0;
  std::map<std::string, int> rented_by_zone;

  void handle(const net::Request& request, const net::Answer& answer);
  // Adds a machine that is listed immediately and is up after `delay`. Returns its name.
  std::string boot(const MachineSpec& spec, Ms delay);
  // Replaces a machine's worker immediately with a new one under the same name. The new worker has
  // no state of the old one.
  void restart(const std::string& name);

 private:
  struct Listing {
    MachineSpec spec;
    Ms rented_at = 0;
  };

  [[nodiscard]] net::Response rent(const wire::Json& request);
  [[nodiscard]] net::Response remove(const wire::Json& request);
  [[nodiscard]] net::Response list() const;
  void power_on(const std::string& name, const MachineSpec& spec);

  SimNet& net_;
  InvariantChecker& checker_;
  WorkerTiming timing_;
  std::vector<std::string> nodes_;
  int last_machine_number_ = 0;
  std::map<std::string, Listing> listings_;
  // The machines returned for each request, by request id. Renting is idempotent: a repeated
  // request returns the same machines and rents no more.
  std::map<std::string, std::vector<std::string>> machines_by_request_;
};

}  // namespace seampass::fakes
