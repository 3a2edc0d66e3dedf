// Stand-ins of the platform: the state service, the cloud and the workers, after the users' pages.
#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <vector>

#include "http.h"

namespace standin {

using Json = nlohmann::json;

// ---- record.txt ----

class Record {
 public:
  void open(const std::string& file) { file_ = std::fopen(file.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2000];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    const double t = seconds_since(start_);
    if (file_) {
      std::fprintf(file_, "%8.3f %s\n", t, text);
      std::fflush(file_);
    }
  }
  double elapsed() const { return seconds_since(start_); }

 private:
  Time start_ = now();
  std::FILE* file_ = nullptr;
  std::mutex mutex_;
};
inline Record record;

inline Response json_response(int status, const Json& body) { return {status, body.dump()}; }

inline std::string query(const std::string& path, const std::string& name) {
  const auto mark = path.find('?');
  if (mark == std::string::npos) return "";
  std::string rest = path.substr(mark + 1);
  for (std::size_t at = 0; at < rest.size();) {
    auto end = rest.find('&', at);
    if (end == std::string::npos) end = rest.size();
    const std::string pair = rest.substr(at, end - at);
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
    at = end + 1;
  }
  return "";
}

// ---- State service ----

// What a case may do to one request: `delay_s` before it is carried out, or refuse or lose it.
struct StateTrouble {
  double delay_s = 0;          // carried out this much later
  double answer_delay_s = 0;   // carried out at once, answered this much later
  bool refuse = false;         // 503, not carried out
  bool lose_answer = false;    // no answer
};

class StateService {
 public:
  struct Limits {
    double rps = 80, write_rps = 30, value_kb = 32;
    int txn_ops = 12;
  };
  // Asked for each request: the node that sent it, and the request.
  std::function<StateTrouble(const std::string& node, const Request&)> trouble;

  explicit StateService(Limits limits) : limits_(limits), tokens_(limits.rps), writes_(limits.write_rps) {
    std::thread([this] {
      for (;;) {
        sleep_s(0.02);
        const std::lock_guard lock(mutex_);
        expire();
      }
    }).detach();
  }
  // A port for one node, so that the case can tell the nodes apart.
  int port_for(const std::string& node) {
    servers_.push_back(std::make_unique<Server>(
        [this, node](const Request& request) { return handle(node, request); }));
    return servers_.back()->port();
  }
  Json value(const std::string& key) {
    const std::lock_guard lock(mutex_);
    const auto it = keys_.find(key);
    return it == keys_.end() ? Json() : it->second.v;
  }
  std::size_t count(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::size_t n = 0;
    for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it) ++n;
    return n;
  }
  // The values under a prefix, as text.
  std::string text(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::string all;
    for (auto it = keys_.lower_bound(prefix); it != keys_.end() && it->first.starts_with(prefix); ++it)
      all += it->first + " " + it->second.v.dump() + " ";
    return all;
  }
  std::string leader() {
    const Json v = value("leader");
    return v.is_object() ? v.value("node", "") : "";
  }

 private:
  struct Item {
    Json v;
    std::uint64_t stamp = 0, permit = 0;
  };
  struct Lease {
    double ttl_s = 0;
    Time ends;
  };
  struct Event {
    std::uint64_t stamp;
    std::string key;
    Json v;  // null: deleted
    bool write;
  };

  std::optional<Response> handle(const std::string& node, const Request& request) {
    const StateTrouble t = trouble ? trouble(node, request) : StateTrouble{};
    if (t.refuse) return json_response(503, {{"error", "trouble"}});
    if (t.delay_s > 0) sleep_s(t.delay_s);
    Response response = carry_out(request);
    if (t.lose_answer) return std::nullopt;
    if (t.answer_delay_s > 0) sleep_s(t.answer_delay_s);
    return response;
  }
  Response carry_out(const Request& request) {
    sleep_s(0.004);
    if (request.path.starts_with("/watch")) return watch(request);
    const std::lock_guard lock(mutex_);
    expire();
    refill();
    if (tokens_ < 1) return json_response(429, Json::object());
    tokens_ -= 1;
    if (request.path == "/txn") return txn(request);
    if (request.path.starts_with("/keys/")) return get(request.path.substr(6));
    if (request.path.starts_with("/keys?")) return list(request);
    if (request.path == "/leases") {
      const double ttl = Json::parse(request.body).at("ttl_ms").get<double>() / 1000;
      const std::uint64_t id = ++last_lease_;
      leases_[id] = {ttl, now() + secs(ttl)};
      return json_response(200, {{"permit", id}});
    }
    if (request.path.starts_with("/leases/")) {
      const std::uint64_t id = std::strtoull(request.path.c_str() + 8, nullptr, 10);
      const auto it = leases_.find(id);
      if (it == leases_.end()) return json_response(404, Json::object());
      if (request.method == "DELETE") {
        end_lease(id);
      } else {
        it->second.ends = now() + secs(it->second.ttl_s);
      }
      return json_response(200, {{"permit", id}});
    }
    return json_response(400, Json::object());
  }
  void refill() {
    const Time t = now();
    const double s = std::chrono::duration<double>(t - refilled_).count();
    refilled_ = t;
    tokens_ = std::min(limits_.rps, tokens_ + s * limits_.rps);
    writes_ = std::min(limits_.write_rps, writes_ + s * limits_.write_rps);
  }
  void expire() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_)
      if (now() > lease.ends + secs(0.02)) ended.push_back(id);
    for (const std::uint64_t id : ended) end_lease(id);
  }
  void end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> gone;
    for (const auto& [key, item] : keys_)
      if (item.permit == id) gone.push_back(key);
    if (gone.empty()) return;
    ++revision_;
    for (const std::string& key : gone) remove(key);
    changed_.notify_all();
  }
  void remove(const std::string& key) {
    if (keys_.erase(key) != 0) log_.push_back({revision_, key, Json(), false});
  }
  Response get(const std::string& key) {
    const auto it = keys_.find(key);
    if (it == keys_.end()) return json_response(404, {{"ledger_rev", revision_}});
    return json_response(200, row(it->first, it->second));
  }
  static Json row(const std::string& key, const Item& item) {
    Json r{{"path", key}, {"v", item.v}, {"stamp", item.stamp}};
    if (item.permit != 0) r["permit"] = item.permit;
    return r;
  }
  Response list(const Request& request) {
    const std::string under = query(request.path, "under"), since = query(request.path, "since");
    const std::string most = query(request.path, "most");
    const std::size_t max = most.empty() ? 1000 : std::min(1000UL, std::strtoul(most.c_str(), nullptr, 10));
    Json rows = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    for (auto it = keys_.lower_bound(std::max(under, since)); it != keys_.end(); ++it) {
      if (!it->first.starts_with(under)) break;
      if (it->first <= since) continue;
      Json r = row(it->first, it->second);
      bytes += r.dump().size();
      if (rows.size() == max || bytes > (500U << 10)) {
        more = true;
        break;
      }
      rows.push_back(std::move(r));
    }
    return json_response(200, {{"rows", rows}, {"has_next", more}, {"ledger_rev", revision_}});
  }
  Response txn(const Request& request) {
    const Json body = Json::parse(request.body, nullptr, false);
    if (body.is_discarded() || request.body.size() > (64U << 10)) return json_response(400, Json::object());
    const Json changes = body.value("apply", Json::array());
    const Json conditions = body.value("if", Json::array());
    if (static_cast<int>(changes.size()) > limits_.txn_ops ||
        static_cast<int>(conditions.size()) > 4 * limits_.txn_ops)
      return json_response(400, {{"error", "too many"}});
    for (const Json& change : changes) {
      if (!change.contains("write")) continue;
      if (static_cast<double>(change.at("v").dump().size()) > limits_.value_kb * 1024)
        return json_response(400, {{"error", "value too large"}});
      if (change.contains("permit") && !leases_.contains(change["permit"].get<std::uint64_t>()))
        return json_response(400, {{"error", "no such lease"}});
    }
    if (writes_ < static_cast<double>(changes.size()) && !changes.empty() && writes_ < 1)
      return json_response(429, Json::object());
    writes_ -= static_cast<double>(changes.size());
    Json failed = Json::array();
    for (const Json& condition : conditions) {
      const auto it = keys_.find(condition.at("path").get<std::string>());
      const std::uint64_t stamp = it == keys_.end() ? 0 : it->second.stamp;
      if (stamp != condition.at("stamp").get<std::uint64_t>()) failed.push_back(condition.at("path"));
    }
    if (!failed.empty()) return json_response(409, {{"failed", failed}, {"ledger_rev", revision_}});
    if (!changes.empty()) ++revision_;
    for (const Json& change : changes) {
      if (change.contains("delete")) {
        remove(change["delete"].get<std::string>());
        continue;
      }
      const std::string key = change["write"].get<std::string>();
      keys_[key] = {change.at("v"), revision_, change.value("permit", std::uint64_t{0})};
      log_.push_back({revision_, key, change.at("v"), true});
    }
    while (log_.size() > 10000) log_.pop_front();
    changed_.notify_all();
    return json_response(200, {{"ledger_rev", revision_}});
  }
  Response watch(const Request& request) {
    const std::string under = query(request.path, "under");
    const std::uint64_t since = std::strtoull(query(request.path, "since").c_str(), nullptr, 10);
    const double block_ms = std::strtod(query(request.path, "block_ms").c_str(), nullptr);
    std::unique_lock lock(mutex_);
    refill();
    if (tokens_ < 1) return json_response(429, Json::object());
    tokens_ -= 1;
    if (block_ms > 60000) return json_response(400, Json::object());
    const Time deadline = now() + secs(block_ms / 1000);
    for (;;) {
      if (!log_.empty() && log_.size() >= 10000 && log_.front().stamp > since + 1)
        return json_response(410, Json::object());
      Json events = Json::array();
      for (const Event& event : log_) {
        if (event.stamp <= since || !event.key.starts_with(under)) continue;
        if (event.write) events.push_back({{"write", event.key}, {"v", event.v}, {"stamp", event.stamp}});
        else events.push_back({{"delete", event.key}, {"stamp", event.stamp}});
      }
      if (!events.empty() || now() >= deadline)
        return json_response(200, {{"ledger_rev", revision_}, {"log", events}});
      changed_.wait_until(lock, deadline);
    }
  }

  Limits limits_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Event> log_;
  std::uint64_t revision_ = 1, last_lease_ = 0;
  double tokens_, writes_;
  Time refilled_ = now();
  std::vector<std::unique_ptr<Server>> servers_;
};

// ---- Jobs, as their users know them ----

struct JobSpec {
  Json body;
  double run_s = 5;        // how long one task runs
  double error_at_s = -1;  // submitted with a mistake: each attempt fails after this time
  std::string id() const { return body.at("ref"); }
};

class JobBook {
 public:
  void add(const JobSpec& job) {
    const std::lock_guard lock(mutex_);
    jobs_[job.id()] = job;
  }
  std::optional<JobSpec> find(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? std::nullopt : std::optional(it->second);
  }
  // Progress and results are kept outside the machines.
  bool done(const std::string& pour) {
    const std::lock_guard lock(mutex_);
    return done_.contains(pour);
  }
  void set_done(const std::string& pour) {
    const std::lock_guard lock(mutex_);
    done_.insert(pour);
  }
  double progress(const std::string& pour) {
    const std::lock_guard lock(mutex_);
    return progress_[pour];
  }
  void set_progress(const std::string& pour, double s) {
    const std::lock_guard lock(mutex_);
    progress_[pour] = std::max(progress_[pour], s);
  }

 private:
  std::mutex mutex_;
  std::map<std::string, JobSpec> jobs_;
  std::set<std::string> done_;
  std::map<std::string, double> progress_;
};

// ---- Workers ----

struct WorkerTimes {
  double report_s = 3, lease_s = 22, gang_wait_s = 35, gang_peer_s = 4;
};

// What is on the machines, seen from outside; a case judges by this.
struct TaskEvent {
  double t;
  std::string pour;  // "wk-1/0"
  std::uint64_t attempt;
  std::string host, cellar;
  bool start;  // else its end
};

class Ground {
 public:
  void add(const TaskEvent& event) {
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
    if (event.start) on_[event.pour].insert(event.host);
    else on_[event.pour].erase(event.host);
  }
  std::vector<TaskEvent> events() {
    const std::lock_guard lock(mutex_);
    return events_;
  }
  // The machines that a task is on now.
  std::set<std::string> hosts(const std::string& pour) {
    const std::lock_guard lock(mutex_);
    return on_[pour];
  }
  // How many tasks whose names begin like this have started.
  std::size_t starting(const std::string& prefix) {
    const std::lock_guard lock(mutex_);
    std::set<std::string> pours;
    for (const TaskEvent& event : events_)
      if (event.start && event.pour.starts_with(prefix)) pours.insert(event.pour);
    return pours.size();
  }
  std::size_t starts(const std::string& pour) {
    const std::lock_guard lock(mutex_);
    std::size_t n = 0;
    for (const TaskEvent& event : events_) n += event.start && event.pour == pour ? 1 : 0;
    return n;
  }

 private:
  std::mutex mutex_;
  std::vector<TaskEvent> events_;
  std::map<std::string, std::set<std::string>> on_;
};

struct MachineType {
  std::string name;
  double cpus = 0, accelerators = 0, memory_gb = 0, price = 1, low_price = 0.4, ready_s = 25,
         fetch_gb_per_s = 1, cache_gb = 80;
  std::vector<std::string> cellars;
};

struct NodeAddress {
  std::string name;
  int port;
};

class Worker {
 public:
  Worker(std::string host, MachineType type, std::string cellar, bool lent, WorkerTimes times,
         std::vector<NodeAddress> nodes, JobBook& jobs, Ground& ground)
      : host_(std::move(host)), type_(std::move(type)), cellar_(std::move(cellar)), lent_(lent),
        times_(times), nodes_(std::move(nodes)), jobs_(jobs), ground_(ground),
        random_(std::hash<std::string>{}(host_)),
        server_([this](const Request& request) { return handle(request); }) {
    node_ = random_() % nodes_.size();
    begun_ = now();
    std::thread([this] { report_forever(); }).detach();
    std::thread([this] { run_forever(); }).detach();
  }
  std::string addr() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  const std::string& host() const { return host_; }
  const std::string& cellar() const { return cellar_; }

  std::atomic<bool> hung{false};   // does nothing, and may go on
  std::atomic<bool> dead{false};   // power lost
  std::atomic<bool> deaf{false};   // its reports arrive; answers and direct commands are lost
  // The largest body of /commands, line of an answer and report that any worker has seen.
  inline static std::atomic<std::size_t> largest_commands{0}, longest_line{0}, largest_report{0};
  // "A request body may be at most 64 KiB. A response to workers and users must not have any line
  // longer than 64 KiB."
  static constexpr std::size_t kLimit = 64U << 10;

  // Ends the machine with all that is on it.
  void kill() {
    dead = true;
    const std::lock_guard lock(mutex_);
    drop_tasks("the machine ended");
  }
  // The machine ends and is back at once, under its name: its first session and count again.
  void restart() {
    const std::lock_guard lock(mutex_);
    drop_tasks("the machine restarted");
    shift_ = 1;
    tally_ = warrant_ = 0;
    begun_ = now();
    last_answered_.reset();
    images_.clear();
    ++life_;
    record.line("%s is back at once", host_.c_str());
  }

 private:
  struct Task {
    std::string pour;
    std::uint64_t attempt = 0;
    std::string stage = "pulling", why;
    bool kept = false;
    Time ready, run_from, saved_at;
    double before_s = 0;  // progress of earlier attempts
    JobSpec job;
    bool on = false;  // told to `ground_`
  };

  // Called with the lock held.
  void drop_tasks(const char* why) {
    for (auto& [id, task] : tasks_) leave(task, why);
    tasks_.clear();
  }
  void enter(Task& task) {
    task.on = true;
    record.line("%s: %s try %llu starts (%s)", host_.c_str(), task.pour.c_str(),
                static_cast<unsigned long long>(task.attempt), cellar_.c_str());
    ground_.add({record.elapsed(), task.pour, task.attempt, host_, cellar_, true});
  }
  void leave(Task& task, const std::string& why) {
    if (!task.on) return;
    task.on = false;
    record.line("%s: %s try %llu is gone (%s)", host_.c_str(), task.pour.c_str(),
                static_cast<unsigned long long>(task.attempt), why.c_str());
    ground_.add({record.elapsed(), task.pour, task.attempt, host_, cellar_, false});
  }
  void end(Task& task, const std::string& why, bool kept = false) {
    leave(task, why + (kept ? ", kept" : ""));
    task.stage = "ended";
    task.why = why;
    task.kept = kept;
    changed_ = true;
  }

  Json report() {
    Json pours = Json::array();
    for (const auto& [id, task] : tasks_) {
      Json p{{"pour", task.pour}, {"try", task.attempt}, {"stage", task.stage}};
      if (task.stage == "ended") {
        p["exit_cause"] = task.why;
        if (task.kept) p["kept"] = true;
      }
      pours.push_back(std::move(p));
    }
    return {{"host", host_},   {"addr", addr()},     {"barrel", type_.name},  {"cellar", cellar_},
            {"lent_racks", lent_}, {"shift", shift_}, {"tally", ++tally_}, {"warrant", warrant_},
            {"recall_s", nullptr}, {"pours", pours}};
  }

  bool expired() const {
    return seconds_since(last_answered_ ? std::max(*last_answered_, begun_) : begun_) > times_.lease_s;
  }
  void check_lease() {
    if (!expired()) return;
    drop_tasks("lease expired");
    ++shift_;
    begun_ = now();
    last_answered_.reset();
    changed_ = true;
    record.line("%s: lease expired, session %llu", host_.c_str(), static_cast<unsigned long long>(shift_));
  }

  double used(const char* what) const {
    double sum = 0;
    for (const auto& [id, task] : tasks_)
      if (task.stage != "ended") sum += task.job.body.at(what).get<double>();
    return sum;
  }
  void start(const std::string& pour, std::uint64_t attempt) {
    if (tasks_.contains({pour, attempt})) return;
    Task task;
    task.pour = pour;
    task.attempt = attempt;
    const auto slash = pour.find('/');
    const auto job = jobs_.find(pour.substr(0, slash));
    bool same_task = false;
    for (const auto& [id, other] : tasks_) same_task = same_task || (id.first == pour && other.stage != "ended");
    if (!job || std::strtoul(pour.c_str() + slash + 1, nullptr, 10) >= job->body.at("pours").get<unsigned long>()) {
      task.stage = "ended";
      task.why = "no_such";
    } else if (same_task) {
      task.job = *job;
      task.stage = "ended";
      task.why = "busy";
    } else {
      task.job = *job;
      const Json& b = job->body;
      if (used("cpus") + b["cpus"].get<double>() > type_.cpus + 1e-6 ||
          used("accelerators") + b["accelerators"].get<double>() > type_.accelerators + 1e-6 ||
          used("memory_gb") + b["memory_gb"].get<double>() > type_.memory_gb + 1e-6) {
        task.stage = "ended";
        task.why = "full";
      } else {
        const std::string image = b["blend"];
        task.ready = now();
        if (!images_.contains(image)) task.ready += secs(b["pull_gb"].get<double>() / type_.fetch_gb_per_s);
      }
    }
    if (task.stage == "ended") record.line("%s: start of %s refused: %s", host_.c_str(), pour.c_str(), task.why.c_str());
    tasks_[{pour, attempt}] = task;
    changed_ = true;
  }
  void execute(const Json& orders) {
    for (const Json& order : orders) {
      const std::string verb = order.at("verb"), pour = order.at("pour");
      const std::uint64_t attempt = order.at("try");
      if (verb == "run") {
        record.line("%s: run %s try %llu", host_.c_str(), pour.c_str(), static_cast<unsigned long long>(attempt));
        start(pour, attempt);
        continue;
      }
      const auto it = tasks_.find({pour, attempt});
      if (it == tasks_.end()) continue;
      Task& task = it->second;
      if (verb == "reap") {
        if (task.stage == "ended") tasks_.erase(it);
        continue;
      }
      if (task.stage == "ended") continue;
      const double wind_down = order.value("wind_down_s", 0.0);
      const Json& b = task.job.body;
      record.line("%s: halt %s try %llu, %.1f s", host_.c_str(), pour.c_str(),
                  static_cast<unsigned long long>(attempt), wind_down);
      if (task.stage == "running" && b["rack_every_s"].get<double>() > 0 && wind_down >= b["rack_s"].get<double>()) {
        task.stage = "saving";
        task.saved_at = now() + secs(b["rack_s"].get<double>());
        task.before_s += std::chrono::duration<double>(now() - task.run_from).count();
        changed_ = true;
      } else if (task.stage != "saving" || wind_down == 0) {
        end(task, "halted");
      }
    }
  }

  std::optional<Response> handle(const Request& request) {
    const std::uint64_t life = life_;
    if (request.path == "/commands") {
      raise(largest_commands, request.body.size());
      if (request.body.size() > kLimit) {
        record.line("%s: a body of /commands of %zu bytes, answered with 413", host_.c_str(), request.body.size());
        return json_response(413, Json::object());
      }
    }
    while (hung && !dead) sleep_s(0.02);
    if (dead || deaf || life != life_) {
      if (dead || life != life_) return std::nullopt;
      sleep_s(30);
      return std::nullopt;
    }
    return take(request);
  }
  static void raise(std::atomic<std::size_t>& most, std::size_t size) {
    std::size_t seen = most;
    while (size > seen && !most.compare_exchange_weak(seen, size)) {
    }
  }
  static std::size_t longest(const std::string& text) {
    std::size_t most = 0, begin = 0;
    for (std::size_t i = 0; i <= text.size(); ++i)
      if (i == text.size() || text[i] == '\n') {
        most = std::max(most, i - begin);
        begin = i + 1;
      }
    return most;
  }
  Response take(const Request& request) {
    const std::lock_guard lock(mutex_);
    check_lease();
    if (request.path == "/inspect") return json_response(200, report());
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("warrant") || !body.contains("shift")) return json_response(400, Json::object());
    const std::uint64_t warrant = body["warrant"], shift = body["shift"];
    if (warrant < warrant_ || shift != shift_) return json_response(409, report());
    see(warrant);
    execute(body.value("orders", Json::array()));
    return json_response(200, report());
  }
  void see(std::uint64_t warrant) {
    if (warrant <= warrant_) return;
    warrant_ = warrant;
    if (seconds_since(token_change_) > times_.lease_s / 2 || !token_change_seen_) {
      changed_ = true;
      token_change_seen_ = true;
      token_change_ = now();
    }
  }

  void report_forever() {
    double pause = 0;
    while (!dead) {
      const Time sent_last = now();
      // Waits for the next report, or a change.
      for (;;) {
        sleep_s(0.02);
        if (dead) return;
        if (hung) continue;
        const double waited = seconds_since(sent_last);
        if (waited >= pause || (changed_ && may_hurry_ && waited >= 0.5)) break;
      }
      std::string body;
      std::uint64_t shift = 0;
      const std::uint64_t life = life_;
      {
        const std::lock_guard lock(mutex_);
        check_lease();
        changed_ = false;
        body = report().dump();
        shift = shift_;
      }
      raise(largest_report, body.size());
      const Time sent = now();
      const std::size_t to = node_;
      std::optional<Response> answer = call(nodes_[to].port, "POST", "/checkin", body, 4);
      while (hung && !dead) sleep_s(0.02);
      if (dead) return;
      if (life != life_) {
        pause = 0.1;
        continue;
      }
      if (deaf) {  // a lost answer is waited for, as the page says
        answer.reset();
        while (seconds_since(sent) < 4 && !dead) sleep_s(0.02);
      }
      pause = times_.report_s * (0.75 + 0.5 * (random_() % 1000) / 1000.0);
      may_hurry_ = true;
      if (answer && seconds_since(sent) > 4) answer.reset();
      if (answer) {
        const std::size_t line = longest(answer->body);
        raise(longest_line, line);
        if (line > kLimit) {
          record.line("%s: an answer with a line of %zu bytes, dropped", host_.c_str(), line);
          answer.reset();
        }
      }
      if (answer && answer->status == 200) {
        const Json reply = Json::parse(answer->body, nullptr, false);
        const std::lock_guard lock(mutex_);
        check_lease();
        if (shift != shift_ || !reply.is_object()) continue;
        const std::uint64_t warrant = reply.value("warrant", std::uint64_t{0});
        if (!reply.contains("warrant") || warrant < warrant_) continue;
        last_answered_ = sent;
        see(warrant);
        execute(reply.value("orders", Json::array()));
        continue;
      }
      may_hurry_ = false;
      if (answer && answer->status == 421) {
        const Json reply = Json::parse(answer->body, nullptr, false);
        const std::string steward = reply.is_object() ? reply.value("steward", "") : "";
        std::size_t next = to;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
          if (nodes_[i].name == steward) next = i;
        if (next != to) {
          node_ = next;
          pause = 0.1;
          continue;
        }
      }
      node_ = (to + 1) % nodes_.size();
      pause = 1;
    }
  }

  void run_forever() {
    while (!dead) {
      sleep_s(0.02);
      const std::lock_guard lock(mutex_);
      check_lease();  // a hanging machine may go on within its lease only
      if (hung) continue;
      for (auto& [id, task] : tasks_) {
        if (task.stage == "pulling" && now() >= task.ready) {
          images_.insert(task.job.body["blend"].get<std::string>());
          enter(task);
          if (jobs_.done(task.pour)) {
            end(task, "done");
            continue;
          }
          // Gangs of one task only: nothing to wait for.
          task.stage = "running";
          task.run_from = now();
          task.before_s = jobs_.progress(task.pour);
          changed_ = true;
        } else if (task.stage == "running") {
          const double ran = task.before_s + seconds_since(task.run_from);
          const double every = task.job.body["rack_every_s"];
          if (every > 0) jobs_.set_progress(task.pour, every * static_cast<int>(ran / every));
          if (task.job.error_at_s >= 0 && seconds_since(task.run_from) >= task.job.error_at_s) {
            end(task, "error");
            continue;
          }
          if (task.job.body["shape"] != "standing" && ran >= task.job.run_s) {
            jobs_.set_done(task.pour);
            end(task, "done");
          }
        } else if (task.stage == "saving" && now() >= task.saved_at) {
          jobs_.set_progress(task.pour, task.before_s);
          end(task, "halted", true);
        }
      }
    }
  }

  std::string host_;
  MachineType type_;
  std::string cellar_;
  bool lent_;
  WorkerTimes times_;
  std::vector<NodeAddress> nodes_;
  JobBook& jobs_;
  Ground& ground_;
  std::minstd_rand random_;
  std::mutex mutex_;
  std::atomic<bool> changed_{false}, may_hurry_{true};
  bool token_change_seen_ = false;
  Time token_change_ = now();
  std::atomic<std::uint64_t> life_{0};
  std::uint64_t shift_ = 1, tally_ = 0, warrant_ = 0;
  Time begun_;
  std::optional<Time> last_answered_;
  std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;
  std::set<std::string> images_;
  std::size_t node_ = 0;
  Server server_;
};

// ---- Cloud ----

class Cloud {
 public:
  struct Offer {
    int count = 100;        // machines of this type, zone and kind that there are
    double boot_s = 1.5;    // how long one takes to boot
  };
  Cloud(std::vector<MachineType> types, double rps, WorkerTimes times, JobBook& jobs, Ground& ground)
      : types_(std::move(types)), rps_(rps), tokens_(2 * rps), times_(times), jobs_(jobs), ground_(ground),
        server_([this](const Request& request) { return handle(request); }) {}
  int port() const { return server_.port(); }
  void set_nodes(std::vector<NodeAddress> nodes) { nodes_ = std::move(nodes); }
  // Which machines there are; by default none.
  void offer(const std::string& type, const std::string& cellar, bool lent, Offer offer) {
    const std::lock_guard lock(mutex_);
    offers_[{type, cellar, lent}] = offer;
  }
  void set_lag(double s) { lag_s_ = s; }
  std::shared_ptr<Worker> worker(const std::string& host) {
    const std::lock_guard lock(mutex_);
    const auto it = machines_.find(host);
    return it == machines_.end() ? nullptr : it->second.worker;
  }
  std::set<std::string> hosts() {
    const std::lock_guard lock(mutex_);
    std::set<std::string> names;
    for (const auto& [name, machine] : machines_)
      if (!machine.deleted) names.insert(name);
    return names;
  }
  double rented_at(const std::string& host) {
    const std::lock_guard lock(mutex_);
    return machines_.at(host).rented_record_s;
  }

 private:
  struct Machine {
    std::string type, cellar;
    bool lent = false, deleted = false;
    Time rented, up, deleted_at;
    double rented_record_s = 0;
    std::shared_ptr<Worker> worker;
  };
  std::optional<Response> handle(const Request& request) {
    sleep_s(0.05);
    const std::lock_guard lock(mutex_);
    const Time t = now();
    tokens_ = std::min(2 * rps_, tokens_ + std::chrono::duration<double>(t - refilled_).count() * rps_);
    refilled_ = t;
    if (tokens_ < 1) return json_response(429, Json::object());
    tokens_ -= 1;
    if (request.path == "/catalog") return catalog();
    if (request.path == "/rentals" && request.method == "POST") return rent(Json::parse(request.body));
    if (request.path == "/rentals/delete") return remove(Json::parse(request.body));
    return list(request);
  }
  Response catalog() {
    Json barrels = Json::array();
    for (const MachineType& t : types_)
      barrels.push_back({{"name", t.name}, {"cpus", t.cpus}, {"accelerators", t.accelerators},
                         {"memory_gb", t.memory_gb}, {"cache_gb", t.cache_gb},
                         {"fetch_gb_per_s", t.fetch_gb_per_s}, {"price", t.price},
                         {"low_price", t.low_price}, {"ready_s", t.ready_s}, {"cellars", t.cellars}});
    return json_response(200, {{"barrels", barrels}});
  }
  Response rent(const Json& ask) {
    const std::string name = ask.at("hire_ask");
    if (answered_.contains(name)) return json_response(200, answered_[name]);
    const std::string type = ask.at("barrel"), cellar = ask.at("cellar");
    const bool lent = ask.at("lent_racks");
    const auto offered = offers_.find({type, cellar, lent});
    int room = offered == offers_.end() ? 0 : offered->second.count;
    for (const auto& [host, machine] : machines_)
      if (!machine.deleted && machine.type == type && machine.cellar == cellar && machine.lent == lent) --room;
    const int count = std::min(room, ask.at("count").get<int>());
    if (count <= 0) {
      record.line("cloud: %s of type %s in %s, spot %d: no capacity", name.c_str(), type.c_str(), cellar.c_str(), lent);
      return json_response(503, {{"error", "no capacity"}});
    }
    Json hosts = Json::array();
    for (int i = 0; i < count; ++i) {
      char host[20];
      std::snprintf(host, sizeof host, "m-%06d", ++last_host_);
      Machine& machine = machines_[host];
      machine = {type, cellar, lent, false, now(), now() + secs(offered->second.boot_s), {}, record.elapsed(), nullptr};
      hosts.push_back(host);
      record.line("cloud: rented %s, type %s in %s, spot %d", host, type.c_str(), cellar.c_str(), lent);
      std::thread([this, name = std::string(host), boot = offered->second.boot_s] {
        sleep_s(boot);
        const std::lock_guard lock(mutex_);
        Machine& up = machines_[name];
        if (up.deleted) return;
        const auto type = std::find_if(types_.begin(), types_.end(), [&](const MachineType& t) { return t.name == up.type; });
        up.worker = std::make_shared<Worker>(name, *type, up.cellar, up.lent, times_, nodes_, jobs_, ground_);
        keep_.push_back(up.worker);
        record.line("cloud: %s is up", name.c_str());
      }).detach();
    }
    answered_[name] = {{"hosts", hosts}};
    return json_response(200, answered_[name]);
  }
  Response remove(const Json& ask) {
    for (const Json& host : ask.at("hosts")) {
      const auto it = machines_.find(host.get<std::string>());
      if (it == machines_.end() || it->second.deleted) continue;
      it->second.deleted = true;
      it->second.deleted_at = now();
      if (it->second.worker) it->second.worker->kill();
      record.line("cloud: %s deleted", it->first.c_str());
    }
    return json_response(200, Json::object());
  }
  Response list(const Request& request) {
    const std::string since = query(request.path, "since");
    const Time as_of = now() - secs(lag_s_);
    Json hosts = Json::array();
    for (const auto& [name, m] : machines_) {
      if (name <= since || m.rented > as_of || (m.deleted && m.deleted_at <= as_of)) continue;
      const bool up = m.up <= as_of && m.worker;
      Json row{{"ref", name}, {"barrel", m.type}, {"cellar", m.cellar}, {"lent_racks", m.lent},
               {"stage", up ? "running" : "starting"},
               {"age_s", std::chrono::duration<double>(as_of - m.rented).count()}};
      if (m.worker) row["addr"] = m.worker->addr();
      hosts.push_back(std::move(row));
    }
    return json_response(200, {{"hosts", hosts}, {"has_next", false}});
  }

  std::vector<MachineType> types_;
  double rps_, tokens_;
  WorkerTimes times_;
  JobBook& jobs_;
  Ground& ground_;
  std::vector<NodeAddress> nodes_;
  std::mutex mutex_;
  Time refilled_ = now();
  std::atomic<double> lag_s_{4};
  std::map<std::tuple<std::string, std::string, bool>, Offer> offers_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> answered_;
  std::vector<std::shared_ptr<Worker>> keep_;
  int last_host_ = 0;
  Server server_;
};

}  // namespace standin
