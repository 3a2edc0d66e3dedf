// A small deployment: controllers as separate processes, the stand-ins of the platform, and users.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>

#include "platform.h"

namespace standin {

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Site {
  std::vector<std::string> zones;      // of the controllers, one each
  std::vector<Team> teams;
  std::string objectives;              // TOML
  WorkerTimes workers;
  double cancel_s = 42;
  StateService::Limits state;
  double cloud_rps = 4, list_lag_s = 5;
  double core_share = 0.16, mem_mb = 136;
  int fd_limit = 2000;
  std::string more;                    // TOML at the end, in [facts.state.next] for example
};

class Deployment {
 public:
  Deployment(Site site, std::vector<MachineType> types, std::string program, std::string folder)
      : site_(std::move(site)), program_(std::move(program)), folder_(std::move(folder)),
        state(site_.state), cloud(std::move(types), site_.cloud_rps, site_.workers, jobs, ground) {
    cloud.set_lag(site_.list_lag_s);
    for (std::size_t i = 0; i < site_.zones.size(); ++i) {
      Node node;
      node.name = "cellier-" + std::to_string(i);
      node.listen = free_port();
      node.back = free_port();
      node.state = state.port_for(node.name);
      nodes_.push_back(node);
    }
    std::vector<NodeAddress> addresses;
    for (const Node& node : nodes_) addresses.push_back({node.name, node.listen});
    cloud.set_nodes(addresses);
  }
  ~Deployment() { end(); }

  // Writes the settings and starts every controller.
  void start() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      write_settings(i);
      launch(i);
    }
  }
  void end() {
    for (Node& node : nodes_) {
      if (node.pid <= 0) continue;
      ::kill(node.pid, SIGCONT);
      ::kill(node.pid, SIGKILL);
      waitpid(node.pid, nullptr, 0);
      node.pid = -1;
    }
  }
  std::size_t size() const { return nodes_.size(); }
  int port(std::size_t node) const { return nodes_[node].listen; }
  void kill(std::size_t i) {
    record.line("kill %s", nodes_[i].name.c_str());
    ::kill(nodes_[i].pid, SIGKILL);
    waitpid(nodes_[i].pid, nullptr, 0);
    nodes_[i].pid = -1;
  }
  void launch(std::size_t i) {
    Node& node = nodes_[i];
    const std::string log = folder_ + "/" + node.name + ".log";
    const std::string settings = settings_file(i);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 2);
      dup2(fd, 1);
      execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
      _exit(127);
    }
    node.pid = pid;
    record.line("start %s", node.name.c_str());
  }
  void signal(std::size_t i, int sig) {
    record.line("signal %d to %s", sig, nodes_[i].name.c_str());
    ::kill(nodes_[i].pid, sig);
  }
  // Does what the platform does about memory: a controller that has gone over its limit is killed,
  // and started again about `back_s` later. Returns how many were killed in this call.
  int enforce_memory(double back_s) {
    int killed = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (node.pid <= 0) {
        if (node.killed_for_memory && seconds_since(*node.killed_for_memory) > back_s) {
          node.killed_for_memory.reset();
          launch(i);
        }
        continue;
      }
      const double mb = peak_mb(node.pid);
      node.peak_mb = std::max(node.peak_mb, mb);
      if (mb <= site_.mem_mb) continue;
      record.line("%s holds %.0f MB, over its limit of %.0f MB", node.name.c_str(), mb, site_.mem_mb);
      kill(i);
      node.killed_for_memory = now();
      ++killed;
    }
    return killed;
  }
  double highest_peak_mb() const {
    double most = 0;
    for (const Node& node : nodes_) most = std::max(most, node.peak_mb);
    return most;
  }
  // False if a controller has ended by itself.
  bool all_alive() {
    for (Node& node : nodes_) {
      int status = 0;
      if (node.pid > 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
        record.line("%s ended by itself, status %d", node.name.c_str(), status);
        node.pid = -1;
        return false;
      }
    }
    return true;
  }
  // The index of the node that the state service's record names; -1 if none.
  int leader() {
    const std::string name = state.leader();
    for (std::size_t i = 0; i < nodes_.size(); ++i)
      if (nodes_[i].name == name) return static_cast<int>(i);
    return -1;
  }
  // Waits until all nodes are healthy and one leads. False after `limit_s`.
  bool wait_ready(double limit_s = 20) {
    const Time begun = now();
    while (seconds_since(begun) < limit_s) {
      bool up = leader() >= 0;
      for (const Node& node : nodes_) {
        const auto answer = call(node.listen, "GET", "/up", "", 1);
        up = up && answer && answer->status == 200;
      }
      if (up) {
        record.line("ready, %s leads", state.leader().c_str());
        return true;
      }
      sleep_s(0.1);
    }
    return false;
  }

  // ---- Users ----

  // Submits as a user does: repeated after 1 s or more, for up to 60 s. Returns the last status.
  int submit(const JobSpec& job, int node = -1) {
    jobs.add(job);
    const Time begun = now();
    for (;;) {
      const auto answer = call(pick(node), "POST", "/api/jobs", job.body.dump(), 5);
      const int status = answer ? answer->status : 0;
      record.line("submit %s: %d %s", job.id().c_str(), status, answer ? answer->body.c_str() : "");
      if (status == 200 || status == 201 || status == 400 || status == 422) return status;
      if (seconds_since(begun) > 60) return status;
      sleep_s(1);
    }
  }
  struct Polled {
    int status = 0;  // 0: no response
    std::string stage;
  };
  Polled poll(const std::string& id, int node = -1, bool quiet = false) {
    const auto answer = call(pick(node), "GET", "/api/jobs/" + id, "", 2);
    Polled result;
    if (answer) {
      result.status = answer->status;
      const Json body = Json::parse(answer->body, nullptr, false);
      if (body.is_object()) result.stage = body.value("stage", "");
    }
    if (!quiet) record.line("poll %s: %d %s", id.c_str(), result.status, result.stage.c_str());
    return result;
  }
  // Cancels as a user does. Returns the final answer's stage; empty if there was none in `limit_s`.
  std::string cancel(const std::string& id, double limit_s = 60, int node = -1) {
    const Time begun = now();
    while (seconds_since(begun) < limit_s) {
      const auto answer = call(pick(node), "POST", "/api/jobs/" + id + "/abort", "", 5);
      record.line("cancel %s: %d %s", id.c_str(), answer ? answer->status : 0, answer ? answer->body.c_str() : "");
      if (answer && answer->status == 200) return Json::parse(answer->body).value("stage", "");
      sleep_s(1);
    }
    return "";
  }

 private:
  struct Node {
    std::string name;
    int listen = 0, back = 0, state = 0;
    pid_t pid = -1;
    double peak_mb = 0;
    std::optional<Time> killed_for_memory;
  };
  // The most memory that a process has held so far, in MB.
  static double peak_mb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
      if (line.starts_with("VmHWM:")) return std::strtod(line.c_str() + 6, nullptr) / 1024;
    return 0;
  }
  // The load balancer: a healthy node, each in turn.
  int pick(int node) {
    if (node >= 0) return nodes_[static_cast<std::size_t>(node)].listen;
    for (std::size_t tries = 0; tries < nodes_.size(); ++tries) {
      const Node& next = nodes_[turn_++ % nodes_.size()];
      if (next.pid > 0) return next.listen;
    }
    return nodes_[0].listen;
  }
  std::string settings_file(std::size_t i) const { return folder_ + "/" + nodes_[i].name + ".toml"; }
  void write_settings(std::size_t i) {
    const Node& node = nodes_[i];
    std::ofstream f(settings_file(i));
    f << "node = \"" << node.name << "\"\nlocation = \"" << site_.zones[i] << "\"\n"
      << "listen = \"127.0.0.1:" << node.listen << "\"\nback = \"127.0.0.1:" << node.back << "\"\n\n";
    for (std::size_t j = 0; j < nodes_.size(); ++j)
      if (j != i)
        f << "[[known]]\nnode = \"" << nodes_[j].name << "\"\nlocation = \"" << site_.zones[j]
          << "\"\nendpoint = \"127.0.0.1:" << nodes_[j].back << "\"\n\n";
    f << "[external]\ncloud = \"127.0.0.1:" << cloud.port() << "\"\nstate = \"127.0.0.1:" << node.state << "\"\n\n"
      << "[facts]\nsize = " << nodes_.size() << "\nzones = [";
    for (std::size_t j = 0; j < site_.zones.size(); ++j) f << (j ? ", " : "") << '"' << site_.zones[j] << '"';
    f << "]\nskew_ms = 25.0\n\n" << std::showpoint;
    for (const Team& t : site_.teams)
      f << "[[facts.teams]]\nname = \"" << t.name << "\"\ncpus = " << t.cpus << "\ncpus_max = " << t.cpus_max
        << "\ngpus = " << t.gpus << "\ngpus_max = " << t.gpus_max << "\n\n";
    f << site_.objectives << "\n[facts.workers]\nreport_s = " << site_.workers.report_s << "\nlease_s = "
      << site_.workers.lease_s << "\ngang_wait_s = " << site_.workers.gang_wait_s << "\ngang_peer_s = "
      << site_.workers.gang_peer_s << "\ncancel_s = " << site_.cancel_s << "\n\n[facts.state]\nrps = "
      << site_.state.rps << "\nwrite_rps = " << site_.state.write_rps << "\nvalue_kb = " << site_.state.value_kb
      << "\ntxn_ops = " << site_.state.txn_ops << "\n\n[facts.cloud]\nrps = " << site_.cloud_rps
      << "\nlist_lag_s = " << site_.list_lag_s << "\n\n[facts.resources]\ncore_share = " << site_.core_share
      << "\nmem_mb = " << site_.mem_mb << "\nfd_limit = " << site_.fd_limit << "\n" << site_.more;
  }

  Site site_;
  std::string program_, folder_;
  std::vector<Node> nodes_;
  std::atomic<std::size_t> turn_{0};

 public:
  JobBook jobs;
  Ground ground;
  StateService state;
  Cloud cloud;
};

// Laval's settings in small.
inline Site laval() {
  Site site;
  site.zones = {"levis-annex", "laval-nord", "levis-annex"};
  site.teams = {{"franchise-desk", 0, 0, 8, 50}, {"pricing-guild", 0, 0, 8, 100}, {"sommelier-data", 0, 0, 8, 150}};
  site.objectives =
      "[[facts.objectives]]\nkind = \"wait\"\nclass = \"price-book\"\nwithin_s = 10.0\nshare = 0.82\n\n"
      "[[facts.objectives]]\nkind = \"finished\"\nclass = \"taste-match\"\nwithin_s = 200.0\nshare = 0.9\n";
  site.workers = {3, 31, 45, 5};
  site.cancel_s = 61;
  site.state = {100, 25, 8, 20};
  site.list_lag_s = 4;
  site.core_share = 0.04;
  site.mem_mb = 72;
  site.fd_limit = 1500;
  return site;
}

// Riga's settings in small: three controllers, each in a zone.
inline Site riga() {
  Site site;
  site.zones = {"left-bank", "right-bank", "jurmala-rack"};
  site.teams = {{"van-crew", 0, 0, 8, 16}, {"data-circle", 0, 0, 8, 24}, {"app-keepers", 0, 0, 8, 32}};
  site.objectives =
      "[[facts.objectives]]\nkind = \"wait\"\nclass = \"rebalance-plan\"\nwithin_s = 30.0\nshare = 0.82\n\n"
      "[[facts.objectives]]\nkind = \"deadline\"\nclass = \"demand-forecast\"\nshare = 0.88\ntimes = 1.0\n";
  return site;
}

inline Json job_body(const std::string& id, const std::string& job_class, const std::string& team,
                     const std::string& shape, const std::string& rank, int pours, double cpus, double accelerators,
                     double memory_gb) {
  return {{"ref", id},           {"cuvee_class", job_class}, {"owner_crew", team},
          {"shape", shape},      {"rank", rank},             {"pours", pours},
          {"cpus", cpus},        {"accelerators", accelerators}, {"memory_gb", memory_gb},
          {"blend", "img-" + job_class}, {"pull_gb", 0.5},   {"barrels", nullptr},
          {"cellar", nullptr},   {"together", false},        {"apart", false},
          {"lent_racks", false}, {"expected_s", 30.0},       {"rack_every_s", 0.0},
          {"rack_s", 0.0},       {"due_s", nullptr}};
}

// Waits until `condition` holds. False after `limit_s`.
inline bool wait_for(const std::function<bool()>& condition, double limit_s, double step_s = 0.05) {
  const Time begun = now();
  while (!condition()) {
    if (seconds_since(begun) > limit_s) return false;
    sleep_s(step_s);
  }
  return true;
}

}  // namespace standin
