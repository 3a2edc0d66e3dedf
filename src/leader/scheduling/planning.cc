// The SchedulingLoop's decisions: from its snapshot of jobs and machines to starts, stops and
// rentals.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "leader/scheduling/scheduling_loop.h"

namespace seampass::leader {

using net::Ms;
using sched::request_of;

namespace {

// A pass follows what calls for it at once, but for the last pass: what comes in between goes
// together, into fewer records and messages. (A share of the report interval.)
constexpr double kPassPause = 0.04;
// After a pass the controller is free for its other work for so many times as long as the pass took
// and came late.
constexpr Ms kPassRest = 4;
// Arrivals are counted over this many boot times.
constexpr double kArrivalWindow = 6;
constexpr double kEndsCounted = 0.5;
// A task is moved only if it has this many times longer to run than its stop and start take; one in
// so many machines is emptied in a plan.
constexpr double kConsolidationGain = 3;
constexpr std::size_t kConsolidationShare = 50;
// A spare is kept on no type that costs more than this many times the cheapest that would do.
constexpr double kMaxHeadroomPrice = 3;

}  // namespace

void SchedulingLoop::request_pass() {
  if (pass_requested_ || !recovered_) return;
  pass_requested_ = true;
  const Ms due = std::max(runtime_.now() + 1, next_pass_);
  runtime_.after(due - runtime_.now(), term_.wrap([this, due] {
    pass_requested_ = false;
    run_pass(runtime_.now() - due);
  }));
}

double SchedulingLoop::longest_boot_s() const {
  double longest = 0;
  for (const auto& [name, t] : catalog_.types()) longest = std::max(longest, t.boot_s);
  return longest;
}

void SchedulingLoop::run_pass(Ms lateness) {
  if (!may_schedule() || !catalog_.known()) return;
  const Ms began = runtime_.now();
  snapshot_.choice = operator_settings_.machine_choice == "first-fit"
                         ? sched::MachineChoice::first_fit
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
    sched::set_fair_share_ranks(snapshot_.jobs, snapshot_.teams, guaranteed);
  }
  reserve_zones(jobs);
  // Room that is held is taken in the snapshot only until the pass is over.
  for (const sched::JobView& v : snapshot_.jobs)
    for (const sched::Placement& x : v.reservations) touch(x.machine);
  const sched::Decisions d = sched::run_pass(snapshot_);
  const Ms now = runtime_.now();
  for (JobRecord* job : jobs) {
    if (job->reservations.empty()) job->reservations_since = now;
    job->reservations.clear();
  }
  for (const sched::JobPlacements& b : d.reservations) {
    for (const sched::Placement& x : b.tasks) {
      jobs[b.job]->reservations.emplace_back(x.task, snapshot_.machines[x.machine].name);
      touch(x.machine);
    }
  }
  preempt(d);
  for (const sched::JobPlacements& b : d.starts) start(*jobs[b.job], b.tasks);
  // Renting is paced: what is asked of the cloud takes far longer than the pause.
  if (now - last_rental_ >= net::ms(settings_.heartbeat_interval_s / 3)) {
    last_rental_ = now;
    plan();
  }
  // A slow controller falls behind in freshness, and not in check-ins, renewals and answers. What a
  // pass starts is work for later, too: thousands of short tasks would end, be reported and be
  // replaced until nothing else is done in time, the renewal of the lease included.
  const Ms after = runtime_.now();
  next_pass_ = after + std::max(kPassRest * (after - began + lateness),
                                net::ms(kPassPause * settings_.heartbeat_interval_s));
}

void SchedulingLoop::touch(std::size_t slot) {
  if (Machine* m = fleet_.find(snapshot_.machines[slot].name)) m->stale = true;
}

double SchedulingLoop::age_s(const JobRecord& job) const {
  return static_cast<double>(runtime_.wall() - job.ready_ms) / 1000;
}

// How long a start may wait and still meet the first of its class's aims that can be met; at least
// half as long as a new machine would take.
double SchedulingLoop::wait_budget_s(const JobRecord& job) const {
  const wire::Job& spec = job.spec;
  double boot = 0;
  double fetch = 0;
  for (const auto& [name, t] : catalog_.types()) {
    if (!sched::fits_empty(t, spec)) continue;
    boot = std::max(boot, t.boot_s);
    if (t.fetch_gb_per_s > 0) fetch = std::max(fetch, spec.image_gb / t.fetch_gb_per_s);
  }
  const double age = age_s(job);
  double best = boot / 2;
  const auto aims = objectives_by_class_.find(spec.job_class);
  if (aims == objectives_by_class_.end()) return best;
  double first = std::numeric_limits<double>::infinity();
  for (const config::ServiceLevelObjective& o : aims->second) {
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
std::vector<sched::Headroom> SchedulingLoop::headroom() const {
  std::vector<sched::Headroom> list;
  double spent = 0;
  for (const sched::MachineView& m : snapshot_.machines) spent += m.price;
  for (const sched::MachineView& m : snapshot_.pending_scale_out) spent += m.price;
  const Ms now = runtime_.now();
  for (const auto& [job_class, a] : arrivals_) {
    if (a.recent.empty()) continue;
    const wire::Job& spec = a.latest;
    double boot = 0;
    double cheapest = std::numeric_limits<double>::infinity();
    for (const auto& [name, t] : catalog_.types()) {
      if (!sched::fits_empty(t, spec)) continue;
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
      if (job->spec.job_class != job_class) continue;
      for (const auto& [task, c] : job->attempts)
        if (c.running_since != 0 && now - c.running_since > net::ms(job->spec.estimate_s - boot))
          ends += kEndsCounted;
    }
    const double expected = std::max(0.0, tasks * share - ends) + std::sqrt(squares * share);
    const auto count = static_cast<std::uint32_t>(std::ceil(expected));
    sched::Headroom s;
    s.budget = operator_settings_.headroom_share * spent;
    s.max_price = kMaxHeadroomPrice * cheapest;
    s.job.kind = wire::JobKind::array;
    s.job.priority = wire::Priority::low;
    s.job.request = request_of(spec);
    s.job.types = &spec.types;
    s.job.zone = spec.zone;
    s.job.spot = spec.spot;
    s.job.tasks = count;
    for (std::uint32_t t = 0; t < count; ++t) s.job.pending.push_back(t);
    list.push_back(std::move(s));
  }
  return list;
}

void SchedulingLoop::preempt(const sched::Decisions& d) {
  std::vector<TaskAttempt*> stops;
  for (const sched::Preemption& e : d.preemptions) {
    double termination_grace_s = 0;
    for (const sched::PreemptibleTask& v : e.tasks) {
      TaskAttempt* c = actions_.find_attempt(v.job, v.task);
      if (!c) continue;
      actions_.stop_to_checkpoint(*c, audit::StopReason::room_needed);
      stops.push_back(c);
      termination_grace_s = std::max(termination_grace_s, c->termination_grace_s);
    }
    Machine* m = fleet_.find(snapshot_.machines[e.machine].name);
    if (!m) continue;
    m->nominated_job = snapshot_.jobs[e.job].id;
    m->nominated_until =
        runtime_.now() + net::ms(termination_grace_s + 2 * settings_.heartbeat_interval_s);
    spdlog::debug("clearing {} of {} tasks for {}", m->name, e.tasks.size(), m->nominated_job);
  }
  actions_.send_stops(stops);
}

void SchedulingLoop::plan() {
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
      releases.push_back(
          {std::max(spec.estimate_s - run_s, spec.estimate_s / 4), request_of(spec)});
    }
  }
  const auto options = fleet_.options();
  const sched::ScalingPlan plan = sched::plan_scaling(snapshot_, options, headroom());
  headroom_machines_.clear();
  for (const std::size_t i : plan.headroom_machines)
    headroom_machines_.insert(snapshot_.machines[i].name);
  for (const sched::ScaleOutRequest& w : plan.scale_out) fleet_.rent(options[w.option], w.count);
  // (Where jobs wait now and then, the next would wait for the machine that was just returned.)
  if (std::any_of(snapshot_.jobs.begin(), snapshot_.jobs.end(),
                  [](const sched::JobView& j) { return !j.pending.empty(); }))
    waited_ = now;
  if (now - waited_ > net::ms(longest_boot_s())) consolidate();
}

// When nothing waits, the few tasks of a machine are moved together with others, and it is
// returned.
void SchedulingLoop::consolidate() {
  const Ms now = runtime_.now();
  for (sched::MachineView& m : snapshot_.machines) {
    for (sched::PreemptibleTask& v : m.preemptible_tasks) {
      const TaskAttempt* c = actions_.find_attempt(v.job, v.task);
      if (!c) continue;
      v.remaining_s = c->job->spec.estimate_s - static_cast<double>(now - c->running_since) / 1000;
    }
  }
  const std::size_t most = 1 + fleet_.machines().size() / kConsolidationShare;
  std::vector<TaskAttempt*> stops;
  for (const std::size_t i : sched::consolidation_candidates(
           snapshot_, settings_.heartbeat_interval_s / 3, kConsolidationGain, most)) {
    Machine* m = fleet_.find(snapshot_.machines[i].name);
    if (!m || headroom_machines_.contains(m->name)) continue;
    m->draining = true;
    spdlog::debug("emptying {} of {} tasks", m->name, m->attempts.size());
    for (const auto& [key, c] : m->attempts) {
      actions_.stop_to_checkpoint(*c, audit::StopReason::machine_leaving);
      stops.push_back(c);
    }
  }
  actions_.send_stops(stops);
}

void SchedulingLoop::start(JobRecord& job, const std::vector<sched::Placement>& tasks) {
  for (auto& [name, m] : fleet_.machines())
    if (m.nominated_job == job.spec.id) m.nominated_job.clear();
  job.all_or_nothing = false;
  job.reserved_zone.clear();
  std::vector<PlacedTask> placed;
  for (const sched::Placement& placement : tasks) {
    Machine* machine = fleet_.find(snapshot_.machines[placement.machine].name);
    if (machine) placed.push_back({placement.task, machine});
  }
  actions_.launch(job, placed);
}

}  // namespace seampass::leader
