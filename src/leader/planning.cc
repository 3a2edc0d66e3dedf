// The Controller's decisions: from its picture of jobs and machines to starts, stops and rentals.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using sched::need_of;
using state::Urgency;
using wire::TaskState;

namespace {

// Pending tasks of one job that a pass looks at.
constexpr std::size_t kPassTasks = 256;
constexpr Ms kPassDelay = 5;
// Arrivals are counted over this many boot times.
constexpr double kArrivalWindow = 6;
constexpr std::size_t kMaxArrivals = 500;
// A spare is kept on no type that costs more than this many times the cheapest that would do.
constexpr double kSpareDearest = 3;

}  // namespace

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
  if (spdlog::should_log(spdlog::level::debug)) log_use();
  fleet_.tick(kept);
  kick();
}

// By machine type: what is paid for, and what it is used for.
void Controller::log_use() const {
  struct Use {
    int up = 0, booting = 0, idle = 0, closed = 0, starting = 0, waiting = 0, running = 0;
  };
  std::map<std::string, Use> by_type;
  for (const auto& [name, m] : fleet_.machines()) {
    Use& u = by_type[m.type];
    ++(m.up ? u.up : u.booting);
    if (!m.up) continue;
    if (m.charges.empty()) ++u.idle;
    if (m.draining || m.deleting || m.taken_at) ++u.closed;
    for (const auto& [key, c] : m.charges)
      ++(c->state == TaskState::running   ? u.running
         : c->state == TaskState::waiting ? u.waiting
                                          : u.starting);
  }
  for (const auto& [type, u] : by_type)
    spdlog::debug(
        "{}: {} up, {} not yet, {} idle, {} closed; tasks {} starting, {} waiting, {} running",
        type, u.up, u.booting, u.idle, u.closed, u.starting, u.waiting, u.running);
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
