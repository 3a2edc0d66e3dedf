// Stand-ins for the outside of a small deployment, on loopback addresses and the real clock: the
// state service, the cloud, the workers and the users. The controllers are real processes, started
// as the deploy file says. Everything here follows the users' pages (PROTOCOL, DEPLOY) and decides
// nothing about the service under review.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"

namespace standin {

using Json = nlohmann::json;
using seampass::net::Answer;
using seampass::net::HttpClient;
using seampass::net::HttpServer;
using seampass::net::Loop;
using seampass::net::Ms;
using seampass::net::Reply;
using seampass::net::Request;

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, price = 1, low_price = 0.5, ready_s = 20;
  std::vector<std::string> zones;
};

struct Team {
  std::string name;
  double gpus = 0, gpus_max = 0;
};

struct Site {
  std::vector<std::string> zones;  // of the controllers, in turn
  std::vector<Team> teams;
  std::vector<MachineType> types;
  double report_s = 3, lease_s = 22, gang_wait_s = 35, gang_peer_s = 4, cancel_s = 42;
  double state_rps = 80, state_write_rps = 30, value_kb = 32;
  int txn_ops = 12;
  std::string objectives;  // text of the [[facts.objectives]] tables, or empty
  std::string state_next;  // text of the [facts.state.next] table, or empty
  double cloud_rps = 4, list_lag_s = 5;
  double core_share = 0.16, mem_mb = 136;
  int fd_limit = 2000;
  int controllers = 3;
};

class World;

// ---- State service ----

class StateService {
 public:
  StateService(World& world, const std::string& endpoint);
  bool down = false;
  [[nodiscard]] std::optional<Json> value(const std::string& key) const;
  // The last rates of the service, for the record.
  std::uint64_t refused = 0, changes = 0, requests = 0;
  // Called after each change of the key `leader`; empty if it was deleted.
  std::function<void(const std::string& node)> on_leader;

 private:
  struct Entry {
    Json value;
    std::uint64_t version = 0, lease = 0;
  };
  struct Lease {
    Ms ttl = 0, expires_at = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t version;
    std::optional<Json> value;
  };
  struct Watcher {
    std::string prefix;
    std::uint64_t since;
    Ms until;
    Answer answer;
  };
  struct Bucket {
    double tokens = 0;
    Ms at = 0;
    bool take(double rate, double amount, Ms now);
  };
  void handle(const Request& request, const Answer& answer);
  void execute(const Json& txn, const Answer& answer);
  void list(const std::string& query, const Answer& answer);
  void put(const std::string& key, std::optional<Json> value, std::uint64_t lease);
  void end_lease(std::uint64_t id);
  void tick();
  void notify();
  bool answer_watch(Watcher& watcher);

  World& world_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Change> log_;
  std::list<Watcher> watchers_;
  std::uint64_t revision_ = 100, last_lease_ = 0;
  Bucket request_bucket_, write_bucket_;
};

// ---- Jobs, as their users know them ----

struct JobSpec {
  Json body;         // the submission
  double run_s = 5;  // how long a task runs; services run until they are stopped
  bool submitted = false;
};

// ---- Workers ----

class Worker {
 public:
  Worker(World& world, std::string name, std::string type, std::string zone, bool spot, int port);
  void power_off();
  // The network between this machine and all others is interrupted. Requests that arrive are not
  // answered; what the worker sends gets no answer. Tasks go on.
  bool cut = false;
  // Each task that starts while this is set ends at once with `error`.
  bool faulty = false;

  struct Task {
    std::uint64_t run_id = 0;
    std::string stage = "pulling", cause;
    bool on_machine = false;
  };
  const std::string name, type, zone;
  const bool spot;
  using Key = std::pair<std::string, std::uint64_t>;  // task and attempt
  std::map<Key, Task> tasks;
  [[nodiscard]] std::string report();

 private:
  friend class World;
  void after(Ms delay, std::function<void()> then);
  void send_report();
  void on_reply(const Reply& reply, Ms sent, std::uint64_t shift);
  void schedule_report(Ms delay);
  void changed();
  void handle(const Request& request, const Answer& answer);
  void execute(const Json& orders);
  void start(const Key& key);
  [[nodiscard]] std::string refusal(const Key& key) const;
  void image_there(const Key& key, std::uint64_t run_id);
  void end(const Key& key, const std::string& cause);
  void leave(const Key& key, Task& state);
  void drop_all();
  void check_lease();

  World& world_;
  std::string addr_;
  std::unique_ptr<HttpServer> server_;
  std::shared_ptr<bool> alive_;
  std::size_t node_ = 0;
  std::uint64_t shift_ = 1, tally_ = 0, warrant_ = 0, last_run_ = 0;
  Ms lease_from_ = 0, last_sent_ = 0, token_change_at_ = -1000000;
  bool in_flight_ = false, change_pending_ = false;
  std::uint64_t timer_ = 0;
  std::set<std::string> images_;
};

// ---- Cloud ----

class Cloud {
 public:
  Cloud(World& world, const std::string& endpoint);
  // How many machines can be had for each type, zone and kind (spot or not). Others: none.
  std::map<std::tuple<std::string, std::string, bool>, int> capacity;
  double boot_s = 1;  // how long a machine takes to come up
  double lag_s = 0;   // how late the list of machines is
  // Rents a machine as if it had been there for long.
  Worker& add_old_machine(const std::string& type, const std::string& zone, bool spot);
  [[nodiscard]] Worker* worker(const std::string& name);
  std::vector<std::string> machines() const;

 private:
  struct Machine {
    std::string name, type, zone, addr;
    bool spot = false;
    Ms rented_at = 0, up_at = 0;
    std::unique_ptr<Worker> worker;
  };
  void handle(const Request& request, const Answer& answer);
  std::string rent(const std::string& type, const std::string& zone, bool spot, Ms boot, Ms age);

  World& world_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, Machine> machines_;
  std::vector<std::unique_ptr<Worker>> gone_;  // machines that were deleted: silent
  std::map<std::string, Json> asked_;
  int last_ = 100;
};

// ---- Controllers ----

struct Controller {
  std::string name, zone, listen, back, settings, log;
  pid_t pid = 0;
};

// ---- The whole ----

class World {
 public:
  World(Site site, unsigned seed);
  ~World();

  Loop loop;
  Site site;
  HttpClient http;
  std::mt19937 random;
  std::map<std::string, JobSpec> jobs;
  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;
  std::vector<Controller> controllers;
  // Called when a task comes onto a machine (it has its image), and when it leaves it.
  std::function<void(const std::string&task, const Worker&worker)> on_task_start, on_task_end;
  // Called when a worker executes the command to start a task.
  std::function<void(const std::string& task, const Worker& worker)> on_run;
  // Called when a worker has taken a 200 to a report.
  std::function<void(const Worker& worker)> on_report_answered;
  // Where each task is now: machines that have it, with its image.
  std::map<std::string, std::set<std::string>> where;

  void note(const std::string& line);  // a line of record.txt
  [[nodiscard]] Ms elapsed() const { return loop.now() - began_; }
  void start_controllers();
  void start(Controller& controller);
  void kill_now(Controller& controller);            // SIGKILL
  void signal(Controller& controller, int number);  // SIGSTOP, SIGCONT
  void after(double seconds, std::function<void()> then);
  // A request of a user to one controller; `done` gets status and body (status 0: no response).
  void ask(const Controller& controller, const char* method, const std::string& path,
           const Json& body, double timeout_s, std::function<void(int, const Json&)> done);
  // Submits as users do: to the given controllers in turn, again after 1 s, for up to 60 s.
  void submit(const std::string& id, std::function<void(int)> done = nullptr,
              std::size_t first_node = 0);
  // The controller that leads, by the key in the state service; null if none.
  Controller* leader();
  [[nodiscard]] std::string work_dir() const { return temp_; }
  static int free_port();
  // Ends the run: prints the verdict, ends all processes and exits.
  [[noreturn]] void finish(int code, const std::string& verdict);

 private:
  void try_submit(const std::string& id, std::size_t node, Ms until, std::function<void(int)> done);
  Ms began_;
  std::string temp_;
  std::ofstream record_;
};

// A submission with usual values; the caller changes what it needs.
Json job(const std::string& id, const std::string& team, const std::string& shape, int pours,
         double cpus, double gpus, double memory_gb);

}  // namespace standin
