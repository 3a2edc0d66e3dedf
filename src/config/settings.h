// The platform's TOML settings and the operators' own YAML settings.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace seampass::config {

class BadSettings : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Peer {
  std::string node, zone, endpoint;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0 in a maximum: no limit
};

struct ServiceLevelObjective {
  std::string kind, job_class;
  double within_s = 0;
  double times = 1;  // of a deadline
};

// What the state service takes: requests and changes a second, the size of a value, and changes in
// one transaction.
struct StateLimits {
  double rps = 0, write_rps = 0, value_kb = 0;
  int txn_ops = 0;
};

struct Settings {
  std::string node, zone, listen, back;
  std::vector<Peer> peers;
  std::string cloud, state;
  std::vector<std::string> zones;
  double skew_ms = 0;
  std::vector<Team> teams;
  std::vector<ServiceLevelObjective> objectives;
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  StateLimits state_limits;
  // Those that will hold from some moment on, without notice; as `state_limits` if none are named.
  StateLimits next_state_limits;
  // The smaller of both, limit by limit: they may change without notice, and what is written for
  // these fits before and after.
  StateLimits least_state_limits() const;
  double cloud_rps = 0, list_lag_s = 0;
  double core_share = 1, memory_mb = 0;
  int fd_limit = 0;

  const Team* team(const std::string& name) const;
};

// Each default is a ratio to the platform's figures; deploy/operator.example.yaml documents them.
struct OperatorSettings {
  double hold_timeout_s = 20;  // how long a gang may hold room short of its minimum (design: 20)
  double idle_return = 0.25;   // an idle machine is returned after this many of its boot times
  // What machines kept free for classes with a start aim may cost, as a share of all that is
  // rented.
  double headroom_share = 0.08;
  std::string machine_choice = "scored";  // or "first-fit"
};

Settings load_settings(const std::string& path);
OperatorSettings load_operator(const std::string& path);

}  // namespace seampass::config
