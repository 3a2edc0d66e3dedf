// Our own stand-ins for the cloud and its workers, with a checker that watches the rules.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/sim.h"
#include "wire/codec.h"

namespace seampass::fakes {

struct TaskKey {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskKey&) const = default;
};

struct JobFacts {
  wire::Job spec;
  bool accepted = false;
  bool mistaken = false;  // fails on every machine
  bool cancel_asked = false;
  bool cancelled = false;
  Ms cancelled_at = 0;
};

// What every worker shares: what jobs there are, and who runs what.
struct InvariantChecker {
  Ms cancel_ms = 0;
  std::map<std::string, JobFacts> jobs;
  std::map<TaskKey, std::string> on;  // task -> machine that has it
  std::map<TaskKey, int> starts;
  std::set<TaskKey> done;
  std::vector<std::string> broken;
  struct Place {
    std::string type, zone;
    bool spot = false;
  };
  std::map<std::string, Place> places;     // of machines
  std::map<std::string, double> gpus_max;  // of teams

  void started(const TaskKey& t, const std::string& machine, Ms now) {
    ++starts[t];
    const auto it = on.find(t);
    if (it != on.end() && it->second != machine)
      broken.push_back("ran_twice " + t.job + "/" + std::to_string(t.index));
    on[t] = machine;
    check_place(t, machine);
    check_quota(jobs[t.job].spec.team);
    // No grace for a start.
    if (jobs[t.job].cancelled) broken.push_back("started_cancelled " + t.job);
    check_cancelled(t, now);
    check_dependencies(t.job);
  }
  void check_dependencies(const std::string& id) {
    for (const std::string& dependency : jobs[id].spec.dependencies)
      for (std::uint32_t i = 0; i < jobs[dependency].spec.tasks; ++i)
        if (done.count({dependency, i}) == 0) {
          broken.push_back("too_early " + id);
          return;
        }
  }
  // The job, and those that it depends on, directly or through others.
  std::vector<const JobFacts*> with_upstream(const std::string& id) const {
    std::vector<const JobFacts*> found;
    std::set<std::string> seen{id};
    std::vector<std::string> next{id};
    while (!next.empty()) {
      const auto job = jobs.find(next.back());
      next.pop_back();
      if (job == jobs.end()) continue;
      found.push_back(&job->second);
      for (const std::string& dependency : job->second.spec.dependencies)
        if (seen.insert(dependency).second) next.push_back(dependency);
    }
    return found;
  }
  bool cancel_asked(const std::string& id) const {
    const auto all = with_upstream(id);
    return std::any_of(all.begin(), all.end(), [](const auto* job) { return job->cancel_asked; });
  }
  // Since when it is cancelled, or one of those.
  std::optional<Ms> cancelled_since(const std::string& id) const {
    std::optional<Ms> since;
    for (const JobFacts* job : with_upstream(id))
      if (job->cancelled) since = std::min(since.value_or(job->cancelled_at), job->cancelled_at);
    return since;
  }
  void stopped(const TaskKey& t, const std::string& machine, Ms now) {
    check_cancelled(t, now);
    const auto it = on.find(t);
    if (it != on.end() && it->second == machine) on.erase(it);
  }
  void check_place(const TaskKey& t, const std::string& machine) {
    const wire::Job& spec = jobs[t.job].spec;
    const Place& place = places[machine];
    bool wrong =
        (spec.zone && *spec.zone != place.zone) || (place.spot && !spec.spot) ||
        (spec.types && std::count(spec.types->begin(), spec.types->end(), place.type) == 0);
    std::uint32_t here = 0, elsewhere = 0;
    for (const auto& [other, where] : on)
      if (other.job == t.job) ++(places[where].zone == place.zone ? here : elsewhere);
    wrong = wrong || (spec.one_zone && elsewhere > 0);
    wrong = wrong || (spec.spread && here > (spec.tasks + 1) / 2);
    if (wrong) broken.push_back("wrong_place " + t.job + "/" + std::to_string(t.index));
  }
  void check_quota(const std::string& team) {
    const auto most = gpus_max.find(team);
    if (most == gpus_max.end()) return;
    double used = 0;
    for (const auto& [task, machine] : on)
      if (jobs[task.job].spec.team == team) used += jobs[task.job].spec.gpus;
    if (used > most->second + 1e-6) broken.push_back("quota " + team);
  }
  // What a user was told of a job.
  void told(const std::string& id, int status, const std::string& stage, Ms now = 0) {
    const auto j = jobs.find(id);
    if (status == 200 && j == jobs.end()) broken.push_back("invented " + id);
    if (j == jobs.end()) return;
    if (status == 404 && j->second.accepted) broken.push_back("forgotten " + id);
    std::string& last = last_told[id];
    if (!last.empty() && status == 200 && stage != last)
      broken.push_back("went_back " + id + ": " + last + " then " + stage);
    if (stage == "done" || stage == "withdrawn") last = stage;
    const auto since = cancelled_since(id);
    if (status == 200 && (stage == "queued" || stage == "running") && since &&
        now > *since + cancel_ms)
      broken.push_back("orphaned " + id);
    // (The answer to a cancellation itself is counted after this.)
    if (stage == "withdrawn" && !cancel_asked(id)) broken.push_back("cancelled_unasked " + id);
    if (stage != "done") return;
    for (std::uint32_t i = 0; i < j->second.spec.tasks; ++i)
      if (done.count({id, i}) == 0) broken.push_back("not_done " + id);
  }
  std::map<std::string, std::string> last_told;
  // Also of tasks that neither start nor stop.
  void audit(Ms now) {
    for (const auto& [task, machine] : on) check_cancelled(task, now);
  }
  void check_cancelled(const TaskKey& t, Ms now) {
    const JobFacts& j = jobs[t.job];
    if (j.cancelled && now > j.cancelled_at + cancel_ms) broken.push_back("ran_cancelled " + t.job);
  }
};

struct Timing {
  Ms report = 0, lease = 0, fetch = 300;
};

class Worker {
 public:
  Worker(SimNet& net, InvariantChecker& checker, Timing timing, std::string name, std::string type,
         std::string zone, bool spot, std::vector<std::string> nodes)
      : net_(net),
        checker_(checker),
        timing_(timing),
        name_(std::move(name)),
        type_(std::move(type)),
        zone_(std::move(zone)),
        spot_(spot),
        nodes_(std::move(nodes)),
        alive_(std::make_shared<bool>(true)) {
    net_.serve(
        addr(), [this](const net::Request& r, net::Answer a) { handle(r, a); }, true);
    answered_sent_ = now();
    checker_.places[name_] = {type_, zone_, spot_};
    report();
    watch_lease();
  }
  ~Worker() { die(); }
  Worker(const Worker&) = delete;

  std::string addr() const { return name_ + ":9000"; }
  void die() {
    if (!*alive_) return;
    *alive_ = false;
    net_.silence(addr());
    for (auto& [k, t] : tasks_)
      if (t.on) checker_.stopped(k, name_, now());
    tasks_.clear();
  }
  void fail_next(wire::ExitCause cause) { forced_ = cause; }
  // Executes nothing for so long; what arrives meanwhile is taken afterwards, in order.
  void hang(Ms d) { hung_until_ = now() + d; }
  std::optional<double> notice;

 private:
  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitCause cause = wire::ExitCause::none;
    bool on = false;
    std::uint64_t run = 0;
  };

  Ms now() const { return net_.time().now(); }
  bool hung() const { return now() < hung_until_; }
  void after(Ms d, std::function<void()> f) {
    net_.time().after(d, [alive = alive_, this, f = std::move(f)] {
      if (!*alive) return;
      if (hung()) return after(hung_until_ - now(), f);
      f();
    });
  }

  std::string report_body() {
    static constexpr const char* states[] = {"pulling", "gathering", "running", "saving", "ended"};
    static constexpr const char* causes[] = {"",      "done", "halted", "peers",  "alone",
                                             "error", "full", "busy",   "no_such"};
    wire::Json list = wire::Json::array();
    for (const auto& [k, t] : tasks_) {
      wire::Json o{{"pour", k.job + "/" + std::to_string(k.index)},
                   {"try", t.attempt},
                   {"stage", states[static_cast<int>(t.state)]}};
      if (t.state == wire::TaskState::exited) o["exit_cause"] = causes[static_cast<int>(t.cause)];
      list.push_back(o);
    }
    return wire::Json{{"host", name_},
                      {"addr", addr()},
                      {"barrel", type_},
                      {"cellar", zone_},
                      {"lent_racks", spot_},
                      {"shift", incarnation_},
                      {"tally", ++seq_},
                      {"warrant", token_},
                      {"recall_s", notice ? wire::Json(*notice) : wire::Json()},
                      {"pours", list}}
        .dump();
  }

  void report() {
    const Ms sent = now();
    const std::uint64_t incarnation = incarnation_;
    net_.call(name_, alive_, {nodes_[node_] + ":8080", "POST", "/checkin", report_body(), 4000},
              [this, sent, incarnation](const net::Reply& r) {
                Ms pause = 1000;
                if (hung()) {
                  // Too late by the time it could be read.
                } else if (r.is(200)) {
                  // A higher token is a change, and reported soon.
                  const std::uint64_t before = token_;
                  take(wire::Json::parse(r.body), sent, incarnation);
                  pause = token_ > before ? 500 : timing_.report;
                } else if (r.is(421)) {
                  const std::string to = wire::Json::parse(r.body).value("steward", "");
                  const auto it = std::find(nodes_.begin(), nodes_.end(), to);
                  if (it != nodes_.end() && *it != nodes_[node_]) {
                    node_ = static_cast<std::size_t>(it - nodes_.begin());
                    pause = 50;
                  } else {
                    node_ = (node_ + 1) % nodes_.size();
                  }
                } else {
                  node_ = (node_ + 1) % nodes_.size();
                }
                after(pause, [this] { report(); });
              });
  }

  void take(const wire::Json& o, Ms sent, std::uint64_t incarnation) {
    const std::uint64_t token = o.value("warrant", std::uint64_t{0});
    if (token < token_ || token == 0 || incarnation != incarnation_) return;
    token_ = token;
    answered_sent_ = std::max(answered_sent_, sent);
    obey(o.at("orders"));
  }

  void handle(const net::Request& r, const net::Answer& answer) {
    if (hung()) return after(hung_until_ - now(), [this, r, answer] { handle(r, answer); });
    if (r.path == "/inspect") return answer({200, report_body(), 0});
    const auto o = wire::Json::parse(r.body);
    if (o.at("warrant").get<std::uint64_t>() < token_ || o.at("shift") != incarnation_)
      return answer({409, report_body(), 0});
    token_ = o.at("warrant");
    obey(o.at("orders"));
    answer({200, report_body(), 0});
  }

  void obey(const wire::Json& commands) {
    for (const auto& c : commands) {
      const std::string pour = c.at("pour");
      const auto slash = pour.find('/');
      const TaskKey key{pour.substr(0, slash),
                        static_cast<std::uint32_t>(std::stoul(pour.substr(slash + 1)))};
      const std::uint64_t attempt = c.at("try");
      const auto it = tasks_.find(key);
      if (c.at("verb") == "run") {
        if (it != tasks_.end()) continue;
        start(key, attempt);
      } else if (it == tasks_.end() || it->second.attempt != attempt) {
        continue;
      } else if (c.at("verb") == "halt") {
        if (it->second.state != wire::TaskState::exited) exit(key, wire::ExitCause::stopped);
      } else if (it->second.state == wire::TaskState::exited) {
        tasks_.erase(it);
      }
    }
  }

  void start(const TaskKey& key, std::uint64_t attempt) {
    Task& t = tasks_[key];
    t.attempt = attempt;
    t.run = ++runs_;
    const std::uint64_t run = t.run;
    after(timing_.fetch, [this, key, run] {
      Task* task = find(key, run);
      if (!task) return;
      task->on = true;
      checker_.started(key, name_, now());
      if (checker_.done.count(key) != 0) return exit(key, wire::ExitCause::done);
      if (checker_.jobs[key.job].mistaken) return exit(key, wire::ExitCause::error);
      if (forced_) {
        const auto cause = *forced_;
        forced_.reset();
        return exit(key, cause);
      }
      const wire::Job& spec = checker_.jobs[key.job].spec;
      if (spec.kind == wire::JobKind::gang) {
        task->state = wire::TaskState::waiting;
        gang_ready(key, run);
      } else {
        task->state = wire::TaskState::running;
        if (spec.kind == wire::JobKind::array) complete_after(key, run, spec);
      }
    });
  }
  void gang_ready(const TaskKey& key, std::uint64_t run) {
    Task* task = find(key, run);
    if (!task) return;
    const wire::Job& spec = checker_.jobs[key.job].spec;
    std::uint32_t here = 0;
    for (std::uint32_t i = 0; i < spec.tasks; ++i) here += checker_.on.count({key.job, i}) != 0;
    if (here < spec.tasks) {
      after(100, [this, key, run] { gang_ready(key, run); });
      return;
    }
    task->state = wire::TaskState::running;
    complete_after(key, run, spec);
  }
  void complete_after(const TaskKey& key, std::uint64_t run, const wire::Job& spec) {
    after(net::ms(spec.estimate_s), [this, key, run] {
      if (!find(key, run)) return;
      const wire::Job& spec = checker_.jobs[key.job].spec;
      if (spec.kind == wire::JobKind::gang && checker_.done.count(key) == 0) {
        // A gang completes together, or not at all.
        for (std::uint32_t i = 0; i < spec.tasks; ++i)
          if (checker_.on.count({key.job, i}) == 0) return exit(key, wire::ExitCause::peers);
        for (std::uint32_t i = 0; i < spec.tasks; ++i) checker_.done.insert({key.job, i});
      }
      checker_.done.insert(key);
      exit(key, wire::ExitCause::done);
    });
  }
  Task* find(const TaskKey& key, std::uint64_t run) {
    const auto it = tasks_.find(key);
    const bool same =
        it != tasks_.end() && it->second.run == run && it->second.state != wire::TaskState::exited;
    return same ? &it->second : nullptr;
  }
  void exit(const TaskKey& key, wire::ExitCause cause) {
    Task& t = tasks_[key];
    if (t.on) checker_.stopped(key, name_, now());
    t.on = false;
    t.state = wire::TaskState::exited;
    t.cause = cause;
  }

  void expire() {
    if (now() - answered_sent_ <= timing_.lease) return;
    for (auto& [k, t] : tasks_)
      if (t.on) checker_.stopped(k, name_, now());
    tasks_.clear();
    ++incarnation_;
    answered_sent_ = now();
  }
  // (A machine that hangs may go on within its lease, and not after it.)
  void watch_lease() {
    net_.time().after(200, [this, alive = alive_] {
      if (!*alive) return;
      expire();
      watch_lease();
    });
  }

  SimNet& net_;
  InvariantChecker& checker_;
  Timing timing_;
  std::string name_, type_, zone_;
  bool spot_;
  std::vector<std::string> nodes_;
  std::shared_ptr<bool> alive_;
  std::size_t node_ = 0;
  std::uint64_t incarnation_ = 1, seq_ = 0, token_ = 0, runs_ = 0;
  Ms answered_sent_ = 0, hung_until_ = 0;
  std::map<TaskKey, Task> tasks_;
  std::optional<wire::ExitCause> forced_;
};

class CloudService {
 public:
  CloudService(SimNet& net, InvariantChecker& checker, Timing timing,
               std::vector<std::string> nodes)
      : net_(net), checker_(checker), timing_(timing), nodes_(std::move(nodes)) {}

  bool down = false;
  bool keeps = false;  // deletes nothing
  int capacity = 20;
  int rented = 0;
  std::map<std::string, int> rented_in;  // by zone
  std::map<std::string, std::unique_ptr<Worker>> machines;

  std::string boot(const std::string& type, const std::string& zone, bool spot, Ms delay) {
    char name[32];
    std::snprintf(name, sizeof name, "m-%06d", ++last_);
    listed_[name] = {type, zone, spot, net_.time().now()};
    net_.time().after(delay, [this, n = std::string(name), type, zone, spot] {
      if (listed_.count(n) == 0) return;
      machines[n] = std::make_unique<Worker>(net_, checker_, timing_, n, type, zone, spot, nodes_);
    });
    return name;
  }

  // The machine ends and is back at once, under its name, remembering nothing.
  void restart(const std::string& n) {
    const Listed& l = listed_.at(n);
    machines.erase(n);
    machines[n] =
        std::make_unique<Worker>(net_, checker_, timing_, n, l.type, l.zone, l.spot, nodes_);
  }

  void handle(const net::Request& r, const net::Answer& answer) {
    if (down) return answer({503, R"({"error":"trouble"})", 0});
    if (r.path == "/catalog")
      return answer(
          {200,
           R"({"barrels":[{"name":"big","cpus":8,"accelerators":2,"memory_gb":64,"cache_gb":50,
             "fetch_gb_per_s":1,"price":4,"low_price":1.5,"ready_s":5,"cellars":["a","b"]}]})",
           0});
    if (r.path == "/rentals" && r.method == "POST") {
      const auto o = wire::Json::parse(r.body);
      const std::string ask = o.at("hire_ask");
      if (asked_.count(ask) == 0) {
        int n =
            std::min<int>(o.at("count").get<int>(), capacity - static_cast<int>(listed_.size()));
        if (n <= 0) return answer({503, R"({"error":"no capacity"})", 0});
        rented += n;
        rented_in[o.at("cellar")] += n;
        while (n-- > 0)
          asked_[ask].push_back(boot(o.at("barrel"), o.at("cellar"), o.at("lent_racks"), 3000));
      }
      return answer({200, wire::Json{{"hosts", asked_[ask]}}.dump(), 0});
    }
    if (r.path == "/rentals/delete") {
      if (keeps) return answer({503, R"({"error":"trouble"})", 0});
      const auto names = wire::Json::parse(r.body).at("hosts").get<std::vector<std::string>>();
      for (const std::string& n : names) {
        machines.erase(n);
        listed_.erase(n);
      }
      return answer({200, "{}", 0});
    }
    wire::Json hosts = wire::Json::array();
    for (const auto& [n, l] : listed_)
      hosts.push_back({{"ref", n},
                       {"addr", n + ":9000"},
                       {"barrel", l.type},
                       {"cellar", l.zone},
                       {"lent_racks", l.spot},
                       {"stage", machines.count(n) != 0 ? "running" : "starting"},
                       {"age_s", static_cast<double>(net_.time().now() - l.since) / 1000}});
    answer({200, wire::Json{{"hosts", hosts}, {"has_next", false}}.dump(), 0});
  }

 private:
  struct Listed {
    std::string type, zone;
    bool spot = false;
    Ms since = 0;
  };
  SimNet& net_;
  InvariantChecker& checker_;
  Timing timing_;
  std::vector<std::string> nodes_;
  int last_ = 0;
  std::map<std::string, Listed> listed_;
  std::map<std::string, std::vector<std::string>> asked_;
};

}  // namespace seampass::fakes
