// The settings of a controller: the platform's settings (TOML) and the operators' settings (YAML).
// Plain values that are read and checked once, at the start of the program. Names that end in _s
// are times in seconds, in _ms milliseconds, in _mb MiB, in _kb KiB, in _rps rates per second.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace seampass::config {

// Thrown when a settings file cannot be read or contains an invalid setting. The message names the
// file, the setting and what is wrong with it.
class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Another controller. `endpoint` is the ADDRESS:PORT at which it accepts peer messages.
struct Peer {
  std::string node, zone, endpoint;
};

// A team. `cpus` and `gpus` are the capacity guaranteed to it; `cpus_max` and `gpus_max` are its
// quota limits, where 0 means no limit.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

// An objective for the jobs of one class. `kind` "wait": they start within `within_s` of their
// submission. `kind` "finished": they finish within it.
struct ServiceLevelObjective {
  std::string kind, job_class;
  double within_s = 0;
  double deadline_factor = 1;  // factor on a job's deadline; `times` in the file
};

// The limits of the state service: requests per second (`rps`), changes per second (`write_rps`),
// the size of a value (`value_kb`) and the number of changes in one transaction (`txn_ops`).
struct StateLimits {
  double rps = 0, write_rps = 0, value_kb = 0;
  int txn_ops = 0;
};

// The platform's settings. `listen` is the ADDRESS:PORT for the HTTP requests of users and workers,
// `peer_listen` (`back` in the file) the one for the messages of peers. `cloud` and `state` are the
// endpoints of these services.
struct Settings {
  std::string node, zone, listen, peer_listen;
  std::vector<Peer> peers;
  std::string cloud, state;
  std::vector<std::string> zones;
  double skew_ms = 0;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  StateLimits state_limits;
  // The limits to which the state service will change at some time, without notice. Equal to
  // `state_limits` if the file announces no change.
  StateLimits next_state_limits;
  // For each limit the smaller of its current and its next value. The limits may change without
  // notice, so the program stays within these: what it writes fits before and after the change.
  StateLimits min_state_limits() const;
  double cloud_rps = 0, list_lag_s = 0;
  double core_share = 1, memory_mb = 0;
  int fd_limit = 0;

  // The team of this name; nullptr if there is none.
  const Team* team(const std::string& name) const;
};

// The operators' settings; deploy/operator.example.yaml documents them. `idle_return` and
// `headroom_share` are ratios to figures of the platform (boot times and rental prices).
struct OperatorSettings {
  // How long a gang may hold reserved capacity while it has less than the minimum that it needs to
  // start (the design specifies 20 s).
  double hold_timeout_s = 20;
  // How long a machine may be idle before it is returned, as a multiple of its type's boot time.
  double idle_return = 0.25;
  // Maximum cost of the machines that are kept free for job classes with a start-time objective, as
  // a share of the cost of all rented machines.
  double headroom_share = 0.08;
  // How a task's machine is chosen: "scored" or "first-fit".
  std::string machine_choice = "scored";
};

// Both functions read and check a settings file and throw BadSettings for the first error found.
Settings load_settings(const std::string& path);
OperatorSettings load_operator(const std::string& path);

}  // namespace seampass::config
