// The Controller's decisions: from its snapshot of jobs and machines to starts, stops and rentals.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using sched::need_of;
using state::Urgency;
using wire::TaskState;

namespace {

// Pending tasks of one job that a pass looks at.
constexpr std::size_t kPassTasks = 256;
// A pass follows what calls for it at once, but for the last pass: what comes in between goes
// together, into fewer records and messages. (A share of the report interval.)
constexpr double kPassPause = 0.04;
// After a pass the controller is free for its other work for so many times as long as the pass took
// and came late.
constexpr Ms kPassRest = 4;
// A gang's room is kept in one zone for so many of the longest boots.
constexpr double kKeptBoots = 3;
// Arrivals are counted over this many boot times.
constexpr double kArrivalWindow = 6;
constexpr std::size_t kMaxArrivals = 500;
constexpr double kEndsCounted = 0.5;
// A task is moved only if it has this many times longer to run than its stop and start take; one in
// so many machines is emptied in a plan.
constexpr double kEmptiedWorth = 3;
constexpr std::size_t kEmptiedShare = 50;
// A leader makes way if so large a share of its machines, and at least so many, said nothing for so
// many report intervals.
constexpr double kIsolatedShare = 0.9;
constexpr std::size_t kIsolatedLeast = 3;
constexpr double kIsolatedReports = 1.6;
// A spare is kept on no type that costs more than this many times the cheapest that would do.
constexpr double kSpareDearest = 3;

}  // namespace

void Controller::request_pass() {
  if (pass_requested_ || !loaded_) return;
  pass_requested_ = true;
  const std::uint64_t term = term_;
  const Ms due = std::max(runtime_.now() + 1, next_pass_);
  runtime_.after(due - runtime_.now(), [this, term, due] {
    if (term != term_) return;
    pass_requested_ = false;
    run_pass(runtime_.now() - due);
  });
}

// What a machine is used for, drawn anew only after it has changed.
void Controller::update_view(Machine& m, const wire::MachineType& type) {
  sched::MachineView& v = snapshot_.machines[m.slot];
  v.name = m.name;
  v.type = m.type;
  v.zone = m.zone;
  v.spot = m.spot;
  v.total = v.free = {type.cpus, type.gpus, type.memory_gb};
  v.victims.clear();
  for (const auto& [key, c] : m.attempts) {
    const wire::Job& spec = c->job->spec;
    v.free -= need_of(spec);
    // Only what saves, runs, and is not being stopped already.
    if (!c->job->gang() && spec.checkpoint_s > 0 && c->state == TaskState::running && !c->stop)
      v.victims.push_back({spec.id, c->task, spec.priority, need_of(spec), spec.image, spec.spot,
                           !spec.zone && !spec.one_zone && !spec.spread, 0, spec.save_s});
  }
  v.images = m.images;
  v.tasks = m.attempts.size();
  m.stale = false;
}

void Controller::update_machines() {
  const Ms now = runtime_.now();
  const Ms fresh = net::ms(settings_.lease_s) / 3;
  for (auto& [name, m] : fleet_.machines()) {
    const wire::MachineType* type = types_.find(m.type);
    if (!type) continue;
    if (m.slot == Machine::kNoSlot) {
      if (free_slots_.empty()) {
        m.slot = snapshot_.machines.size();
        snapshot_.machines.emplace_back();
      } else {
        m.slot = free_slots_.back();
        free_slots_.pop_back();
      }
      m.stale = true;
    }
    if (m.stale) update_view(m, *type);
    // What time alone changes.
    sched::MachineView& v = snapshot_.machines[m.slot];
    v.price = m.spot ? type->spot_price : type->price;
    // A third of the lease without a word: whatever is started there may never be.
    v.open = m.up && !m.deleting && !m.draining && !m.taken_at && m.unknown_tasks == 0 &&
             now >= m.suspect_until && now - m.heard < fresh;
    // (One that reports shows within a report that it hears us, or it is no machine on its way.)
    v.booting =
        !m.up && !m.deleting && m.attempts.empty() &&
        (m.first_heartbeat_at < 0 ? now - m.since < net::ms(2 * type->boot_s)
                                  : now - m.first_heartbeat_at < net::ms(settings_.report_s));
    v.claimed_by.clear();
    if (now < m.claimed_until && jobs_.contains(m.claimed_by)) v.claimed_by = m.claimed_by;
  }
  snapshot_.asked.clear();
  for (const auto& [request, asked] : fleet_.asked()) {
    const wire::MachineType* type = types_.find(asked.type);
    if (!type) continue;
    sched::MachineView v;
    v.type = asked.type;
    v.zone = asked.zone;
    v.spot = asked.spot;
    v.booting = true;
    v.total = v.free = {type->cpus, type->gpus, type->memory_gb};
    snapshot_.asked.insert(snapshot_.asked.end(), static_cast<std::size_t>(asked.count), v);
  }
}

void Controller::update_teams() {
  snapshot_.teams.clear();
  for (const config::Team& t : settings_.teams) {
    sched::TeamView& v = snapshot_.teams[t.name];
    if (t.cpus_max > 0) v.cpus_max = t.cpus_max;
    if (t.gpus_max > 0) v.gpus_max = t.gpus_max;
    const sched::Need usage = attempts_.usage(t.name);
    v.cpus = usage.cpus;
    v.gpus = usage.gpus;
  }
}

// A job is within its team's guarantee if it fits there together with the team's earlier unfinished
// jobs.
std::set<const JobRecord*> Controller::guaranteed_jobs() const {
  std::vector<const JobRecord*> order;
  for (const auto& [id, job] : jobs_)
    if (!job->ending && job->spec.gpus > 0) order.push_back(job.get());
  std::sort(order.begin(), order.end(), [](const JobRecord* a, const JobRecord* b) {
    return std::tie(a->created_ms, a->spec.id) < std::tie(b->created_ms, b->spec.id);
  });
  std::map<std::string, double> asked;
  std::set<const JobRecord*> result;
  for (const JobRecord* job : order) {
    const config::Team* team = settings_.team(job->spec.team);
    double& gpus = asked[job->spec.team];
    gpus += (job->spec.tasks - job->finished_count) * job->spec.gpus;
    if (team && gpus <= team->gpus) result.insert(job);
  }
  return result;
}

std::vector<JobRecord*> Controller::update_jobs() {
  snapshot_.jobs.clear();
  std::vector<JobRecord*> jobs;
  const Ms now = runtime_.now();
  const auto guaranteed = guaranteed_jobs();
  for (auto& [id, job] : jobs_) {
    if (job->ending || job->hint == job->spec.tasks) continue;
    const bool gang = job->gang();
    if (gang && !job->attempts.empty()) continue;  // the next attempt waits for all of the last
    sched::JobView v;
    // A job that fails everywhere takes room for one task, to see whether it still does.
    const bool one = job->broken() && job->running == 0 && !gang;
    if (one && !job->attempts.empty()) continue;
    const std::size_t most = one ? 1 : kPassTasks;
    for (std::uint32_t t = job->hint; t < job->spec.tasks && v.pending.size() < most; ++t) {
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
    v.wait_budget_s = wait_budget_s(*job);
    v.urgent = arrivals_.contains(job->spec.klass);
    v.guaranteed = guaranteed.contains(job.get());
    v.turn = v.guaranteed ? 0 : 1;
    v.tasks = job->spec.tasks;
    for (const auto& [task, c] : job->attempts) ++v.placed[c.machine->zone];
    v.blocked = now < job->retry_at;
    // Where a copy of an earlier attempt's start may still come late, that attempt is not
    // forgotten, and would be in the way of this one.
    for (auto left = job->unreaped_attempts.begin(); left != job->unreaped_attempts.end();) {
      const Machine* m = fleet_.find(left->second);
      const auto e =
          m ? m->started.lower_bound({id, left->first, 0}) : decltype(m->started.end())();
      const bool there = m && e != m->started.end() && e->task_id() == TaskId{id, left->first};
      if (there && m->slot != Machine::kNoSlot) v.avoid.insert({left->first, m->slot});
      left = there ? std::next(left) : job->unreaped_attempts.erase(left);
    }
    v.whole_only = job->whole_only;
    for (const auto& [task, name] : job->held) {
      const Machine* m = fleet_.find(name);
      if (!m || m->slot == Machine::kNoSlot || v.blocked) continue;
      sched::MachineView& machine = snapshot_.machines[m->slot];
      if (!machine.open) continue;
      machine.free -= v.need;
      snapshot_.teams[v.team].cpus += v.need.cpus;
      snapshot_.teams[v.team].gpus += v.need.gpus;
      v.held.push_back({task, m->slot});
    }
    snapshot_.jobs.push_back(std::move(v));
    jobs.push_back(job.get());
  }
  return jobs;
}

// A gang that timed out holds nothing until all of it fits, and would starve while smaller ones
// take what comes free. So the first such gang in the queue goes on holding, one for each zone:
// what comes free there goes to it, and what it lacks is rented there. It moves on if that takes
// too long.
void Controller::keep_zones(const std::vector<JobRecord*>& jobs) {
  const Ms now = runtime_.now();
  std::set<std::string> taken;
  for (const std::size_t j : sched::queue_order(snapshot_.jobs)) {
    JobRecord& job = *jobs[j];
    sched::JobView& v = snapshot_.jobs[j];
    if (!job.gang() || !v.one_zone || !job.whole_only || v.blocked) continue;
    const bool late = now - job.kept_since > net::ms(kKeptBoots * longest_boot_s());
    if (job.kept_zone.empty() || late || taken.contains(job.kept_zone)) {
      std::map<std::string, std::uint32_t>
          hosts;  // machines that could take a task, were they empty
      for (const sched::MachineView& m : snapshot_.machines)
        if ((m.open || m.booting) && !taken.contains(m.zone) &&
            sched::allowed(v, m.type, m.zone, m.spot) && sched::capacity(v.need, m.total) > 0)
          ++hosts[m.zone];
      if (late) hosts.erase(job.kept_zone);
      std::string best;
      for (const auto& [zone, n] : hosts)
        if (best.empty() || n > hosts[best]) best = zone;
      if (best.empty()) continue;
      job.kept_zone = best;
      job.kept_since = now;
    }
    taken.insert(job.kept_zone);
    v.kept_zone = job.kept_zone;
    v.whole_only = false;
  }
}

double Controller::longest_boot_s() const {
  double longest = 0;
  for (const auto& [name, t] : types_.types()) longest = std::max(longest, t.boot_s);
  return longest;
}

void Controller::run_pass(Ms lateness) {
  if (!ready() || !types_.known()) return;
  const Ms began = runtime_.now();
  snapshot_.choice = operator_.machine_choice == "first-fit" ? sched::MachineChoice::first_fit
                                                             : sched::MachineChoice::scored;
  update_machines();
  update_teams();
  const std::vector<JobRecord*> jobs = update_jobs();
  // Machines have had time to come, twice over, and did not: more is asked than there is.
  const double patience = 2 * longest_boot_s();
  if (std::any_of(jobs.begin(), jobs.end(),
                  [&](const JobRecord* job) { return age_s(*job) > patience; })) {
    std::map<std::string, double> guaranteed;
    for (const config::Team& t : settings_.teams) guaranteed[t.name] = t.gpus;
    sched::set_turns(snapshot_.jobs, snapshot_.teams, guaranteed);
  }
  keep_zones(jobs);
  // Room that is held is taken in the snapshot only until the pass is over.
  for (const sched::JobView& v : snapshot_.jobs)
    for (const sched::Placement& x : v.held) touch(x.machine);
  const sched::Decisions d = sched::pass(snapshot_);
  const Ms now = runtime_.now();
  for (JobRecord* job : jobs) {
    if (job->held.empty()) job->held_since = now;
    job->held.clear();
  }
  for (const sched::Batch& b : d.holds) {
    for (const sched::Placement& x : b.tasks) {
      jobs[b.job]->held.emplace_back(x.task, snapshot_.machines[x.machine].name);
      touch(x.machine);
    }
  }
  evict(d);
  for (const sched::Batch& b : d.starts) start(*jobs[b.job], b.tasks);
  // Renting is paced: what is asked of the cloud takes far longer than the pause.
  if (now - last_rental_ >= net::ms(settings_.report_s / 3)) {
    last_rental_ = now;
    plan();
  }
  // A slow controller falls behind in freshness, and not in check-ins, renewals and answers. What a
  // pass starts is work for later, too: thousands of short tasks would end, be reported and be
  // replaced until nothing else is done in time, the renewal of the lease included.
  const Ms after = runtime_.now();
  next_pass_ = after + std::max(kPassRest * (after - began + lateness),
                                net::ms(kPassPause * settings_.report_s));
}

void Controller::touch(std::size_t slot) {
  if (Machine* m = fleet_.find(snapshot_.machines[slot].name)) m->stale = true;
}

double Controller::age_s(const JobRecord& job) const {
  return static_cast<double>(runtime_.wall() - job.created_ms) / 1000;
}

// How long a start may wait and still meet the first of its class's aims that can be met; at least
// half as long as a new machine would take.
double Controller::wait_budget_s(const JobRecord& job) const {
  const wire::Job& spec = job.spec;
  double boot = 0;
  double fetch = 0;
  for (const auto& [name, t] : types_.types()) {
    if (!sched::hosts(t, spec)) continue;
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
std::vector<sched::Spare> Controller::spares() const {
  std::vector<sched::Spare> list;
  double spent = 0;
  for (const sched::MachineView& m : snapshot_.machines) spent += m.price;
  for (const sched::MachineView& m : snapshot_.asked) spent += m.price;
  const Ms now = runtime_.now();
  for (const auto& [klass, a] : arrivals_) {
    if (a.recent.empty()) continue;
    const wire::Job& spec = a.latest;
    double boot = 0;
    double cheapest = std::numeric_limits<double>::infinity();
    for (const auto& [name, t] : types_.types()) {
      if (!sched::hosts(t, spec)) continue;
      boot = std::max(boot, t.boot_s);
      cheapest = std::min(cheapest, spec.spot ? t.spot_price : t.price);
    }
    // A class whose aim leaves time to boot needs no spare.
    if (boot <= 0 || a.within_s > 2 * boot) continue;
    const Ms window = std::min(now - a.recent.front().first, net::ms(kArrivalWindow * boot));
    double tasks = 0;
    double squares = 0;
    for (const auto& [when, n] : a.recent)
      if (now - when <= window) {
        tasks += n;
        squares += static_cast<double>(n) * n;
      }
    const double share = boot / std::max(static_cast<double>(window) / 1000, boot);
    // Tasks of a job come together, so that their number spreads by the square of a job's size.
    // Meanwhile tasks of the class end as well, and leave their room; estimates err, so half of it
    // is counted on.
    double ends = 0;
    for (const auto& [id, job] : jobs_) {
      if (job->spec.klass != klass) continue;
      for (const auto& [task, c] : job->attempts)
        if (c.running_since != 0 && now - c.running_since > net::ms(job->spec.estimate_s - boot))
          ends += kEndsCounted;
    }
    const double expected = std::max(0.0, tasks * share - ends) + std::sqrt(squares * share);
    const auto count = static_cast<std::uint32_t>(std::ceil(expected));
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

void Controller::evict(const sched::Decisions& d) {
  std::vector<TaskAttempt*> stops;
  for (const sched::Eviction& e : d.evictions) {
    double grace = 0;
    for (const sched::Victim& v : e.tasks) {
      TaskAttempt* c = find_attempt(v.job, v.task);
      if (!c) continue;
      stop_to_save(*c);
      stops.push_back(c);
      grace = std::max(grace, c->grace_s);
    }
    Machine* m = fleet_.find(snapshot_.machines[e.machine].name);
    if (!m) continue;
    m->claimed_by = snapshot_.jobs[e.job].id;
    m->claimed_until = runtime_.now() + net::ms(grace + 2 * settings_.report_s);
    spdlog::debug("clearing {} of {} tasks for {}", m->name, e.tasks.size(), m->claimed_by);
  }
  send_stops(stops);
}

void Controller::plan() {
  const Ms now = runtime_.now();
  for (const auto& [name, m] : fleet_.machines()) {
    if (m.slot == Machine::kNoSlot) continue;
    auto& releases = snapshot_.machines[m.slot].releases;
    releases.clear();
    for (const auto& [key, c] : m.attempts) {
      const wire::Job& spec = c->job->spec;
      if (spec.kind == wire::JobKind::service) continue;
      // The owner's estimate, often wrong: what has outlived it may take some more.
      const double run_s =
          c->running_since == 0 ? 0 : static_cast<double>(now - c->running_since) / 1000;
      releases.emplace_back(std::max(spec.estimate_s - run_s, spec.estimate_s / 4), need_of(spec));
    }
  }
  const auto options = fleet_.options();
  const sched::MachinePlan plan = sched::plan_machines(snapshot_, options, spares());
  kept_.clear();
  for (const std::size_t i : plan.keep) kept_.insert(snapshot_.machines[i].name);
  for (const sched::RentalWish& w : plan.rentals) fleet_.rent(options[w.option], w.count);
  // (Where jobs wait now and then, the next would wait for the machine that was just returned.)
  if (std::any_of(snapshot_.jobs.begin(), snapshot_.jobs.end(),
                  [](const sched::JobView& j) { return !j.pending.empty(); }))
    waited_ = now;
  if (now - waited_ > net::ms(longest_boot_s())) empty_machines();
}

// When nothing waits, the few tasks of a machine are moved together with others, and it is
// returned.
void Controller::empty_machines() {
  const Ms now = runtime_.now();
  for (sched::MachineView& m : snapshot_.machines) {
    for (sched::Victim& v : m.victims) {
      const TaskAttempt* c = find_attempt(v.job, v.task);
      if (!c) continue;
      v.left_s = c->job->spec.estimate_s - static_cast<double>(now - c->running_since) / 1000;
    }
  }
  const std::size_t most = 1 + fleet_.machines().size() / kEmptiedShare;
  std::vector<TaskAttempt*> stops;
  for (const std::size_t i :
       sched::emptied(snapshot_, settings_.report_s / 3, kEmptiedWorth, most)) {
    Machine* m = fleet_.find(snapshot_.machines[i].name);
    if (!m || kept_.contains(m->name)) continue;
    m->draining = true;
    spdlog::debug("emptying {} of {} tasks", m->name, m->attempts.size());
    for (const auto& [key, c] : m->attempts) {
      stop_to_save(*c);
      stops.push_back(c);
    }
  }
  send_stops(stops);
}

void Controller::start(JobRecord& job, const std::vector<sched::Placement>& tasks) {
  const std::uint64_t attempt = ++job.last_attempt;
  for (auto& [name, m] : fleet_.machines())
    if (m.claimed_by == job.spec.id) m.claimed_by.clear();
  job.whole_only = false;
  job.kept_zone.clear();
  std::map<std::uint32_t, std::vector<AttemptId>> by_chunk;
  std::vector<AttemptId> all;
  for (const sched::Placement& x : tasks) {
    Machine* m = fleet_.find(snapshot_.machines[x.machine].name);
    if (!m) continue;
    m->stale = true;
    attempts_.add(job, x.task, attempt, *m, m->session);
    all.push_back({job.spec.id, x.task, attempt});
    by_chunk[chunk_of(x.task)].push_back(all.back());
  }
  spdlog::debug("starting {} tasks of {} try {} on {}", all.size(), job.spec.id, attempt,
                snapshot_.machines[tasks.front().machine].name);
  const std::string id = job.spec.id;
  const bool gang = job.gang();
  // A gang's start record may span several chunks: nothing starts before the last is durable.
  const auto waiting = std::make_shared<std::size_t>(by_chunk.size());
  for (auto& [chunk, list] : by_chunk) {
    records_.changed(id, chunk, Urgency::assignment, [this, id, gang, waiting, all, list = list] {
      if (!gang) return starts_durable(id, list);
      if (--*waiting == 0) starts_durable(id, all);
    });
  }
}

// No worker reaches this node, though the state service does: each is sent back to it by all others
// until its lease is over. Two ticks in a row, since after standing still everything looks silent
// until the sockets have been read.
bool Controller::is_isolated() {
  const Ms now = runtime_.now();
  const bool in_time = now - ticked_ < net::ms(settings_.report_s);
  ticked_ = now;
  std::size_t due = 0;
  std::size_t silent = 0;
  for (const auto& [name, m] : fleet_.machines()) {
    // (Those that never heard this leader may all be dead, with copies of their reports on the
    // way: making way for that would go round for ever.)
    if (m.deleting || !m.up) continue;
    ++due;
    silent += now - m.heard > net::ms(kIsolatedReports * settings_.report_s) ? 1 : 0;
  }
  const bool most_silent = static_cast<double>(silent) >= kIsolatedShare * static_cast<double>(due);
  isolated_ticks_ = in_time && due >= kIsolatedLeast && most_silent ? isolated_ticks_ + 1 : 0;
  return isolated_ticks_ >= 2;
}

void Controller::tick() {
  const std::uint64_t term = term_;
  runtime_.after(net::ms(settings_.report_s / 3), [this, term] {
    if (term != term_) return;
    tick();
  });
  if (!ready()) return;
  if (is_isolated() && election_.resign()) return;
  release_expired();
  for (auto& [klass, a] : arrivals_)
    while (a.recent.size() > kMaxArrivals) a.recent.pop_front();
  expire_holds();
  std::set<std::string> kept = kept_;
  for (const auto& [id, job] : jobs_)
    for (const auto& [task, name] : job->held) kept.insert(name);
  drain_noticed();
  if (spdlog::should_log(spdlog::level::debug)) log_use();
  fleet_.tick(kept);
  request_pass();
}

// What is on a machine that has been silent for longer than its worker's lease.
void Controller::release_expired() {
  const Ms lease = net::ms(settings_.lease_s);
  // Twice the drift of 0.05% each way, and a little.
  const Ms margin = lease / 500 + 50;
  const ExpiryTimes times{lease + margin, net::ms(settings_.cancel_s) + margin};
  std::vector<Machine*> expired;
  for (auto& [name, m] : fleet_.machines()) {
    if (m.attempts.empty()) continue;
    const bool confirmed = m.heard >= 0 && m.token >= election_.warrant();
    if (attempts_.lease_expired(m, began_, confirmed, times)) expired.push_back(&m);
  }
  for (Machine* m : expired) machine_gone(*m);
}

// A gang that has held room for too long gives it back.
void Controller::expire_holds() {
  const Ms now = runtime_.now();
  for (auto& [id, job] : jobs_) {
    if (job->held.empty() || job->whole_only) continue;
    if (now - job->held_since <= net::ms(operator_.hold_timeout_s)) continue;
    job->held.clear();
    job->whole_only = true;
    request_pass();
  }
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
    if (m.attempts.empty()) ++u.idle;
    if (m.draining || m.deleting || m.taken_at) ++u.closed;
    for (const auto& [key, c] : m.attempts)
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
  std::vector<TaskAttempt*> singles;
  std::map<std::string, JobRecord*> gangs;
  for (auto& [name, m] : fleet_.machines()) {
    if (!m.taken_at) continue;
    for (const auto& [key, c] : m.attempts) {
      const wire::Job& spec = c->job->spec;
      if (c->stop || !c->sent || spec.checkpoint_s <= 0) continue;
      const double margin = spec.save_s + settings_.gang_peer_s + settings_.report_s;
      if (now + net::ms(margin) < *m.taken_at) continue;
      if (c->job->gang()) {
        gangs.emplace(spec.id, c->job);
      } else {
        stop_to_save(*c);
        singles.push_back(c);
      }
    }
  }
  send_stops(singles);
  for (const auto& [id, job] : gangs) {
    stop_all(*job, job->spec.save_s + settings_.gang_peer_s);
  }
}

}  // namespace seampass::leader
