// A whole deployment in simulated time: three controllers, state service, cloud, workers, a user.
#pragma once

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "app/node.h"
#include "fakes/sim.h"
#include "fakes/state_service.h"
#include "fakes/workers.h"

namespace seampass::fakes {

// What the state service takes now, and what it will take later.
struct StoreLimits {
  config::StateLimits now{100, 40, 8, 10};
  config::StateLimits next = now;
};

inline config::Settings settings_for(const std::string& node, const StoreLimits& limits = {}) {
  config::Settings s;
  s.node = node;
  s.zone = "a";
  s.cloud = "cloud:1";
  s.state = "state:1";
  s.zones = {"a", "b"};
  s.teams = {{"red", 0, 0, 4, 8}, {"blue", 0, 0, 4, 16}};
  s.objectives = {{"wait", "urgent", 10, 1}};
  s.heartbeat_interval_s = 3;
  s.lease_s = 20;
  s.gang_wait_s = 30;
  s.gang_peer_s = 4;
  s.cancel_s = 40;
  s.state_limits = limits.now;
  s.next_state_limits = limits.next;
  s.cloud_rps = 4;
  s.list_lag_s = 2;
  s.core_share = 0.1;
  s.memory_mb = 64;
  s.fd_limit = 500;
  for (const char* n : {"n0", "n1", "n2"})
    if (node != n) s.peers.push_back({n, "a", std::string(n) + ":8081"});
  return s;
}

class SimulatedCluster {
 public:
  // LOG_LEVEL=debug in the environment shows what the controllers log.
  ~SimulatedCluster() { *user_ = false; }
  SimulatedCluster(const SimulatedCluster&) = delete;
  explicit SimulatedCluster(unsigned seed = 1, int machines = 4, const StoreLimits& limits = {},
                            const std::set<std::string>& production = {})
      : net(time, seed),
        state(time),
        cloud(net, checker, {3000, 20000, 300}, {"n0", "n1", "n2"}),
        limits_(limits),
        production_(production) {
    const char* level = std::getenv("LOG_LEVEL");
    spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
    checker.cancel_ms = 40000;
    for (const config::Team& t : settings_for("n0").teams) checker.gpus_max[t.name] = t.gpus_max;
    net.serve("state:1", [this](const net::Request& r, net::Answer a) { state.handle(r, a); });
    net.serve("cloud:1", [this](const net::Request& r, net::Answer a) { cloud.handle(r, a); });
    for (const char* n : {"n0", "n1", "n2"}) start(n);
    for (int i = 0; i < machines; ++i) cloud.boot("big", i % 2 == 0 ? "a" : "b", false, 10);
    audit();
  }

  void start(const std::string& name) {
    auto& slot = nodes_[name];
    slot.reset();
    slot = std::make_unique<SimNode>(*this, name);
    net.serve(name + ":8080", [this, name](const net::Request& r, net::Answer a) {
      const auto it = nodes_.find(name);
      if (it != nodes_.end() && it->second) it->second->node.handle(r, std::move(a));
    });
    slot->node.start();
  }
  // The node runs the new version from its next start on.
  void upgrade(const std::string& name) {
    kill(name);
    production_.erase(name);
    start(name);
  }
  // The state service takes no more than this from now on.
  void apply_limits(const config::StateLimits& limits) {
    state.value_bytes = static_cast<std::size_t>(limits.value_kb * 1024);
    state.txn_ops = static_cast<std::size_t>(limits.txn_ops);
    state.write_limit = static_cast<int>(limits.write_rps);
  }
  // Writes a key, as another version of the program did.
  void put(const std::string& key, const wire::Json& value) {
    const wire::Json body{{"if", wire::Json::array()},
                          {"apply", {wire::Json{{"write", key}, {"v", value}}}}};
    state.handle({"POST", "/txn", body.dump()}, [](const net::Response&) {});
  }
  void remove(const std::string& key) {
    const wire::Json body{{"if", wire::Json::array()}, {"apply", {wire::Json{{"delete", key}}}}};
    state.handle({"POST", "/txn", body.dump()}, [](const net::Response&) {});
  }
  void slow_down(const std::string& name, Ms lag) { nodes_.at(name)->process.lag = lag; }
  void kill(const std::string& name) {
    net.silence(name + ":8080");
    nodes_[name].reset();
  }
  std::string leader() const {
    for (const auto& [name, n] : nodes_)
      if (n && n->node.election().holds()) return name;
    return "";
  }
  int leaders() const {
    int k = 0;
    for (const auto& [name, n] : nodes_) k += n && n->node.election().holds() ? 1 : 0;
    return k;
  }
  std::string follower() const {
    for (const auto& [name, n] : nodes_)
      if (n && !n->node.election().leading()) return name;
    return "";
  }

  struct Told {
    int status = 0;
    wire::Json body;
    std::string stage() const { return body.is_object() ? body.value("stage", "") : ""; }
  };
  // Asks a node and plays on until it has answered, five seconds at most.
  Told ask(const std::string& node, const char* method, const std::string& path,
           const std::string& body = "") {
    Told told;
    bool answered = false;
    const auto alive = std::make_shared<bool>(true);
    net.call("user", alive, {node + ":8080", method, path, body, 5000}, [&](const net::Reply& r) {
      answered = true;
      told.status = r.status;
      told.body = wire::Json::parse(r.body, nullptr, false);
    });
    for (int i = 0; i < 5100 && !answered; ++i) time.run_for(1);
    *alive = false;
    return told;
  }
  Told submit(const std::string& node, const wire::Job& job) {
    checker.jobs[job.id].spec = job;
    const Told t = ask(node, "POST", "/api/jobs", wire::to_json(job).dump());
    if (t.status == 201 || t.status == 200) checker.jobs[job.id].accepted = true;
    if (t.status == 200 || t.status == 201) checker.told(job.id, t.status, t.stage(), time.now());
    return t;
  }
  // As users do: again until it is accepted.
  bool submit_until_accepted(const std::string& node, const wire::Job& job, Ms within = 60000) {
    const Ms end = time.now() + within;
    while (time.now() < end) {
      const int status = submit(node, job).status;
      if (status == 201 || status == 200) return true;
      time.run_for(1000);
    }
    return false;
  }
  Told cancel(const std::string& node, const std::string& id) {
    checker.jobs[id].cancel_asked = true;
    return heard(id, ask(node, "POST", "/api/jobs/" + id + "/abort"));
  }
  // As users do: again and again, until the answer is final. Each refusal must come at once and say
  // when to come back. Empty if none came within that time.
  Told cancel_until_told(const std::string& node, const std::string& id, Ms within) {
    const Ms end = time.now() + within;
    while (time.now() < end) {
      const Ms before = time.now();
      const Told t = cancel(node, id);
      if (t.status == 200) return t;
      EXPECT_EQ(t.status, 503);
      EXPECT_LT(time.now() - before, 2000);
      time.run_for(1000);
    }
    return {};
  }
  // Asks and goes on; the answer counts when it comes.
  void cancel_soon(const std::string& node, const std::string& id) {
    checker.jobs[id].cancel_asked = true;
    net.call("user", user_, {node + ":8080", "POST", "/api/jobs/" + id + "/abort", "", 5000},
             [this, id](const net::Reply& r) {
               heard(id, {r.status, wire::Json::parse(r.body, nullptr, false)});
             });
  }
  Told poll(const std::string& node, const std::string& id) {
    return heard(id, ask(node, "GET", "/api/jobs/" + id));
  }
  // Tasks of this job that are on a machine now.
  int on(const std::string& id) const {
    int n = 0;
    for (const auto& [task, machine] : checker.on) n += task.job == id ? 1 : 0;
    return n;
  }
  // Its tasks that are not done; and those that, moreover, are on no machine now.
  int left(const std::string& id) const {
    int n = 0;
    for (std::uint32_t i = 0; i < checker.jobs.at(id).spec.tasks; ++i)
      n += checker.done.count({id, i}) == 0 ? 1 : 0;
    return n;
  }
  int not_begun(const std::string& id) const {
    int n = 0;
    for (std::uint32_t i = 0; i < checker.jobs.at(id).spec.tasks; ++i)
      n += checker.done.count({id, i}) == 0 && checker.on.count({id, i}) == 0 ? 1 : 0;
    return n;
  }
  // True once a poll says `stage`.
  bool reaches(const std::string& id, const std::string& stage, Ms within) {
    const Ms end = time.now() + within;
    while (time.now() < end) {
      for (const char* n : {"n0", "n1", "n2"})
        if (nodes_[n] && poll(n, id).stage() == stage) return true;
      time.run_for(500);
    }
    return false;
  }
  void deliver(const std::string& from, const std::string& node, const rpc::Message& message) {
    SimPeers::deliver(registry_, from, node, message);
  }
  // All messages of this kind that pass from now on, to be sent again.
  std::vector<net::Call>& record(const char* path) {
    net.set_rule([this, path](const std::string&, const net::Call& c) {
      if (c.path == path) recorded_.push_back(c);
      return Delivery{};
    });
    return recorded_;
  }
  void repeat(const std::vector<net::Call>& calls) {
    const auto alive = std::make_shared<bool>(true);
    for (const net::Call& c : std::vector<net::Call>(calls))
      net.call("copy", alive, c, [](const net::Reply&) {});
  }
  int starts() const {
    int n = 0;
    for (const auto& [task, k] : checker.starts) n += k;
    return n;
  }
  bool settle() {
    for (int i = 0; i < 300 && (leader().empty() || ask(leader(), "GET", "/up").status != 200); ++i)
      time.run_for(100);
    return !leader().empty();
  }
  void expect_rules() const { EXPECT_TRUE(checker.broken.empty()) << checker.broken.front(); }

  SimTime time;
  SimNet net;
  InvariantChecker checker;
  StateService state;
  CloudService cloud;

 private:
  void audit() {
    time.after(250, [this] {
      checker.audit(time.now());
      audit();
    });
  }
  // Its user knows from now on, whoever said so and to which question.
  Told heard(const std::string& id, const Told& t) {
    checker.told(id, t.status, t.stage(), time.now());
    if (t.status == 200 && t.stage() == "withdrawn" && !checker.jobs[id].cancelled) {
      checker.jobs[id].cancelled = true;
      checker.jobs[id].cancelled_at = time.now();
    }
    return t;
  }

  struct SimNode {
    SimNode(SimulatedCluster& w, const std::string& name)
        : process(w.time),
          http(w.net, name, process.alive()),
          peers(w.net, w.registry_, name, w.production_),
          settings(settings_for(name, w.limits_)),
          node(process, http, peers, settings, op) {}
    Process process;
    SimCaller http;
    SimPeers peers;
    config::Settings settings;
    config::OperatorSettings op;
    app::Node node;
  };

  StoreLimits limits_;
  std::set<std::string> production_;
  SimPeers::Registry registry_;
  std::map<std::string, std::unique_ptr<SimNode>> nodes_;
  std::vector<net::Call> recorded_;
  std::shared_ptr<bool> user_ = std::make_shared<bool>(true);
};

inline wire::Job array_job(const std::string& id, std::uint32_t tasks, double run_s = 5) {
  wire::Job j;
  j.id = id;
  j.job_class = "k";
  j.team = "blue";
  j.tasks = tasks;
  j.cpus = 4;
  j.gpus = 1;
  j.memory_gb = 16;
  j.image = "i";
  j.image_gb = 1;
  j.spot = true;
  j.estimate_s = run_s;
  return j;
}

inline wire::Job gang_job(const std::string& id, std::uint32_t tasks, double run_s = 5) {
  wire::Job j = array_job(id, tasks, run_s);
  j.kind = wire::JobKind::gang;
  j.cpus = 8;
  j.one_zone = true;
  return j;
}

}  // namespace seampass::fakes
