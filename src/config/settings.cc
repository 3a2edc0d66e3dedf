#include "config/settings.h"

#include <algorithm>

#include "config/toml_table.h"

namespace seampass::config {
namespace {

// Minimum value size and transaction size with which the records of one job, and the conditions
// under which they are written, can be stored.
constexpr double kMinValueKb = 2;
constexpr double kMinTxnOps = 4;
// Minimum number of sockets with which app::ResourceBudget gives every use at least one.
constexpr double kMinSockets = 32;

toml::table parse(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    const auto line = error.source().begin.line;  // 0: the file could not be read
    throw BadSettings(path + (line > 0 ? ": line " + std::to_string(line) : "") + ": " +
                      std::string(error.description()));
  }
}

// load_settings() calls the following read_...() functions in the order in which they are defined.
// If several settings are invalid, it reports the first one in this order.

void read_node(const TomlTable& root, Settings& settings) {
  settings.node = root.text("node");
  settings.zone = root.text("location");
  settings.listen = root.endpoint("listen");
  settings.peer_listen = root.endpoint("back");
  for (const TomlTable& peer : root.tables("known"))
    settings.peers.push_back({peer.text("node"), peer.text("location"), peer.endpoint("endpoint")});
  const TomlTable external = root.table("external");
  settings.cloud = external.endpoint("cloud");
  settings.state = external.endpoint("state");
}

ServiceLevelObjective objective_from(const TomlTable& table) {
  ServiceLevelObjective objective{table.text("kind"), "", 0, 1};
  if (table.has("class")) objective.job_class = table.text("class");
  if (table.has("within_s")) objective.within_s = table.number("within_s", 0);
  if (table.has("times")) objective.deadline_factor = table.number("times", 0);
  return objective;
}

void read_site(const TomlTable& facts, Settings& settings) {
  settings.zones = facts.texts("zones");
  settings.skew_ms = facts.number("skew_ms", 0);
  for (const TomlTable& team : facts.tables("teams"))
    settings.teams.push_back({team.text("name"), team.number("cpus", 0), team.number("cpus_max", 0),
                              team.number("gpus", 0), team.number("gpus_max", 0)});
  for (const TomlTable& objective : facts.tables("objectives"))
    settings.objectives.push_back(objective_from(objective));
}

void read_workers(const TomlTable& workers, Settings& settings) {
  settings.heartbeat_interval_s = workers.positive("report_s");
  settings.lease_s = workers.positive("lease_s");
  settings.gang_wait_s = workers.positive("gang_wait_s");
  settings.gang_peer_s = workers.positive("gang_peer_s");
  settings.cancel_s = workers.positive("cancel_s");
}

// Reads the limits in `table`. A limit that the table does not contain keeps its value from `base`.
StateLimits limits_from(const TomlTable& table, const StateLimits& base) {
  StateLimits limits = base;
  if (table.has("rps")) limits.rps = table.positive("rps");
  if (table.has("write_rps")) limits.write_rps = table.positive("write_rps");
  if (table.has("value_kb")) limits.value_kb = table.number("value_kb", kMinValueKb);
  if (table.has("txn_ops")) limits.txn_ops = static_cast<int>(table.number("txn_ops", kMinTxnOps));
  return limits;
}

void read_state_limits(const TomlTable& state, Settings& settings) {
  for (const char* name : {"rps", "write_rps", "value_kb", "txn_ops"})
    if (!state.has(name)) state.fail(name, "must be a number in range");
  settings.state_limits = limits_from(state, {});
  settings.next_state_limits = state.has("next")
                                   ? limits_from(state.table("next"), settings.state_limits)
                                   : settings.state_limits;
}

void read_cloud_limits(const TomlTable& cloud, Settings& settings) {
  settings.cloud_rps = cloud.positive("rps");
  settings.list_lag_s = cloud.number("list_lag_s", 0);
}

void read_process_limits(const TomlTable& resources, Settings& settings) {
  settings.core_share = resources.positive("core_share");
  settings.memory_mb = resources.positive("mem_mb");
  settings.fd_limit = static_cast<int>(resources.number("fd_limit", kMinSockets));
}

}  // namespace

const Team* Settings::team(const std::string& name) const {
  const auto it =
      std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

StateLimits Settings::min_state_limits() const {
  const StateLimits& now = state_limits;
  const StateLimits& next = next_state_limits;
  return {std::min(now.rps, next.rps), std::min(now.write_rps, next.write_rps),
          std::min(now.value_kb, next.value_kb), std::min(now.txn_ops, next.txn_ops)};
}

Settings load_settings(const std::string& path) {
  const toml::table file = parse(path);
  const TomlTable root(file, path, "");
  Settings settings;
  read_node(root, settings);
  const TomlTable facts = root.table("facts");
  read_site(facts, settings);
  read_workers(facts.table("workers"), settings);
  read_state_limits(facts.table("state"), settings);
  read_cloud_limits(facts.table("cloud"), settings);
  read_process_limits(facts.table("resources"), settings);
  return settings;
}

}  // namespace seampass::config
