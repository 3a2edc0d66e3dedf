#include "world.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <list>
#include <sstream>

namespace standin {

using seampass::net::ServerLimits;

namespace {

constexpr std::size_t kKeptChanges = 10000;

std::string parameter(const std::string& query, const std::string& name) {
  std::size_t at = 0;
  while (at < query.size()) {
    const auto end = std::min(query.find('&', at), query.size());
    const std::string pair = query.substr(at, end - at);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) return pair.substr(equals + 1);
    at = end + 1;
  }
  return "";
}

ServerLimits wide_limits() {
  ServerLimits limits;
  limits.max_connections = 2000;
  limits.idle_timeout = 120000;
  return limits;
}

}  // namespace

Json job(const std::string& id, const std::string& team, const std::string& shape, int pours,
         double cpus, double gpus, double memory_gb) {
  return Json{{"ref", id},          {"cuvee_class", "review"}, {"owner_crew", team},
              {"shape", shape},     {"rank", "normal"},        {"pours", pours},
              {"cpus", cpus},       {"accelerators", gpus},    {"memory_gb", memory_gb},
              {"barrels", nullptr}, {"cellar", nullptr},       {"together", false},
              {"apart", false},     {"lent_racks", false},     {"blend", "img-1"},
              {"pull_gb", 0.1},     {"expected_s", 5.0},       {"rack_every_s", 0.0},
              {"rack_s", 0.0},      {"due_s", nullptr}};
}

// ---- State service ----

bool StateService::Bucket::take(double rate, double amount, Ms now) {
  tokens = at == 0 ? rate : std::min(rate, tokens + rate * static_cast<double>(now - at) / 1000.0);
  at = now;
  if (tokens < amount) return false;
  tokens -= amount;
  return true;
}

StateService::StateService(World& world, const std::string& endpoint)
    : world_(world),
      server_(std::make_unique<HttpServer>(
          world.loop, wide_limits(),
          [this](const Request& request, const Answer& answer) { handle(request, answer); })) {
  server_->listen(endpoint);
  tick();
}

std::optional<Json> StateService::value(const std::string& key) const {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return std::nullopt;
  return found->second.value;
}

void StateService::tick() {
  const Ms now = world_.loop.now();
  if (!down) {
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_)
      if (now > lease.expires_at) over.push_back(id);
    for (const auto id : over) end_lease(id);
  }
  notify();
  world_.loop.after(20, [this] { tick(); });
}

void StateService::handle(const Request& request, const Answer& answer) {
  ++requests;
  const Ms now = world_.loop.now();
  if (!request_bucket_.take(world_.site.state_rps, 1, now)) {
    ++refused;
    return answer({429, "{}", 0});
  }
  const auto mark = request.path.find('?');
  const std::string path = request.path.substr(0, mark);
  const std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
  if (path == "/watch") {
    watchers_.push_back({parameter(query, "under"), std::stoull(parameter(query, "since")),
                         now + std::stoll(parameter(query, "block_ms")), answer});
    return notify();
  }
  if (down) return answer({503, "{}", 0});
  if (path == "/txn") return execute(Json::parse(request.body), answer);
  if (path == "/keys") return list(query, answer);
  if (path.starts_with("/keys/")) {
    const auto found = keys_.find(path.substr(6));
    if (found == keys_.end()) return answer({404, Json{{"ledger_rev", revision_}}.dump(), 0});
    Json row{{"path", found->first}, {"v", found->second.value}, {"stamp", found->second.version}};
    if (found->second.lease != 0) row["permit"] = found->second.lease;
    return answer({200, row.dump(), 0});
  }
  if (path == "/leases") {
    const Ms ttl = Json::parse(request.body).at("ttl_ms").get<Ms>();
    leases_[++last_lease_] = {ttl, now + ttl};
    return answer({200, Json{{"permit", last_lease_}}.dump(), 0});
  }
  if (path.starts_with("/leases/")) {
    const std::uint64_t id = std::stoull(path.substr(8));
    const auto found = leases_.find(id);
    if (found == leases_.end()) return answer({404, "{}", 0});
    if (request.method == "DELETE")
      end_lease(id);
    else
      found->second.expires_at = now + found->second.ttl;
    return answer({200, "{}", 0});
  }
  answer({400, "{}", 0});
}

void StateService::list(const std::string& query, const Answer& answer) {
  const std::string prefix = parameter(query, "under");
  const std::string since = parameter(query, "since");
  const std::size_t most = std::stoul(parameter(query, "most"));
  Json rows = Json::array();
  bool more = false;
  for (auto it = since.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(since);
       it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.push_back({{"path", it->first}, {"v", it->second.value}, {"stamp", it->second.version}});
  }
  answer({200, Json{{"rows", rows}, {"has_next", more}, {"ledger_rev", revision_}}.dump(), 0});
}

void StateService::execute(const Json& txn, const Answer& answer) {
  const Json& apply = txn.at("apply");
  if (!write_bucket_.take(world_.site.state_write_rps, static_cast<double>(apply.size()),
                          world_.loop.now())) {
    ++refused;
    return answer({429, "{}", 0});
  }
  bool valid = static_cast<int>(apply.size()) <= world_.site.txn_ops;
  for (const Json& change : apply) {
    if (change.contains("permit") && !leases_.contains(change.at("permit").get<std::uint64_t>()))
      return answer({400, R"({"error":"no such lease"})", 0});
    if (change.contains("v") &&
        static_cast<double>(change.at("v").dump().size()) > world_.site.value_kb * 1024)
      valid = false;
  }
  if (!valid) return answer({400, "{}", 0});
  Json failed = Json::array();
  for (const Json& condition : txn.at("if")) {
    const auto found = keys_.find(condition.at("path").get<std::string>());
    const std::uint64_t version = found == keys_.end() ? 0 : found->second.version;
    if (version != condition.at("stamp").get<std::uint64_t>())
      failed.push_back(condition.at("path"));
  }
  if (!failed.empty())
    return answer({409, Json{{"failed", failed}, {"ledger_rev", revision_}}.dump(), 0});
  if (!apply.empty()) ++revision_;
  for (const Json& change : apply) {
    ++changes;
    if (change.contains("write"))
      put(change.at("write").get<std::string>(), change.at("v"),
          change.contains("permit") ? change.at("permit").get<std::uint64_t>() : 0);
    else
      put(change.at("delete").get<std::string>(), std::nullopt, 0);
  }
  answer({200, Json{{"ledger_rev", revision_}}.dump(), 0});
  notify();
}

void StateService::put(const std::string& key, std::optional<Json> value, std::uint64_t lease) {
  if (value) {
    keys_[key] = {*value, revision_, lease};
  } else if (keys_.erase(key) == 0) {
    return;
  }
  if (key == "leader") {
    const std::string node = value ? value->value("node", "") : "";
    world_.note(node.empty() ? "state: no leader"
                             : "state: " + node + " leads, epoch " + std::to_string(revision_));
    if (on_leader) on_leader(node);
  }
  log_.push_back({key, revision_, std::move(value)});
  if (log_.size() > kKeptChanges) log_.pop_front();
}

void StateService::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> over;
  for (const auto& [key, entry] : keys_)
    if (entry.lease == id) over.push_back(key);
  if (over.empty()) return;
  ++revision_;
  for (const std::string& key : over) put(key, std::nullopt, 0);
  notify();
}

bool StateService::answer_watch(Watcher& watcher) {
  if (!log_.empty() && log_.size() == kKeptChanges && watcher.since + 1 < log_.front().version) {
    watcher.answer({410, "{}", 0});
    return true;
  }
  Json events = Json::array();
  for (auto it = log_.rbegin(); it != log_.rend() && it->version > watcher.since; ++it) {
    if (!it->key.starts_with(watcher.prefix)) continue;
    events.push_back(it->value ? Json{{"write", it->key}, {"v", *it->value}, {"stamp", it->version}}
                               : Json{{"delete", it->key}, {"stamp", it->version}});
  }
  if (events.empty() && world_.loop.now() < watcher.until) return false;
  std::reverse(events.begin(), events.end());
  watcher.answer({200, Json{{"ledger_rev", revision_}, {"log", events}}.dump(), 0});
  return true;
}

void StateService::notify() {
  if (down) return;
  std::list<Watcher> all;
  all.swap(watchers_);
  for (Watcher& watcher : all)
    if (!answer_watch(watcher)) watchers_.push_back(std::move(watcher));
}

// ---- Cloud ----

Cloud::Cloud(World& world, const std::string& endpoint)
    : world_(world),
      server_(std::make_unique<HttpServer>(
          world.loop, wide_limits(),
          [this](const Request& request, const Answer& answer) { handle(request, answer); })) {
  server_->listen(endpoint);
}

std::string Cloud::rent(const std::string& type, const std::string& zone, bool spot, Ms boot,
                        Ms age) {
  const std::string name = "m-" + std::string(3, '0') + std::to_string(++last_);
  Machine& machine = machines_[name];
  machine.name = name;
  machine.type = type;
  machine.zone = zone;
  machine.spot = spot;
  machine.rented_at = world_.loop.now() - age;
  machine.up_at = world_.loop.now() + boot;
  const int port = World::free_port();
  machine.addr = "127.0.0.1:" + std::to_string(port);
  const auto up = [this, name, port] {
    const auto found = machines_.find(name);
    if (found == machines_.end()) return;
    Machine& there = found->second;
    there.worker = std::make_unique<Worker>(world_, name, there.type, there.zone, there.spot, port);
    world_.note("cloud: " + name + " is up (" + there.type + ", " + there.zone + ")");
  };
  if (boot == 0)
    up();
  else
    world_.loop.after(boot, up);
  return name;
}

Worker& Cloud::add_old_machine(const std::string& type, const std::string& zone, bool spot) {
  --capacity[{type, zone, spot}];
  return *machines_.at(rent(type, zone, spot, 0, 600000)).worker;
}

Worker* Cloud::worker(const std::string& name) {
  const auto found = machines_.find(name);
  return found == machines_.end() ? nullptr : found->second.worker.get();
}

std::vector<std::string> Cloud::machines() const {
  std::vector<std::string> names;
  for (const auto& [name, machine] : machines_) names.push_back(name);
  return names;
}

void Cloud::handle(const Request& request, const Answer& answer) {
  const auto mark = request.path.find('?');
  const std::string path = request.path.substr(0, mark);
  const std::string query = mark == std::string::npos ? "" : request.path.substr(mark + 1);
  const Ms now = world_.loop.now();
  if (path == "/catalog") {
    Json list = Json::array();
    for (const MachineType& type : world_.site.types)
      list.push_back({{"name", type.name},
                      {"cpus", type.cpus},
                      {"accelerators", type.gpus},
                      {"memory_gb", type.memory_gb},
                      {"cache_gb", 50},
                      {"fetch_gb_per_s", 1.0},
                      {"price", type.price},
                      {"low_price", type.low_price},
                      {"ready_s", type.ready_s},
                      {"cellars", type.zones}});
    return answer({200, Json{{"barrels", list}}.dump(), 0});
  }
  if (path == "/rentals/delete") {
    const Json body = Json::parse(request.body);
    for (const Json& host : body.at("hosts")) {
      const auto found = machines_.find(host.get<std::string>());
      if (found == machines_.end()) continue;
      world_.note("cloud: " + found->first + " is deleted on request");
      Machine& machine = found->second;
      if (machine.worker) machine.worker->power_off();
      ++capacity[{machine.type, machine.zone, machine.spot}];
      if (machine.worker) gone_.push_back(std::move(machine.worker));
      machines_.erase(found);
    }
    return world_.loop.after(100, [answer] { answer({200, "{}", 0}); }), void();
  }
  if (path == "/rentals" && request.method == "POST") {
    const Json body = Json::parse(request.body);
    const std::string ask = body.at("hire_ask");
    if (!asked_.contains(ask)) {
      const std::string type = body.at("barrel"), zone = body.at("cellar");
      const bool spot = body.at("lent_racks");
      int& left = capacity[{type, zone, spot}];
      const int count = std::min(left, body.at("count").get<int>());
      if (count <= 0) return answer({503, R"({"error":"no capacity"})", 0});
      left -= count;
      Json hosts = Json::array();
      for (int i = 0; i < count; ++i)
        hosts.push_back(rent(type, zone, spot, static_cast<Ms>(boot_s * 1000), 0));
      world_.note("cloud: rented " + hosts.dump() + " of " + type + " in " + zone);
      asked_[ask] = Json{{"hosts", hosts}};
    }
    const std::string reply = asked_[ask].dump();
    return world_.loop.after(100, [answer, reply] { answer({200, reply, 0}); }), void();
  }
  if (path == "/rentals") {
    Json hosts = Json::array();
    for (const auto& [name, machine] : machines_) {
      if (name <= parameter(query, "since")) continue;
      const double age = static_cast<double>(now - machine.rented_at) / 1000 - lag_s;
      if (age < 0) continue;  // the list is late
      const bool up = static_cast<double>(now - machine.up_at) / 1000 >= lag_s;
      hosts.push_back({{"ref", name},
                       {"addr", machine.addr},
                       {"barrel", machine.type},
                       {"cellar", machine.zone},
                       {"lent_racks", machine.spot},
                       {"stage", up || age > 300 ? "running" : "starting"},
                       {"age_s", age}});
    }
    return answer({200, Json{{"hosts", hosts}, {"has_next", false}}.dump(), 0});
  }
  answer({400, "{}", 0});
}

// ---- Workers ----

Worker::Worker(World& world, std::string machine, std::string machine_type,
               std::string machine_zone, bool is_spot, int port)
    : name(std::move(machine)),
      type(std::move(machine_type)),
      zone(std::move(machine_zone)),
      spot(is_spot),
      world_(world),
      addr_("127.0.0.1:" + std::to_string(port)),
      server_(std::make_unique<HttpServer>(
          world.loop, wide_limits(),
          [this](const Request& request, const Answer& answer) { handle(request, answer); })),
      alive_(std::make_shared<bool>(true)),
      lease_from_(world.loop.now()) {
  server_->listen(addr_);
  node_ = world.random() % world.controllers.size();
  schedule_report(0);
  check_lease();
}

void Worker::after(Ms delay, std::function<void()> then) {
  world_.loop.after(delay, [alive = alive_, then = std::move(then)] {
    if (*alive) then();
  });
}

void Worker::power_off() {
  *alive_ = false;  // from now on it is silent: requests to it hang
  drop_all();
}

void Worker::leave(const Key& key, Task& state) {
  if (!state.on_machine) return;
  state.on_machine = false;
  world_.where[key.first].erase(name);
  if (world_.on_task_end) world_.on_task_end(key.first, *this);
}

void Worker::drop_all() {
  for (auto& [key, state] : tasks) leave(key, state);
  tasks.clear();
}

std::string Worker::report() {
  Json pours = Json::array();
  for (const auto& [key, state] : tasks) {
    Json entry{{"pour", key.first}, {"try", key.second}, {"stage", state.stage}};
    if (state.stage == "ended") entry["exit_cause"] = state.cause;
    pours.push_back(std::move(entry));
  }
  return Json{{"host", name},        {"addr", addr_},   {"barrel", type},    {"cellar", zone},
              {"lent_racks", spot},  {"shift", shift_}, {"tally", ++tally_}, {"warrant", warrant_},
              {"recall_s", nullptr}, {"pours", pours}}
      .dump();
}

void Worker::schedule_report(Ms delay) {
  const std::uint64_t timer = ++timer_;
  after(delay, [this, timer] {
    if (timer == timer_ && !in_flight_) send_report();
  });
}

// Something changed: the next report goes out at once, but at most one every half second.
void Worker::changed() {
  if (in_flight_) {
    change_pending_ = true;
    return;
  }
  schedule_report(std::max<Ms>(0, last_sent_ + 500 - world_.loop.now()));
}

void Worker::send_report() {
  in_flight_ = true;
  change_pending_ = false;
  const Ms sent = last_sent_ = world_.loop.now();
  const std::string body = report();
  const std::uint64_t shift = shift_;
  if (cut) {  // the report is lost on its way
    return after(4000, [this, sent, shift] {
      in_flight_ = false;
      on_reply(Reply{}, sent, shift);
    });
  }
  world_.http.call({world_.controllers[node_].listen, "POST", "/checkin", body, 4000},
                   [this, alive = alive_, sent, shift](const Reply& reply) {
                     if (!*alive) return;
                     if (cut) {  // the answer is lost
                       return after(std::max<Ms>(0, sent + 4000 - world_.loop.now()),
                                    [this, sent, shift] {
                                      in_flight_ = false;
                                      on_reply(Reply{}, sent, shift);
                                    });
                     }
                     in_flight_ = false;
                     on_reply(reply, sent, shift);
                   });
}

void Worker::on_reply(const Reply& reply, Ms sent, std::uint64_t shift) {
  const std::size_t nodes = world_.controllers.size();
  if (reply.is(200)) {
    const Json body = Json::parse(reply.body);
    const std::uint64_t token = body.value("warrant", std::uint64_t{0});
    bool token_changed = false;
    if (token != 0 && token >= warrant_ && shift == shift_) {
      if (token > warrant_ &&
          world_.loop.now() - token_change_at_ >= static_cast<Ms>(world_.site.lease_s * 500)) {
        token_changed = true;
        token_change_at_ = world_.loop.now();
      }
      warrant_ = token;
      lease_from_ = std::max(lease_from_, sent);
    }
    const double share = std::uniform_real_distribution<double>(0.75, 1.25)(world_.random);
    schedule_report(static_cast<Ms>(world_.site.report_s * share * 1000));
    if (token_changed || change_pending_) changed();
    if (token != 0 && token == warrant_ && shift == shift_) execute(body.at("orders"));
    if (world_.on_report_answered) world_.on_report_answered(*this);
    return;
  }
  if (reply.is(421)) {
    const std::string steward = Json::parse(reply.body).value("steward", "");
    for (std::size_t i = 0; i < nodes; ++i)
      if (world_.controllers[i].name == steward && i != node_) {
        node_ = i;
        return schedule_report(static_cast<Ms>(world_.random() % 500));
      }
  }
  node_ = (node_ + 1) % nodes;
  schedule_report(1000);
}

void Worker::handle(const Request& request, const Answer& answer) {
  if (cut || !*alive_) return;  // never answered
  if (request.path == "/inspect") return answer({200, report(), 0});
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("warrant") || !body.contains("shift"))
    return answer({400, "{}", 0});
  const std::uint64_t token = body.at("warrant");
  if (token < warrant_ || body.at("shift").get<std::uint64_t>() != shift_)
    return answer({409, report(), 0});
  warrant_ = token;
  execute(body.at("orders"));
  answer({200, report(), 0});
}

void Worker::execute(const Json& orders) {
  for (const Json& order : orders) {
    const std::string verb = order.at("verb");
    const Key key{order.at("pour"), order.at("try")};
    const auto found = tasks.find(key);
    const std::string text = key.first + " try " + std::to_string(key.second);
    if (verb == "run") {
      if (found != tasks.end()) continue;
      world_.note(name + ": run " + text);
      if (world_.on_run) world_.on_run(key.first, *this);
      start(key);
    } else if (verb == "halt") {
      if (found == tasks.end() || found->second.stage == "ended") continue;
      world_.note(name + ": halt " + text);
      end(key, "halted");  // no job of these tests saves
    } else if (verb == "reap" && found != tasks.end() && found->second.stage == "ended") {
      tasks.erase(found);
    }
  }
}

// Why the start is refused; empty if it is not.
std::string Worker::refusal(const Key& key) const {
  const auto job_of = [](const std::string& task) { return task.substr(0, task.find('/')); };
  const auto spec = world_.jobs.find(job_of(key.first));
  if (spec == world_.jobs.end() || !spec->second.submitted) return "no_such";
  const MachineType* machine = nullptr;
  for (const MachineType& each : world_.site.types)
    if (each.name == type) machine = &each;
  double cpus = 0, gpus = 0, memory = 0;
  for (const auto& [other, state] : tasks) {
    if (state.stage == "ended") continue;
    if (other.first == key.first && other != key) return "busy";
    const Json& body = world_.jobs.at(job_of(other.first)).body;
    cpus += body.at("cpus").get<double>();
    gpus += body.at("accelerators").get<double>();
    memory += body.at("memory_gb").get<double>();
  }
  constexpr double slack = 1e-6;
  if (cpus > machine->cpus + slack || gpus > machine->gpus + slack ||
      memory > machine->memory_gb + slack)
    return "full";
  return "";
}

void Worker::start(const Key& key) {
  Task& state = tasks[key];
  state.run_id = ++last_run_;
  const std::string refused = refusal(key);
  if (!refused.empty()) return end(key, refused);
  const std::string image = world_.jobs.at(key.first.substr(0, key.first.find('/'))).body["blend"];
  changed();
  if (images_.contains(image)) return image_there(key, state.run_id);
  after(200, [this, key, image, run = state.run_id] {
    images_.insert(image);
    image_there(key, run);
  });
}

void Worker::image_there(const Key& key, std::uint64_t run_id) {
  const auto found = tasks.find(key);
  if (found == tasks.end() || found->second.run_id != run_id || found->second.stage == "ended")
    return;
  found->second.on_machine = true;
  found->second.stage = "running";
  world_.where[key.first].insert(name);
  if (world_.on_task_start) world_.on_task_start(key.first, *this);
  if (faulty) return end(key, "error");
  changed();
  const JobSpec& spec = world_.jobs.at(key.first.substr(0, key.first.find('/')));
  if (spec.body.at("shape") == "standing") return;
  after(static_cast<Ms>(spec.run_s * 1000), [this, key, run_id] {
    const auto running = tasks.find(key);
    if (running != tasks.end() && running->second.run_id == run_id &&
        running->second.stage == "running")
      end(key, "done");
  });
}

void Worker::end(const Key& key, const std::string& cause) {
  Task& state = tasks[key];
  state.stage = "ended";
  state.cause = cause;
  world_.note(name + ": " + key.first + " try " + std::to_string(key.second) + " ends: " + cause);
  leave(key, state);
  changed();
}

void Worker::check_lease() {
  if (world_.loop.now() - lease_from_ > static_cast<Ms>(world_.site.lease_s * 1000)) {
    world_.note(name + ": lease is over");
    drop_all();
    ++shift_;
    lease_from_ = world_.loop.now();
    changed();
  }
  after(50, [this] { check_lease(); });
}

// ---- The whole ----

World::World(Site what, unsigned seed)
    : site(std::move(what)), http(loop, 400), random(seed), began_(0) {
  ::signal(SIGPIPE, SIG_IGN);
  began_ = loop.now();
  const char* record = std::getenv("RECORD");
  record_.open(record != nullptr ? record : "record.txt");
  const char* folder = std::getenv("TMPDIR");
  temp_ = std::string(folder != nullptr ? folder : "/tmp") + "/seampass-review-XXXXXX";
  if (mkdtemp(temp_.data()) == nullptr) {
    std::cerr << "no temporary folder\n";
    std::exit(2);
  }
  const std::string cloud_at = "127.0.0.1:" + std::to_string(free_port());
  const std::string state_at = "127.0.0.1:" + std::to_string(free_port());
  for (int i = 0; i < site.controllers; ++i) {
    Controller node;
    node.name = "cellier-" + std::to_string(i);
    node.zone = site.zones[static_cast<std::size_t>(i) % site.zones.size()];
    node.listen = "127.0.0.1:" + std::to_string(free_port());
    node.back = "127.0.0.1:" + std::to_string(free_port());
    node.settings = temp_ + "/" + node.name + ".toml";
    node.log = temp_ + "/" + node.name + ".log";
    controllers.push_back(node);
  }
  for (const Controller& node : controllers) {
    std::ofstream file(node.settings);
    file << "node = \"" << node.name << "\"\nlocation = \"" << node.zone << "\"\nlisten = \""
         << node.listen << "\"\nback = \"" << node.back << "\"\n";
    for (const Controller& other : controllers)
      if (other.name != node.name)
        file << "[[known]]\nnode = \"" << other.name << "\"\nlocation = \"" << other.zone
             << "\"\nendpoint = \"" << other.back << "\"\n";
    file << "[external]\ncloud = \"" << cloud_at << "\"\nstate = \"" << state_at << "\"\n";
    std::string zones;
    for (const std::string& zone : site.zones)
      zones += (zones.empty() ? "\"" : ", \"") + zone + "\"";
    file << "[facts]\nsize = " << site.controllers << "\nzones = [" << zones
         << "]\nskew_ms = 25.0\n";
    for (const Team& team : site.teams)
      file << "[[facts.teams]]\nname = \"" << team.name
           << "\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = " << std::fixed << team.gpus
           << "\ngpus_max = " << team.gpus_max << "\n";
    file << site.objectives;
    file << "[facts.workers]\nreport_s = " << site.report_s << "\nlease_s = " << site.lease_s
         << "\ngang_wait_s = " << site.gang_wait_s << "\ngang_peer_s = " << site.gang_peer_s
         << "\ncancel_s = " << site.cancel_s << "\n";
    file << "[facts.state]\nrps = " << site.state_rps << "\nwrite_rps = " << site.state_write_rps
         << "\nvalue_kb = " << site.value_kb << "\ntxn_ops = " << site.txn_ops << "\n";
    if (!site.state_next.empty()) file << "[facts.state.next]\n" << site.state_next;
    file << "[facts.cloud]\nrps = " << site.cloud_rps << "\nlist_lag_s = " << site.list_lag_s
         << "\n[facts.resources]\ncore_share = " << site.core_share << "\nmem_mb = " << site.mem_mb
         << "\nfd_limit = " << site.fd_limit << "\n";
  }
  state = std::make_unique<StateService>(*this, state_at);
  cloud = std::make_unique<Cloud>(*this, cloud_at);
}

World::~World() = default;

// Below the range from which the system takes the ports of outgoing connections, so that none of
// those is in the way later.
int World::free_port() {
  constexpr int first = 12000, count = 18000;
  constexpr int window = 45;  // for one run; runs beside one another get other windows
  static int next = static_cast<int>(getpid()) % (count / window) * window;
  for (int tries = 0; tries < count; ++tries) {
    const int port = first + next;
    next = (next + 1) % count;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free) return port;
  }
  std::cerr << "no free port\n";
  std::exit(2);
}

void World::note(const std::string& line) {
  char stamp[32];
  std::snprintf(stamp, sizeof stamp, "%8.3f ", static_cast<double>(elapsed()) / 1000);
  record_ << stamp << line << std::endl;
}

void World::after(double seconds, std::function<void()> then) {
  loop.after(seampass::net::ms(seconds), std::move(then));
}

void World::start(Controller& node) {
  const char* program = std::getenv("SEAMPASS");
  const std::string path = program != nullptr ? program : "target/seampass";
  const char* level = std::getenv("LOG_LEVEL");
  const pid_t parent = getpid();
  node.pid = fork();
  if (node.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int log = open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(log, 2);
    setenv("LOG_LEVEL", level != nullptr ? level : "debug", 1);
    execl(path.c_str(), path.c_str(), "--config", node.settings.c_str(), nullptr);
    _exit(127);
  }
  note("started " + node.name);
}

void World::start_controllers() {
  for (Controller& node : controllers) start(node);
}

void World::kill_now(Controller& node) {
  if (node.pid == 0) return;
  ::kill(node.pid, SIGKILL);
  waitpid(node.pid, nullptr, 0);
  node.pid = 0;
  note("killed " + node.name);
}

void World::signal(Controller& node, int number) {
  ::kill(node.pid, number);
  note(std::string(number == SIGSTOP ? "stopped " : "continued ") + node.name);
}

Controller* World::leader() {
  const auto record = state->value("leader");
  if (!record) return nullptr;
  for (Controller& node : controllers)
    if (node.name == record->value("node", "")) return &node;
  return nullptr;
}

void World::ask(const Controller& node, const char* method, const std::string& path,
                const Json& body, double timeout_s, std::function<void(int, const Json&)> done) {
  http.call(
      {node.listen, method, path, body.is_null() ? "" : body.dump(), seampass::net::ms(timeout_s)},
      [done = std::move(done)](const Reply& reply) {
        const int status = reply.result == Reply::Result::answered ? reply.status : 0;
        done(status, Json::parse(reply.body, nullptr, false));
      });
}

void World::submit(const std::string& id, std::function<void(int)> done, std::size_t first_node) {
  try_submit(id, first_node, loop.now() + 60000, std::move(done));
}

void World::try_submit(const std::string& id, std::size_t node, Ms until,
                       std::function<void(int)> done) {
  JobSpec& spec = jobs.at(id);
  spec.submitted = true;
  const Controller& at = controllers[node % controllers.size()];
  ask(at, "POST", "/api/jobs", spec.body, 5,
      [this, id, node, until, at, done = std::move(done)](int status, const Json& body) {
        if (status == 201 || status == 200 || status == 400 || status == 422) {
          note("user: " + id + " submitted to " + at.name + ": " + std::to_string(status) + " " +
               body.dump());
          if (done) done(status);
          return;
        }
        if (loop.now() > until) {
          note("user: " + id + " given up");
          if (done) done(0);
          return;
        }
        loop.after(1000, [this, id, node, until, done] { try_submit(id, node + 1, until, done); });
      });
}

void World::finish(int code, const std::string& verdict) {
  note(verdict);
  for (Controller& node : controllers) {
    if (node.pid == 0) continue;
    ::kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
  }
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(temp_);
  std::cout << verdict << std::endl;
  record_.close();
  std::_Exit(code);
}

}  // namespace standin
