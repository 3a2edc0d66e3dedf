#include "leader/controller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace seampass::leader {

using net::Ms;
using state::Outcome;
using state::Urgency;
using wire::ExitCause;
using wire::Json;
using wire::TaskState;
using wire::Verb;

namespace {

// Bytes that one task may need in a record; value_kb is divided by it.
constexpr std::uint32_t kTaskBytes = 64;
// Pending tasks of one job that a pass looks at.
constexpr std::size_t kPassTasks = 256;
constexpr Ms kPassDelay = 5;
// Arrivals are counted over this many boot times.
constexpr double kArrivalWindow = 6;
constexpr std::size_t kMaxArrivals = 500;
// A spare is kept on no type that costs more than this many times the cheapest that would do.
constexpr double kSpareDearest = 3;

sched::Need need_of(const wire::Job& j) { return {j.cpus, j.gpus, j.memory_gb}; }

std::string hex_bits(const std::vector<bool>& bits, std::uint32_t from, std::uint32_t to) {
  static constexpr char digits[] = "0123456789abcdef";
  std::string out;
  bool any = false;
  for (std::uint32_t i = from; i < to; i += 4) {
    unsigned v = 0;
    for (std::uint32_t k = 0; k < 4 && i + k < to; ++k)
      if (bits[i + k]) v |= 1u << k;
    any = any || v != 0;
    out.push_back(digits[v]);
  }
  return any ? out : std::string();
}

}  // namespace

Controller::Controller(net::Runtime& runtime, state::Client& state, cloud::Client& cloud,
                       const cloud::TypeBook& types, workers::Client workers, Election& election,
                       jobs::Archive& archive, const config::Settings& settings,
                       const config::Operator& op)
    : runtime_(runtime),
      state_(state),
      types_(types),
      workers_(std::move(workers)),
      election_(election),
      archive_(archive),
      settings_(settings),
      operator_(op),
      ledger_(runtime, state, settings.txn_ops,
              {[this](const std::string& id, std::uint32_t c) { return render(id, c); },
               [this] { election_.lost(); },
               [this](const std::string& id, wire::Stage stage) { verdict(id, stage); }}),
      fleet_(runtime, cloud, types, settings, op, [this](Machine& m) { machine_gone(m); }),
      chunk_tasks_(std::max<std::uint32_t>(
          16, static_cast<std::uint32_t>(settings.value_kb * 1024) / kTaskBytes)) {
  for (const config::Objective& o : settings.objectives) {
    aims_[o.klass].push_back(o);
    if (o.kind != "wait" || o.klass.empty()) continue;
    Arrivals& a = arrivals_[o.klass];
    a.within_s = a.within_s > 0 ? std::min(a.within_s, o.within_s) : o.within_s;
  }
}

void Controller::begin() {
  stop();
  active_ = true;
  began_ = runtime_.now();
  spdlog::info("leading, warrant {}", election_.warrant());
  ledger_.begin(election_.warrant());
  fleet_.begin(election_.warrant());
  load("open/", "", true);
  tick();
}

void Controller::stop() {
  if (active_) spdlog::info("no longer leading");
  ++term_;
  active_ = loaded_ = kicked_ = false;
  for (auto& [id, job] : jobs_)
    for (const auto& w : job->waiters) w({});
  jobs_.clear();
  team_use_.clear();
  kept_.clear();
  for (auto& [klass, a] : arrivals_) a.recent.clear();
  ledger_.stop();
  fleet_.stop();
}

// ---- Recovery ----

void Controller::load(const std::string& prefix, const std::string& after, bool first) {
  const std::uint64_t term = term_;
  state_.list(prefix, after, [this, term, prefix, after, first](const state::ListResult& r) {
    if (term != term_) return;
    if (r.outcome != Outcome::ok) {
      runtime_.after(net::ms(settings_.report_s / 10), [this, term, prefix, after, first] {
        if (term == term_) load(prefix, after, first);
      });
      return;
    }
    const bool open = prefix == "open/";
    // Jobs accepted from here on come by the watch.
    if (open && first) watched_ = r.revision;
    for (const state::Item& item : r.items) {
      if (open)
        accepted(item.key.substr(prefix.size()), item.value, item.version);
      else
        take_work(item);
    }
    if (r.more && !r.items.empty()) return load(prefix, r.items.back().key, false);
    if (open && loaded_) return watch();  // listed again after the watch had fallen behind
    if (open) return load("work/", "", true);
    loaded_ = true;
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_) ids.push_back(id);
    for (const std::string& id : ids) {
      JobRecord& job = *jobs_.at(id);
      if (job.ended) {
        for (auto& [task, c] : job.charges) c.stop = true;
        tidy(id);
      } else {
        // Half an attempt in the records: the former leader did not get to start it all.
        if (job.gang() && !job.charges.empty() &&
            job.charges.size() + job.finished_count < job.spec.tasks)
          lost_attempt(job);
        maybe_done(job);
      }
    }
    spdlog::info("recovered {} jobs", jobs_.size());
    watch();
    kick();
  });
}

void Controller::take_work(const state::Item& item) {
  const std::string rest = item.key.substr(5);
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return;
  const std::string id = rest.substr(0, slash);
  const Json& v = item.value;
  try {
    const auto chunk = static_cast<std::uint32_t>(std::stoul(rest.substr(slash + 1)));
    auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      // Ended, but some of its tasks were not known to be gone.
      auto job = std::make_unique<JobRecord>();
      job->spec.id = id;
      job->spec.team = wire::text_field(v, "team");
      job->spec.cpus = wire::amount_field(v, "cpus");
      job->spec.gpus = wire::amount_field(v, "gpus");
      job->spec.memory_gb = wire::amount_field(v, "memory");
      job->spec.tasks = static_cast<std::uint32_t>(wire::count_field(v, "of"));
      job->ending = job->ended = true;
      job->taken.assign(job->spec.tasks, true);
      job->finished.assign(job->spec.tasks, false);
      it = jobs_.emplace(id, std::move(job)).first;
    }
    JobRecord& job = *it->second;
    ledger_.found(id, chunk, item.version);
    job.last_attempt = std::max(job.last_attempt, wire::count_field(v, "attempt"));
    const std::string bits = v.value("finished", "");
    const std::uint32_t base = chunk * chunk_tasks_;
    for (std::size_t i = 0; i < bits.size() * 4; ++i) {
      const char c = bits[i / 4];
      const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
      const std::uint32_t task = base + static_cast<std::uint32_t>(i);
      if ((digit >> (i % 4) & 1) != 0 && task < job.spec.tasks && !job.finished[task]) {
        job.finished[task] = job.taken[task] = true;
        ++job.finished_count;
      }
    }
    for (const Json& t : v.at("tasks")) {
      const auto task = t.at(0).get<std::uint32_t>();
      if (task >= job.spec.tasks || job.charges.count(task) != 0) continue;
      Charge& c = charge(job, task, t.at(1).get<std::uint64_t>(),
                         fleet_.ensure(t.at(2).get<std::string>()), t.at(3).get<std::uint64_t>());
      c.durable = c.sent = true;
    }
  } catch (const std::exception& e) {
    spdlog::error("unreadable record {}: {}", item.key, e.what());
  }
}

void Controller::watch() {
  const std::uint64_t term = term_;
  state_.watch("open/", watched_, net::ms(settings_.lease_s),
               [this, term](const state::WatchResult& r) {
                 if (term != term_) return;
                 if (r.outcome == Outcome::missing) {
                   // Too far behind: list again. Jobs known already are not touched.
                   return load("open/", "", true);
                 }
                 if (r.outcome != Outcome::ok) {
                   runtime_.after(net::ms(settings_.report_s / 10), [this, term] {
                     if (term == term_) watch();
                   });
                   return;
                 }
                 watched_ = r.revision;
                 for (const state::Event& e : r.events)
                   if (e.value) accepted(e.key.substr(5), *e.value, e.version);
                 watch();
               });
}

// ---- Jobs ----

Json Controller::open_record(const wire::Job& job, std::int64_t created_ms) {
  return Json{{"job", wire::to_json(job)}, {"created_ms", created_ms}};
}

void Controller::accepted(const std::string& id, const Json& record, state::Version version) {
  if (!active_ || jobs_.count(id) != 0) return;
  // News of an acceptance can be older than the job's end. (A verdict that has left this cache is
  // still found: the transaction that would assign its tasks compares ends/<id>.)
  if (archive_.verdict(id)) return;
  auto job = std::make_unique<JobRecord>();
  try {
    job->spec = wire::job_from(record.at("job"));
    job->created_ms = record.at("created_ms").get<std::int64_t>();
  } catch (const std::exception& e) {
    spdlog::error("unreadable job {}: {}", id, e.what());
    return;
  }
  if (job->spec.id != id) return;
  job->open_version = version;
  job->taken.assign(job->spec.tasks, false);
  job->finished.assign(job->spec.tasks, false);
  const auto aim = arrivals_.find(job->spec.klass);
  if (aim != arrivals_.end()) {
    // Jobs recovered together came at their own times.
    const Ms age = std::max<Ms>(0, runtime_.wall() - job->created_ms);
    aim->second.latest = job->spec;
    aim->second.recent.emplace_back(runtime_.now() - age, job->spec.tasks);
  }
  spdlog::debug("queued {} of {}, {} tasks", id, job->spec.klass, job->spec.tasks);
  jobs_.emplace(id, std::move(job));
  kick();
}

rpc::Answer Controller::status_of(const JobRecord& job) const {
  rpc::Answer a;
  a.verdict = rpc::Verdict::known;
  a.status.id = job.spec.id;
  a.status.done = job.finished_count;
  a.status.running = job.ended ? 0 : job.running;
  a.status.stage = job.ended         ? job.stage
                   : job.running > 0 ? wire::Stage::running
                                     : wire::Stage::queued;
  return a;
}

void Controller::ask(const std::string& id, bool cancel,
                     std::function<void(const rpc::Answer&)> reply) {
  if (!ready()) return reply({});
  const auto it = jobs_.find(id);
  // A job recovered after its end has no stage here; its verdict is read.
  if (it != jobs_.end() && !(it->second->ended && it->second->stage == wire::Stage::queued)) {
    JobRecord& job = *it->second;
    if (job.ended || !cancel) return reply(status_of(job));
    job.waiters.push_back(std::move(reply));
    if (!job.ending) end_job(job, wire::Stage::cancelled);
    return;
  }
  const std::uint64_t term = term_;
  archive_.read(id, [this, term, id, cancel, reply = std::move(reply)](
                        jobs::Archive::Found found, const wire::JobStatus& status,
                        const state::Item& open) {
    rpc::Answer a;
    if (term != term_ || !ready() || found == jobs::Archive::Found::cannot) return reply(a);
    a.status = status;
    a.verdict = found == jobs::Archive::Found::none ? rpc::Verdict::unknown : rpc::Verdict::known;
    if (found != jobs::Archive::Found::open) return reply(a);
    // Accepted, and the news had not come yet.
    accepted(id, open.value, open.version);
    if (jobs_.count(id) == 0) return reply({});
    ask(id, cancel, reply);
  });
}

void Controller::end_job(JobRecord& job, wire::Stage stage) {
  job.ending = true;
  job.held.clear();
  const std::string id = job.spec.id;
  ledger_.end(id, job.open_version, stage, job.finished_count,
              [this, id](wire::Stage actual) { verdict(id, actual); });
}

void Controller::verdict(const std::string& id, wire::Stage stage) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  JobRecord& job = *it->second;
  job.ending = job.ended = true;
  job.stage = stage;
  const rpc::Answer answer = status_of(job);
  archive_.remember(answer.status);
  const auto waiters = std::move(job.waiters);
  job.waiters.clear();
  for (const auto& w : waiters) w(answer);
  stop_all(job, 0);
  tidy(id);
  kick();
}

// An ended job stays until every task is off and its records are gone.
void Controller::tidy(const std::string& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || !it->second->ended || !it->second->charges.empty()) return;
  const auto erase = [this, id] {
    const auto job = jobs_.find(id);
    if (job == jobs_.end() || !ledger_.settled(id)) return;
    ledger_.forget(id);
    jobs_.erase(job);
  };
  for (const std::uint32_t c : ledger_.chunks(id)) ledger_.changed(id, c, Urgency::progress, erase);
  erase();
}

std::optional<Json> Controller::render(const std::string& id, std::uint32_t chunk) const {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return std::nullopt;
  const JobRecord& job = *it->second;
  const std::uint32_t from = chunk * chunk_tasks_;
  const std::uint32_t to = std::min(from + chunk_tasks_, job.spec.tasks);
  Json tasks = Json::array();
  for (auto c = job.charges.lower_bound(from); c != job.charges.end() && c->first < to; ++c)
    tasks.push_back({c->first, c->second.attempt, c->second.machine->name, c->second.session});
  if (job.ended && tasks.empty()) return std::nullopt;
  Json v{{"attempt", job.last_attempt}, {"tasks", std::move(tasks)}, {"team", job.spec.team},
         {"cpus", job.spec.cpus},       {"gpus", job.spec.gpus},     {"memory", job.spec.memory_gb},
         {"of", job.spec.tasks}};
  std::string bits = hex_bits(job.finished, from, to);
  if (!bits.empty()) v["finished"] = std::move(bits);
  return v;
}

void Controller::finish_task(JobRecord& job, std::uint32_t task) {
  if (job.finished[task]) return;
  job.finished[task] = job.taken[task] = true;
  ++job.finished_count;
}

void Controller::maybe_done(JobRecord& job) {
  if (!job.ending && job.finished_count == job.spec.tasks) end_job(job, wire::Stage::done);
}

// ---- Charges ----

Charge& Controller::charge(JobRecord& job, std::uint32_t task, std::uint64_t attempt,
                           Machine& machine, std::uint64_t session) {
  Charge& c = job.charges[task];
  c.job = &job;
  c.task = task;
  c.attempt = attempt;
  c.machine = &machine;
  c.session = session;
  job.taken[task] = true;
  machine.charges[{job.spec.id, task}] = &c;
  team_use_[job.spec.team] += need_of(job.spec);
  return c;
}

void Controller::set_state(Charge& c, TaskState state) {
  if (c.state == TaskState::running) --c.job->running;
  c.state = state;
  if (c.state != TaskState::running) return;
  ++c.job->running;
  if (c.running_since == 0) c.running_since = runtime_.now();
  if (c.job->running == c.job->spec.tasks) spdlog::debug("all of {} run", c.job->spec.id);
}

void Controller::release(Charge& c) {
  JobRecord& job = *c.job;
  const std::uint32_t task = c.task;
  set_state(c, TaskState::exited);
  c.machine->charges.erase({job.spec.id, task});
  c.machine->idle_since = runtime_.now();
  team_use_[job.spec.team] -= need_of(job.spec);
  job.charges.erase(task);
  if (!job.ended) job.taken[task] = job.finished[task];
  job.hint = std::min(job.hint, task);
  const std::string id = job.spec.id;
  ledger_.changed(id, chunk_of(task), Urgency::progress);
  tidy(id);
  kick();
}

// A gang's attempt is over for all its tasks once it is for one.
void Controller::lost_attempt(JobRecord& job) {
  if (!job.gang() || job.ended || job.charges.empty()) return;
  stop_all(job, 0);
}

void Controller::stop_charge(Charge& c, double grace_s) {
  if (c.stop) return;
  c.stop = true;
  c.grace_s = grace_s;
  c.stop_since = runtime_.now();
}

void Controller::stop_all(JobRecord& job, double grace_s) {
  std::vector<Charge*> fresh;
  std::vector<Charge*> unsent;
  for (auto& [task, c] : job.charges) {
    if (c.stop) continue;
    stop_charge(c, grace_s);
    (c.sent ? fresh : unsent).push_back(&c);
  }
  send_stops(fresh);
  // Never told to any worker: off already.
  for (Charge* c : unsent) release(*c);
}

void Controller::send_stops(const std::vector<Charge*>& charges) {
  std::map<Machine*, std::vector<wire::Command>> by_machine;
  for (Charge* c : charges)
    by_machine[c->machine].push_back(
        {Verb::stop, c->job->spec.id, c->task, c->attempt, c->grace_s});
  for (auto& [machine, commands] : by_machine) send(*machine, std::move(commands));
}

void Controller::machine_gone(Machine& machine) {
  std::vector<Charge*> list;
  for (const auto& [key, c] : machine.charges) list.push_back(c);
  std::set<std::string> gangs;
  for (Charge* c : list) {
    if (c->job->gang()) gangs.insert(c->job->spec.id);
    release(*c);
  }
  for (const std::string& id : gangs) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) lost_attempt(*it->second);
  }
}

// ---- Workers ----

CheckinAnswer Controller::checkin(const wire::WorkerReport& report) {
  if (!active_ || !election_.may_answer()) return {503, "{}"};
  if (report.token > election_.warrant()) {  // another leads already
    election_.lost();
    return {503, "{}"};
  }
  if (fleet_.deleted(report.machine)) return {503, "{}"};  // only late reports come from it
  Machine& m = fleet_.ensure(report.machine);
  if (m.type.empty() || m.addr.empty()) {
    m.addr = report.addr;
    m.type = report.type;
    m.zone = report.zone;
    m.spot = report.spot;
  }
  if (report.session < m.session) return {503, "{}"};
  // A task that was told to stop for a cancellation while a start of it may still come: let the
  // lease run out, which makes the start void, before cancel_s does.
  const Ms patience = net::ms((settings_.cancel_s - settings_.lease_s) / 2);
  if (report.session == m.session)
    for (const auto& [key, c] : m.charges)
      if (c->job->ended && c->stop && !c->seen && runtime_.now() - c->stop_since > patience &&
          m.lost.count({c->job->spec.id, c->task, c->attempt}) != 0)
        return {503, "{}"};
  const bool newer = report.session > m.session || report.seq > m.seq;
  m.heard = runtime_.now();
  if (!loaded_ || !newer) return {200, wire::checkin_answer(election_.warrant(), {})};
  take_report(m, report, true);
  return {200, wire::checkin_answer(election_.warrant(), orders_for(m, report))};
}

void Controller::take_report(Machine& m, const wire::WorkerReport& report, bool checkin) {
  const bool newer =
      report.session > m.session || (report.session == m.session && report.seq > m.seq);
  if (!newer) return;
  if (report.session > m.session) m.lost.clear();
  m.session = report.session;
  m.seq = report.seq;
  m.token = report.token;
  if (!m.up) {
    m.up = true;
    m.idle_since = runtime_.now();
    kick();
  }
  if (report.notice_s) {
    m.taken_at = runtime_.now() + net::ms(*report.notice_s);
  } else {
    m.taken_at.reset();
  }
  std::vector<Charge*> absent;
  std::set<std::pair<std::string, std::uint32_t>> present;
  std::vector<std::pair<Charge*, wire::TaskReport>> exits;
  m.strangers = 0;
  m.exited.clear();
  for (const wire::TaskReport& t : report.tasks) {
    if (t.state == TaskState::exited) m.exited.insert({t.job, t.index, t.attempt});
    const auto it = m.charges.find({t.job, t.index});
    Charge* c = it == m.charges.end() ? nullptr : it->second;
    if (c && c->attempt != t.attempt) c = nullptr;
    if (!c && t.state != TaskState::exited) {
      // Nothing should be here. If the job is open and the task free, it is charged again, so that
      // it is started nowhere else; in any case the machine takes nothing until it is settled.
      const auto j = jobs_.find(t.job);
      if (j != jobs_.end() && t.index < j->second->spec.tasks &&
          j->second->charges.count(t.index) == 0) {
        JobRecord& job = *j->second;
        c = &charge(job, t.index, t.attempt, m, m.session);
        c->durable = c->sent = true;
        job.last_attempt = std::max(job.last_attempt, t.attempt);
        ledger_.changed(t.job, chunk_of(t.index), Urgency::assignment);
        if (job.ended || job.finished[t.index] || job.gang()) stop_charge(*c, 0);
      } else {
        ++m.strangers;
      }
    }
    if (!c) continue;
    present.insert({t.job, t.index});
    c->seen = true;
    const auto& image = c->job->spec.image;
    if (t.state == TaskState::exited) {
      exits.emplace_back(c, t);
    } else {
      if (t.state != TaskState::fetching) m.images.insert(image);
      set_state(*c, t.state);
    }
  }
  for (const auto& [key, c] : m.charges) {
    if (present.count(key) != 0) continue;
    if (m.session > c->session) {
      absent.push_back(c);  // its session is over, and all that was on it
    } else if (checkin && c->in_flight == 0 && c->sent && m.token >= election_.warrant()) {
      // A check-in after the start was answered (or given up) lacks it. A start that may still
      // come late keeps its charge.
      const bool late = m.lost.count({c->job->spec.id, c->task, c->attempt}) != 0;
      if (c->seen || (c->stop && !late)) absent.push_back(c);
      if (c->stop && late) m.draining = true;
    }
  }
  // Releasing can end jobs and move others, so what follows goes by name.
  std::set<std::string> touched;
  for (auto& [c, t] : exits) {
    touched.insert(t.job);
    task_exited(*c, t);
  }
  for (Charge* c : absent) {
    touched.insert(c->job->spec.id);
    const std::string id = c->job->spec.id;
    release(*c);
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) lost_attempt(*it->second);
  }
  for (const std::string& id : touched) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) maybe_done(*it->second);
  }
  if (m.draining && m.charges.empty() && !m.deleting) fleet_.remove(m);
}

void Controller::task_exited(Charge& c, const wire::TaskReport& t) {
  JobRecord& job = *c.job;
  Machine& m = *c.machine;
  const Ms now = runtime_.now();
  const Ms report = net::ms(settings_.report_s);
  const bool gang = job.gang();
  const bool told = c.stop;
  if (t.cause == ExitCause::done) {
    m.images.insert(job.spec.image);
    m.errors = 0;
    job.failures = 0;
    if (job.spec.kind != wire::JobKind::service) {
      if (gang) {
        // They complete together: one that is done says so of all.
        for (std::uint32_t i = 0; i < job.spec.tasks; ++i) finish_task(job, i);
      } else {
        finish_task(job, c.task);
      }
    }
    maybe_done(job);
    release(c);
    return;
  }
  switch (t.cause) {
    case ExitCause::error:
      ++job.failures;
      ++m.errors;
      // The machine is the likelier culprit, unless the job fails elsewhere as well.
      m.suspect_until = now + net::ms(settings_.lease_s);
      job.retry_at = now + report * (1 << std::min(job.failures, 5));
      if (m.errors >= 3) m.draining = true;
      break;
    case ExitCause::unknown:
    case ExitCause::busy:
      job.retry_at = now + report;
      break;
    case ExitCause::no_room:
      m.suspect_until = now + report;
      break;
    default:
      break;
  }
  spdlog::debug("{}/{} try {} on {} ended, cause {} told {}", job.spec.id, c.task, c.attempt,
                m.name, static_cast<int>(t.cause), told);
  const std::string id = job.spec.id;
  release(c);
  const auto it = jobs_.find(id);
  if (gang && it != jobs_.end()) lost_attempt(*it->second);
}

std::vector<wire::Command> Controller::orders_for(Machine& m, const wire::WorkerReport& report) {
  std::vector<wire::Command> orders;
  std::set<std::pair<std::string, std::uint32_t>> present;
  const Ms now = runtime_.now();
  for (const wire::TaskReport& t : report.tasks) {
    const auto it = m.charges.find({t.job, t.index});
    const Charge* c =
        it == m.charges.end() || it->second->attempt != t.attempt ? nullptr : it->second;
    if (t.state == TaskState::exited) {
      // Forgotten only after the record of its end is durable, and never while a copy of its
      // start may still come: that would run it again.
      if (!c && ledger_.settled(t.job, chunk_of(t.index)) &&
          m.lost.count({t.job, t.index, t.attempt}) == 0)
        orders.push_back({Verb::forget, t.job, t.index, t.attempt, 0});
      continue;
    }
    if (!c) {
      orders.push_back({Verb::stop, t.job, t.index, t.attempt, 0});
      continue;
    }
    present.insert({t.job, t.index});
    if (c->stop) {
      const bool overdue = now - c->stop_since > net::ms(c->grace_s + 2 * settings_.gang_peer_s);
      orders.push_back({Verb::stop, t.job, t.index, t.attempt, overdue ? 0 : c->grace_s});
    }
  }
  if (!election_.holds()) return orders;
  for (const auto& [key, c] : m.charges) {
    if (present.count(key) != 0 || !c->durable || c->stop || c->in_flight > 0 || c->seen) continue;
    if (c->session != m.session || c->job->ending) continue;
    c->sent = true;
    orders.push_back({Verb::start, key.first, key.second, c->attempt, 0});
  }
  return orders;
}

void Controller::send(Machine& m, std::vector<wire::Command> commands) {
  if (m.addr.empty() || !m.up) return;  // the next check-in carries them
  std::vector<AttemptName> starts;
  for (const wire::Command& cmd : commands)
    if (cmd.verb == Verb::start) starts.emplace_back(cmd.job, cmd.index, cmd.attempt);
  const std::uint64_t term = term_;
  const std::uint64_t session = m.session;
  const std::string name = m.name;
  workers_.send(m.addr, election_.warrant(), session, commands,
                [this, term, name, session, starts](
                    workers::Sent sent, const std::optional<wire::WorkerReport>& report) {
                  if (term != term_) return;
                  for (const auto& [id, task, attempt] : starts) {
                    const auto j = jobs_.find(id);
                    if (j == jobs_.end()) continue;
                    const auto c = j->second->charges.find(task);
                    if (c != j->second->charges.end() && c->second.attempt == attempt)
                      --c->second.in_flight;
                  }
                  Machine* machine = fleet_.find(name);
                  if (!machine) return;
                  if (sent == workers::Sent::unknown && machine->session == session)
                    machine->lost.insert(starts.begin(), starts.end());
                  if (!report || report->machine != name) return;
                  if (report->token > election_.warrant()) return election_.lost();
                  take_report(*machine, *report, false);
                });
}

void Controller::starts_durable(const std::string& id,
                                const std::vector<std::pair<std::uint32_t, std::uint64_t>>& tasks) {
  const auto j = jobs_.find(id);
  if (j == jobs_.end()) return;
  std::map<Machine*, std::vector<wire::Command>> by_machine;
  std::vector<Charge*> off;
  for (const auto& [task, attempt] : tasks) {
    const auto it = j->second->charges.find(task);
    if (it == j->second->charges.end() || it->second.attempt != attempt) continue;
    Charge& c = it->second;
    c.durable = true;
    if (c.stop || c.sent || j->second->ending || !election_.holds()) continue;
    if (c.machine->session != c.session) {
      off.push_back(&c);  // never sent, and void now
      continue;
    }
    c.sent = true;
    ++c.in_flight;
    auto& commands = by_machine[c.machine];
    // An earlier attempt that ended there would make this one `busy`. The record that is durable
    // now no longer has it, so it may be forgotten.
    for (auto e = c.machine->exited.lower_bound({id, task, 0});
         e != c.machine->exited.end() && std::get<0>(*e) == id && std::get<1>(*e) == task; ++e)
      if (c.machine->lost.count(*e) == 0)
        commands.push_back({Verb::forget, id, task, std::get<2>(*e), 0});
    commands.push_back({Verb::start, id, task, attempt, 0});
  }
  for (auto& [machine, commands] : by_machine) send(*machine, std::move(commands));
  const bool gang = j->second->gang();
  for (Charge* c : off) release(*c);
  const auto again = jobs_.find(id);
  if (gang && !off.empty() && again != jobs_.end()) lost_attempt(*again->second);
}

// ---- Scheduling ----

void Controller::kick() {
  if (kicked_ || !loaded_) return;
  kicked_ = true;
  const std::uint64_t term = term_;
  runtime_.after(kPassDelay, [this, term] {
    if (term != term_) return;
    kicked_ = false;
    run_pass();
  });
}

sched::Picture Controller::picture(std::vector<JobRecord*>& jobs) {
  sched::Picture p;
  const Ms now = runtime_.now();
  p.choice = operator_.machine_choice == "first-fit" ? sched::MachineChoice::first_fit
                                                     : sched::MachineChoice::scored;
  std::map<std::string, double> guaranteed;
  for (const config::Team& t : settings_.teams) {
    guaranteed[t.name] = t.gpus;
    sched::TeamView& v = p.teams[t.name];
    if (t.cpus_max > 0) v.cpus_max = t.cpus_max;
    if (t.gpus_max > 0) v.gpus_max = t.gpus_max;
    const auto use = team_use_.find(t.name);
    if (use != team_use_.end()) {
      v.cpus = use->second.cpus;
      v.gpus = use->second.gpus;
    }
  }
  std::map<std::string, std::size_t> index;
  for (auto& [name, m] : fleet_.machines()) {
    const wire::MachineType* type = types_.find(m.type);
    if (!type || m.deleting) continue;
    sched::MachineView v;
    v.name = name;
    v.type = m.type;
    v.zone = m.zone;
    v.spot = m.spot;
    v.price = m.spot ? type->spot_price : type->price;
    v.total = v.free = {type->cpus, type->gpus, type->memory_gb};
    for (const auto& [key, c] : m.charges) {
      const wire::Job& spec = c->job->spec;
      v.free -= need_of(spec);
      // Only what saves, runs, and is not being stopped already.
      if (!c->job->gang() && spec.checkpoint_s > 0 && c->state == TaskState::running && !c->stop)
        v.victims.push_back({spec.id, c->task, spec.priority, need_of(spec)});
      if (spec.kind == wire::JobKind::service) continue;
      // The owner's estimate, often wrong: what has outlived it may take some more.
      const double run_s =
          c->running_since == 0 ? 0 : static_cast<double>(now - c->running_since) / 1000;
      v.releases.emplace_back(std::max(spec.estimate_s - run_s, spec.estimate_s / 4),
                              need_of(spec));
    }
    // Half the lease without a word: whatever is started there may never be.
    v.open = m.up && !m.draining && !m.taken_at && m.strangers == 0 && now >= m.suspect_until &&
             now - m.heard < net::ms(settings_.lease_s) / 3;
    v.booting = !m.up && m.charges.empty() && now - m.since < net::ms(2 * type->boot_s);
    v.images = m.images;
    if (now < m.claimed_until && jobs_.count(m.claimed_by) != 0) v.claimed_by = m.claimed_by;
    index[name] = p.machines.size();
    p.machines.push_back(std::move(v));
  }
  for (const auto& [request, asked] : fleet_.asked()) {
    const wire::MachineType* type = types_.find(asked.type);
    if (!type) continue;
    for (int i = 0; i < asked.count; ++i) {
      sched::MachineView v;
      v.type = asked.type;
      v.zone = asked.zone;
      v.spot = asked.spot;
      v.booting = true;
      v.total = v.free = {type->cpus, type->gpus, type->memory_gb};
      p.machines.push_back(std::move(v));
    }
  }
  double longest_boot = 0;
  for (const auto& [name, t] : types_.types()) longest_boot = std::max(longest_boot, t.boot_s);
  bool short_of_room = false;
  for (auto& [id, job] : jobs_) {
    if (job->ending) continue;
    const bool gang = job->gang();
    if (gang && !job->charges.empty()) continue;  // the next attempt waits for all of the last
    sched::JobView v;
    for (std::uint32_t t = job->hint; t < job->spec.tasks && v.pending.size() < kPassTasks; ++t) {
      if (!job->taken[t]) v.pending.push_back(t);
      // A gang is placed whole, however large.
      if (gang && v.pending.size() == kPassTasks && job->spec.tasks > kPassTasks) {
        for (++t; t < job->spec.tasks; ++t) v.pending.push_back(t);
      }
    }
    if (v.pending.empty()) {
      job->hint = job->spec.tasks;
      continue;
    }
    job->hint = v.pending.front();
    v.id = id;
    v.team = job->spec.team;
    v.kind = job->spec.kind;
    v.priority = job->spec.priority;
    v.created_ms = job->created_ms;
    v.need = need_of(job->spec);
    v.types = &job->spec.types;
    v.zone = job->spec.zone;
    v.one_zone = job->spec.one_zone;
    v.spread = job->spec.spread;
    v.spot = job->spec.spot;
    v.image = job->spec.image;
    v.patience_s = patience_s(*job);
    v.urgent = arrivals_.count(job->spec.klass) != 0;
    v.tasks = job->spec.tasks;
    for (const auto& [task, c] : job->charges) ++v.placed[c.machine->zone];
    v.blocked = now < job->retry_at;
    // Where a start of an earlier attempt may still come late, that attempt is never forgotten,
    // and would be in the way of this one.
    for (const auto& [name, m] : fleet_.machines()) {
      const auto e = m.lost.lower_bound({id, 0, 0});
      if (e != m.lost.end() && std::get<0>(*e) == id && index.count(name) != 0)
        v.avoid.insert(index[name]);
    }
    v.whole_only = job->whole_only;
    std::vector<std::pair<std::uint32_t, std::string>> held;
    for (const auto& [task, name] : job->held) {
      const auto it = index.find(name);
      if (it == index.end() || !p.machines[it->second].open || v.blocked) continue;
      p.machines[it->second].free -= v.need;
      p.teams[v.team].cpus += v.need.cpus;
      p.teams[v.team].gpus += v.need.gpus;
      v.held.push_back({task, it->second});
    }
    // Machines have had time to come, twice over, and did not: more is asked than there is.
    short_of_room = short_of_room || age_s(*job) > 2 * longest_boot;
    p.jobs.push_back(std::move(v));
    jobs.push_back(job.get());
  }
  if (short_of_room) sched::set_turns(p.jobs, p.teams, guaranteed);
  return p;
}

void Controller::run_pass() {
  if (!ready() || !types_.known()) return;
  std::vector<JobRecord*> jobs;
  sched::Picture p = picture(jobs);
  const sched::Decisions d = sched::pass(p);
  const Ms now = runtime_.now();
  for (std::size_t j = 0; j < jobs.size(); ++j) {
    const bool held = !jobs[j]->held.empty();
    jobs[j]->held.clear();
    if (!held) jobs[j]->held_since = now;
  }
  for (const sched::Batch& b : d.holds)
    for (const sched::Placement& x : b.tasks)
      jobs[b.job]->held.emplace_back(x.task, p.machines[x.machine].name);
  evict(d, p);
  for (const sched::Batch& b : d.starts) start(*jobs[b.job], b.tasks, p);
  // Renting is paced: what is asked of the cloud takes far longer than the pause.
  if (now - last_rental_ < net::ms(settings_.report_s / 3)) return;
  last_rental_ = now;
  plan(std::move(p));
}

double Controller::age_s(const JobRecord& job) const {
  return static_cast<double>(runtime_.wall() - job.created_ms) / 1000;
}

// How long a start may wait and still meet the first of its class's aims that can be met; at least
// half as long as a new machine would take.
double Controller::patience_s(const JobRecord& job) const {
  const wire::Job& spec = job.spec;
  double boot = 0, fetch = 0;
  for (const auto& [name, t] : types_.types()) {
    if (!need_of(spec).fits_in({t.cpus, t.gpus, t.memory_gb})) continue;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), name) == spec.types->end())
      continue;
    boot = std::max(boot, t.boot_s);
    if (t.fetch_gb_per_s > 0) fetch = std::max(fetch, spec.image_gb / t.fetch_gb_per_s);
  }
  const double age = age_s(job);
  double best = boot / 2;
  const auto aims = aims_.find(spec.klass);
  if (aims == aims_.end()) return best;
  double first = std::numeric_limits<double>::infinity();
  for (const config::Objective& o : aims->second) {
    double slack = -1;
    if (o.kind == "wait") slack = o.within_s - age;
    // Estimates err by half and more.
    const double run = 1.5 * spec.estimate_s + fetch;
    if (o.kind == "finished") slack = o.within_s - age - run;
    // (A deadline's slack is not waited out: estimates are too poor, and late work is paid for.)
    if (slack > 0) first = std::min(first, slack);
  }
  return std::isfinite(first) ? std::max(best, first) : best;
}

// For each class with a start aim: as many tasks as are likely to come while a machine boots.
std::vector<sched::Spare> Controller::spares(const sched::Picture& p) const {
  std::vector<sched::Spare> list;
  double spent = 0;
  for (const sched::MachineView& m : p.machines) spent += m.price;
  const Ms now = runtime_.now();
  for (const auto& [klass, a] : arrivals_) {
    if (a.recent.empty()) continue;
    const wire::Job& spec = a.latest;
    double boot = 0, cheapest = std::numeric_limits<double>::infinity();
    for (const auto& [name, t] : types_.types()) {
      if (!need_of(spec).fits_in({t.cpus, t.gpus, t.memory_gb})) continue;
      boot = std::max(boot, t.boot_s);
      cheapest = std::min(cheapest, spec.spot ? t.spot_price : t.price);
    }
    // A class whose aim leaves time to boot needs no spare.
    if (boot <= 0 || a.within_s > 2 * boot) continue;
    const Ms window = std::min(now - a.recent.front().first, net::ms(kArrivalWindow * boot));
    double tasks = 0;
    for (const auto& [when, n] : a.recent)
      if (now - when <= window) tasks += n;
    const double expected = tasks * boot / std::max(static_cast<double>(window) / 1000, boot);
    const auto count = static_cast<std::uint32_t>(std::ceil(expected + std::sqrt(expected)));
    sched::Spare s;
    s.budget = operator_.spare_share * spent;
    s.dearest = kSpareDearest * cheapest;
    s.job.kind = wire::JobKind::array;
    s.job.priority = wire::Priority::low;
    s.job.need = need_of(spec);
    s.job.types = &spec.types;
    s.job.zone = spec.zone;
    s.job.spot = spec.spot;
    s.job.tasks = count;
    for (std::uint32_t t = 0; t < count; ++t) s.job.pending.push_back(t);
    list.push_back(std::move(s));
  }
  return list;
}

void Controller::evict(const sched::Decisions& d, const sched::Picture& p) {
  std::vector<Charge*> stops;
  for (const sched::Eviction& e : d.evictions) {
    double grace = 0;
    for (const sched::Victim& v : e.tasks) {
      const auto job = jobs_.find(v.job);
      if (job == jobs_.end()) continue;
      const auto c = job->second->charges.find(v.task);
      if (c == job->second->charges.end()) continue;
      const double save = job->second->spec.save_s + settings_.report_s / 3;
      stop_charge(c->second, save);
      stops.push_back(&c->second);
      grace = std::max(grace, save);
    }
    Machine* m = fleet_.find(p.machines[e.machine].name);
    if (!m) continue;
    m->claimed_by = p.jobs[e.job].id;
    m->claimed_until = runtime_.now() + net::ms(grace + 2 * settings_.report_s);
    spdlog::debug("clearing {} of {} tasks for {}", m->name, e.tasks.size(), m->claimed_by);
  }
  send_stops(stops);
}

void Controller::plan(sched::Picture p) {
  const auto wanted = spares(p);
  std::vector<std::string> names;
  for (const sched::MachineView& m : p.machines) names.push_back(m.name);
  const auto options = fleet_.options();
  const sched::MachinePlan plan = sched::plan_machines(std::move(p), options, wanted);
  kept_.clear();
  for (const std::size_t i : plan.keep) kept_.insert(names[i]);
  for (const sched::RentalWish& w : plan.rentals) fleet_.rent(options[w.option], w.count);
}

void Controller::start(JobRecord& job, const std::vector<sched::Placement>& tasks,
                       const sched::Picture& p) {
  const std::uint64_t attempt = ++job.last_attempt;
  for (auto& [name, m] : fleet_.machines())
    if (m.claimed_by == job.spec.id) m.claimed_by.clear();
  job.whole_only = false;
  std::map<std::uint32_t, std::vector<std::pair<std::uint32_t, std::uint64_t>>> by_chunk;
  std::vector<std::pair<std::uint32_t, std::uint64_t>> all;
  for (const sched::Placement& x : tasks) {
    Machine* m = fleet_.find(p.machines[x.machine].name);
    if (!m) continue;
    charge(job, x.task, attempt, *m, m->session);
    by_chunk[chunk_of(x.task)].emplace_back(x.task, attempt);
    all.emplace_back(x.task, attempt);
  }
  spdlog::debug("starting {} tasks of {} try {} on {}", all.size(), job.spec.id, attempt,
                p.machines[tasks.front().machine].name);
  const std::string id = job.spec.id;
  const bool gang = job.gang();
  // A gang's start record may span several chunks: nothing starts before the last is durable.
  const auto waiting = std::make_shared<std::size_t>(by_chunk.size());
  for (auto& [chunk, list] : by_chunk) {
    ledger_.changed(id, chunk, Urgency::assignment, [this, id, gang, waiting, all, list = list] {
      if (!gang) return starts_durable(id, list);
      if (--*waiting == 0) starts_durable(id, all);
    });
  }
}

void Controller::tick() {
  const std::uint64_t term = term_;
  runtime_.after(net::ms(settings_.report_s / 3), [this, term] {
    if (term != term_) return;
    tick();
  });
  if (!ready()) return;
  const Ms now = runtime_.now();
  const Ms lease = net::ms(settings_.lease_s);
  // Without a word for longer than its lease since the last check-in that anyone may have
  // answered, a worker has killed its tasks. Twice the drift of 0.05% each way, and a little.
  const Ms bound = lease + lease / 500 + 50;
  const Ms unheard = net::ms(settings_.cancel_s) + lease / 500 + 50;
  std::vector<Machine*> expired;
  for (auto& [name, m] : fleet_.machines()) {
    if (m.charges.empty()) continue;
    // Until a worker has shown this warrant, the former leader may have answered it last.
    const bool ours = m.heard >= 0 && m.token >= election_.warrant();
    if (now - m.heard > bound && (ours || now - began_ > unheard)) expired.push_back(&m);
  }
  for (Machine* m : expired) machine_gone(*m);
  for (auto& [klass, a] : arrivals_)
    while (a.recent.size() > kMaxArrivals) a.recent.pop_front();
  std::set<std::string> kept = kept_;
  for (auto& [id, job] : jobs_) {
    if (!job->held.empty() && now - job->held_since > net::ms(operator_.hold_timeout_s)) {
      job->held.clear();
      job->whole_only = true;
      kick();
    }
    for (const auto& [task, name] : job->held) kept.insert(name);
  }
  drain_noticed();
  fleet_.tick(kept);
  kick();
}

// Before the cloud takes a spot machine, what can save is told to.
void Controller::drain_noticed() {
  const Ms now = runtime_.now();
  std::vector<Charge*> singles;
  std::set<JobRecord*> gangs;
  for (auto& [name, m] : fleet_.machines()) {
    if (!m.taken_at) continue;
    for (const auto& [key, c] : m.charges) {
      const wire::Job& spec = c->job->spec;
      if (c->stop || !c->sent || spec.checkpoint_s <= 0) continue;
      const double margin = spec.save_s + settings_.gang_peer_s + settings_.report_s;
      if (now + net::ms(margin) < *m.taken_at) continue;
      if (c->job->gang()) {
        gangs.insert(c->job);
      } else {
        stop_charge(*c, spec.save_s + settings_.report_s / 3);
        singles.push_back(c);
      }
    }
  }
  send_stops(singles);
  for (JobRecord* job : gangs) {
    stop_all(*job, job->spec.save_s + settings_.gang_peer_s);
  }
}

}  // namespace seampass::leader
