// Our own fake of the cloud, after its published protocol: it rents out one type of machine in two
// zones.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fakes/worker.h"

namespace seampass::fakes {

class CloudService {
 public:
  // Workers on its machines report to `nodes`.
  CloudService(SimNet& net, InvariantChecker& checker, WorkerTiming timing,
               std::vector<std::string> nodes)
      : net_(net), checker_(checker), timing_(timing), nodes_(std::move(nodes)) {}

  // Set by tests.
  bool down = false;
  bool refuses_deletion = false;
  int capacity = 20;  // machines at a time

  // Machines that are up, by name; and how many were rented on request.
  std::map<std::string, std::unique_ptr<Worker>> machines;
  int rented = 0;
  std::map<std::string, int> rented_by_zone;

  void handle(const net::Request& request, const net::Answer& answer);
  // A machine that is listed at once and up after so long; returns its name.
  std::string boot(const MachineSpec& spec, Ms delay);
  // The machine ends and is back at once, under its name, remembering nothing.
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
  int last_number_ = 0;
  std::map<std::string, Listing> listed_;
  // The machines that each request was answered with: a repeated request rents nothing more.
  std::map<std::string, std::vector<std::string>> rented_for_;
};

}  // namespace seampass::fakes
