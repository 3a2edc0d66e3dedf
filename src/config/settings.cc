#include "config/settings.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <set>
#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

namespace seampass::config {
namespace {

// Reads one table, and names file and field in every complaint.
class Reader {
 public:
  Reader(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  std::string text(const char* name) const {
    const auto v = table_[name].value<std::string>();
    if (!v || v->empty()) fail(name, "must be a non-empty string");
    return *v;
  }
  double number(const char* name, double least) const {
    const auto v = table_[name].value<double>();
    if (!v || !std::isfinite(*v) || *v < least) fail(name, "must be a number in range");
    return *v;
  }
  double positive(const char* name) const {
    const double v = number(name, 0);
    if (v <= 0) fail(name, "must be above 0");
    return v;
  }
  std::string endpoint(const char* name) const {
    std::string v = text(name);
    const auto colon = v.rfind(':');
    int port = 0;
    if (colon != std::string::npos && v.size() - colon <= 6)
      for (std::size_t i = colon + 1; i < v.size(); ++i)
        port = (v[i] < '0' || v[i] > '9') ? 1 << 20 : port * 10 + (v[i] - '0');
    if (port < 1 || port > 65535) fail(name, "must be ADDRESS:PORT");
    return v;
  }
  Reader table(const char* name) const {
    const auto* t = table_[name].as_table();
    if (!t) fail(name, "must be a table");
    return {*t, file_, prefix_ + name + "."};
  }
  std::vector<Reader> tables(const char* name) const {
    std::vector<Reader> list;
    if (!table_.contains(name)) return list;
    const auto* a = table_[name].as_array();
    if (!a) fail(name, "must be a list of tables");
    for (const auto& item : *a) {
      const auto* t = item.as_table();
      if (!t) fail(name, "must be a list of tables");
      list.emplace_back(*t, file_, prefix_ + name + ".");
    }
    return list;
  }
  std::vector<std::string> texts(const char* name) const {
    std::vector<std::string> list;
    const auto* a = table_[name].as_array();
    if (!a) fail(name, "must be a list of strings");
    for (const auto& item : *a) {
      const auto v = item.value<std::string>();
      if (!v) fail(name, "must be a list of strings");
      list.push_back(*v);
    }
    return list;
  }
  bool has(const char* name) const { return table_.contains(name); }
  [[noreturn]] void fail(const char* name, const char* fault) const {
    throw BadSettings(file_ + ": " + prefix_ + name + ": " + fault);
  }

 private:
  const toml::table& table_;
  std::string file_, prefix_;
};

}  // namespace

const Team* Settings::team(const std::string& name) const {
  for (const Team& t : teams)
    if (t.name == name) return &t;
  return nullptr;
}

StateLimits Settings::least_state_limits() const {
  const StateLimits& now = state_limits;
  const StateLimits& next = next_state_limits;
  return {std::min(now.rps, next.rps), std::min(now.write_rps, next.write_rps),
          std::min(now.value_kb, next.value_kb), std::min(now.txn_ops, next.txn_ops)};
}

namespace {

// The least that the records of one job and their conditions fit into.
constexpr double kLeastValueKb = 2;
constexpr double kLeastTxnOps = 4;

// The limits in this table; those that it does not name are as in `base`.
StateLimits limits_from(const Reader& table, const StateLimits& base) {
  StateLimits limits = base;
  if (table.has("rps")) limits.rps = table.positive("rps");
  if (table.has("write_rps")) limits.write_rps = table.positive("write_rps");
  if (table.has("value_kb")) limits.value_kb = table.number("value_kb", kLeastValueKb);
  if (table.has("txn_ops"))
    limits.txn_ops = static_cast<int>(table.number("txn_ops", kLeastTxnOps));
  return limits;
}

}  // namespace

Settings load_settings(const std::string& path) {
  toml::table root;
  try {
    root = toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    const auto line = e.source().begin.line;  // 0: the file could not be read at all
    throw BadSettings(path + (line > 0 ? ": line " + std::to_string(line) : "") + ": " +
                      std::string(e.description()));
  }
  const Reader r(root, path, "");
  Settings s;
  s.node = r.text("node");
  s.zone = r.text("location");
  s.listen = r.endpoint("listen");
  s.back = r.endpoint("back");
  for (const Reader& p : r.tables("known"))
    s.peers.push_back({p.text("node"), p.text("location"), p.endpoint("endpoint")});
  const Reader ext = r.table("external");
  s.cloud = ext.endpoint("cloud");
  s.state = ext.endpoint("state");
  const Reader facts = r.table("facts");
  s.zones = facts.texts("zones");
  s.skew_ms = facts.number("skew_ms", 0);
  for (const Reader& t : facts.tables("teams"))
    s.teams.push_back({t.text("name"), t.number("cpus", 0), t.number("cpus_max", 0),
                       t.number("gpus", 0), t.number("gpus_max", 0)});
  for (const Reader& o : facts.tables("objectives")) {
    ServiceLevelObjective objective{o.text("kind"), "", 0, 1};
    if (o.has("class")) objective.job_class = o.text("class");
    if (o.has("within_s")) objective.within_s = o.number("within_s", 0);
    if (o.has("times")) objective.times = o.number("times", 0);
    s.objectives.push_back(objective);
  }
  const Reader w = facts.table("workers");
  s.heartbeat_interval_s = w.positive("report_s");
  s.lease_s = w.positive("lease_s");
  s.gang_wait_s = w.positive("gang_wait_s");
  s.gang_peer_s = w.positive("gang_peer_s");
  s.cancel_s = w.positive("cancel_s");
  const Reader st = facts.table("state");
  for (const char* name : {"rps", "write_rps", "value_kb", "txn_ops"})
    if (!st.has(name)) st.fail(name, "must be a number in range");
  s.state_limits = limits_from(st, {});
  s.next_state_limits =
      st.has("next") ? limits_from(st.table("next"), s.state_limits) : s.state_limits;
  const Reader cl = facts.table("cloud");
  s.cloud_rps = cl.positive("rps");
  s.list_lag_s = cl.number("list_lag_s", 0);
  const Reader res = facts.table("resources");
  s.core_share = res.positive("core_share");
  s.memory_mb = res.positive("mem_mb");
  s.fd_limit = static_cast<int>(res.number("fd_limit", 32));
  return s;
}

OperatorSettings load_operator(const std::string& path) {
  YAML::Node root;
  try {
    root = YAML::LoadFile(path);
  } catch (const YAML::Exception& e) {
    throw BadSettings(path + ": " + e.what());
  }
  OperatorSettings o;
  if (root.IsNull()) return o;
  if (!root.IsMap()) throw BadSettings(path + ": must be a map of settings");
  for (const auto& entry : root) {
    const auto key = entry.first.as<std::string>();
    const auto bad = [&](const char* why) {
      return BadSettings(fmt::format("{}: {}: {}", path, key, why));
    };
    const auto number = [&](double least) {
      double v = 0;
      try {
        v = entry.second.as<double>();
      } catch (const YAML::Exception&) {
        throw bad("must be a number");
      }
      if (!std::isfinite(v) || v < least) throw bad("out of range");
      return v;
    };
    if (key == "hold_timeout_s") {
      o.hold_timeout_s = number(1);
    } else if (key == "idle_return") {
      o.idle_return = number(0);
    } else if (key == "spare_share") {
      o.headroom_share = number(0);
    } else if (key == "machine_choice") {
      o.machine_choice = entry.second.IsScalar() ? entry.second.as<std::string>() : "";
      if (o.machine_choice != "scored" && o.machine_choice != "first-fit")
        throw bad("must be scored or first-fit");
    } else {
      throw bad("unknown setting");
    }
  }
  return o;
}

}  // namespace seampass::config
