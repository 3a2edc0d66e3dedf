#include "fakes/simulated_cluster.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>

namespace seampass::fakes {
namespace {

constexpr Ms kCheckInterval = 250;

}  // namespace

struct SimulatedCluster::SimNode {
  SimNode(SimulatedCluster& cluster, const std::string& name)
      : process(cluster.time),
        http(cluster.net, name, process.alive()),
        peers(cluster.net, cluster.registry_, name, cluster.production_),
        settings(settings_for(name, cluster.limits_)),
        node(process, http, peers, settings, operator_settings) {}

  Process process;
  SimCaller http;
  SimPeers peers;
  config::Settings settings;
  config::OperatorSettings operator_settings;
  app::Node node;
};

SimulatedCluster::SimulatedCluster(unsigned seed, int machines, const StoreLimits& limits,
                                   const std::set<std::string>& production)
    : net(time, seed),
      state(time),
      cloud(net, checker, {3000, 20000, 300}, {kNodes.begin(), kNodes.end()}),
      limits_(limits),
      production_(production) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level != nullptr ? spdlog::level::from_str(level) : spdlog::level::off);
  const config::Settings settings = settings_for(kNodes.front());
  checker.cancel_ms = net::ms(settings.cancel_s);
  for (const config::Team& team : settings.teams) checker.gpus_max[team.name] = team.gpus_max;
  net.serve(settings.state, [this](const net::Request& request, net::Answer answer) {
    state.handle(request, std::move(answer));
  });
  net.serve(settings.cloud, [this](const net::Request& request, const net::Answer& answer) {
    cloud.handle(request, answer);
  });
  start_all();
  for (int i = 0; i < machines; ++i) cloud.boot({"big", i % 2 == 0 ? "a" : "b", false}, 10);
  check_regularly();
}

SimulatedCluster::~SimulatedCluster() { *user_alive_ = false; }

void SimulatedCluster::check_regularly() {
  time.after(kCheckInterval, [this] {
    checker.check_deadlines(time.now());
    check_regularly();
  });
}

void SimulatedCluster::start(const std::string& node) {
  auto& sim_node = nodes_[node];
  sim_node.reset();
  sim_node = std::make_unique<SimNode>(*this, node);
  net.serve(node + ":8080", [this, node](const net::Request& request, net::Answer answer) {
    if (runs(node)) nodes_.at(node)->node.handle(request, std::move(answer));
  });
  sim_node->node.start();
}

void SimulatedCluster::start_all() {
  for (const char* node : kNodes) start(node);
}

void SimulatedCluster::kill(const std::string& node) {
  net.stop_serving(node + ":8080");
  nodes_[node].reset();
}

void SimulatedCluster::kill_all() {
  for (const char* node : kNodes) kill(node);
}

void SimulatedCluster::upgrade(const std::string& node) {
  kill(node);
  production_.erase(node);
  start(node);
}

void SimulatedCluster::slow_down(const std::string& node, Ms lag) {
  nodes_.at(node)->process.lag = lag;
}

bool SimulatedCluster::runs(const std::string& node) const {
  const auto it = nodes_.find(node);
  return it != nodes_.end() && it->second;
}

std::string SimulatedCluster::leader() const {
  for (const auto& [name, node] : nodes_)
    if (node && node->node.election().lease_valid()) return name;
  return "";
}

int SimulatedCluster::leader_count() const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [](const auto& entry) {
    return entry.second && entry.second->node.election().lease_valid();
  }));
}

std::string SimulatedCluster::follower() const {
  for (const auto& [name, node] : nodes_)
    if (node && !node->node.election().leading()) return name;
  return "";
}

bool SimulatedCluster::wait_for_leader() {
  constexpr int max_tries = 300;
  for (int i = 0; i < max_tries; ++i) {
    if (!leader().empty() && request(leader(), "GET", "/up").status == 200) break;
    time.run_for(100);
  }
  return !leader().empty();
}

void SimulatedCluster::wait_for_election() {
  while (leader().empty()) time.run_for(1);
}

void SimulatedCluster::separate_peers() {
  net.set_peer_rule([](const std::string&, const std::string&) { return false; });
}

void SimulatedCluster::separate_from_peers(const std::string& node) {
  net.set_peer_rule([node](const std::string& from, const std::string& to) {
    return from != node && to != node;
  });
}

void SimulatedCluster::end_network_faults() {
  net.set_rule({});
  net.set_peer_rule({});
}

void SimulatedCluster::apply_limits(const config::StateLimits& limits) {
  state.value_bytes = static_cast<std::size_t>(limits.value_kb * 1024);
  state.txn_ops = static_cast<std::size_t>(limits.txn_ops);
  state.write_limit = static_cast<int>(limits.write_rps);
}

void SimulatedCluster::put(const std::string& key, const wire::Json& value) {
  const wire::Json body{{"if", wire::Json::array()},
                        {"apply", {wire::Json{{"write", key}, {"v", value}}}}};
  state.handle({"POST", "/txn", body.dump()}, [](const net::Response&) {});
}

void SimulatedCluster::remove(const std::string& key) {
  const wire::Json body{{"if", wire::Json::array()}, {"apply", {wire::Json{{"delete", key}}}}};
  state.handle({"POST", "/txn", body.dump()}, [](const net::Response&) {});
}

const std::vector<net::Call>& SimulatedCluster::record_calls(const char* path) {
  net.set_rule([this, path](const std::string&, const net::Call& call) {
    if (call.path == path) recorded_calls_.push_back(call);
    return Delivery{};
  });
  return recorded_calls_;
}

void SimulatedCluster::resend(const std::vector<net::Call>& calls) {
  const auto alive = std::make_shared<bool>(true);
  // The loop iterates over a copy of the list: `calls` may be the list of recorded calls, to which
  // each call that is sent again is added.
  for (const net::Call& call : std::vector<net::Call>(calls))
    net.call("copy", alive, call, [](const net::Reply&) {});
}

void SimulatedCluster::expect_no_task_started_twice() const {
  for (const auto& [task, starts] : checker.starts)
    EXPECT_EQ(starts, 1) << task.job << "/" << task.index;
}

void SimulatedCluster::expect_no_violations() const {
  EXPECT_TRUE(checker.violations.empty()) << checker.violations.front();
}

}  // namespace seampass::fakes
