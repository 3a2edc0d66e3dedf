#include "leader/scheduling/scheduling_loop.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace seampass::leader {

using net::Ms;

namespace {

// A pass normally starts at once when it is requested, but not sooner than this share of a
// heartbeat interval after the previous pass. Requests in between are handled by one pass, which
// needs fewer records and messages.
constexpr double kMinPassPause = 0.04;
// After a pass, no other pass starts for this many times the sum of the pass's duration and the
// delay of its start. The controller handles its other work in this time.
constexpr Ms kPassCooldownFactor = 4;

}  // namespace

SchedulingLoop::SchedulingLoop(const SchedulingSources& sources, const state::Client& state,
                               Election& election, Fleet& fleet, TaskActions& actions)
    : sources_(sources),
      election_(election),
      fleet_(fleet),
      actions_(actions),
      snapshot_(sources_, fleet),
      headroom_(sources_),
      autoscaler_(sources_, fleet, headroom_, actions),
      upkeep_(sources_, election, fleet, actions),
      isolation_(sources.runtime, sources.settings, fleet),
      load_log_(sources.runtime, sources.settings, state, election) {}

void SchedulingLoop::start_term(Ms started_at) {
  autoscaler_.start_term(started_at);
  upkeep_.start_term(started_at);
  isolation_.start_term(started_at);
  load_log_.start_term(started_at);
  tick();
}

void SchedulingLoop::end_term() {
  term_.renew();
  recovered_ = pass_requested_ = false;
  autoscaler_.end_term();
  snapshot_.end_term();
  headroom_.end_term();
}

void SchedulingLoop::request_scheduling_pass() {
  if (pass_requested_ || !recovered_) return;
  pass_requested_ = true;
  net::Runtime& runtime = sources_.runtime;
  const Ms due = std::max(runtime.now() + 1, next_pass_at_);
  runtime.after(due - runtime.now(), term_.wrap([this, due] {
    pass_requested_ = false;
    run_pass(sources_.runtime.now() - due);
  }));
}

void SchedulingLoop::run_pass(Ms start_delay) {
  if (!may_schedule() || !sources_.catalog.loaded()) return;
  const Ms started_at = sources_.runtime.now();
  schedule(snapshot_.update());
  // The pause scales with the pass's duration and the delay of its start, so that an overloaded
  // controller schedules less often but still handles heartbeats, lease renewals and answers in
  // time. The tasks that a pass starts cause further work: without the pause, thousands of short
  // tasks would end, be reported and be replaced, and nothing else would be done in time, not even
  // the renewal of the leader's lease.
  const Ms finished_at = sources_.runtime.now();
  next_pass_at_ =
      finished_at + std::max(kPassCooldownFactor * (finished_at - started_at + start_delay),
                             net::ms(kMinPassPause * sources_.settings.heartbeat_interval_s));
}

void SchedulingLoop::schedule(const std::vector<JobRecord*>& jobs) {
  const sched::Decisions decisions = sched::run_pass(snapshot_.snapshot());
  const Ms decided_at = sources_.runtime.now();
  replace_reservations(jobs, decisions);
  preempt(decisions);
  for (const sched::JobPlacements& batch : decisions.starts) launch(*jobs[batch.job], batch.tasks);
  autoscaler_.scale(snapshot_.snapshot(), decided_at);
}

void SchedulingLoop::replace_reservations(const std::vector<JobRecord*>& jobs,
                                          const sched::Decisions& decisions) {
  const Ms now = sources_.runtime.now();
  for (JobRecord* job : jobs) {
    if (job->reservations.empty()) job->reservations_since = now;
    job->reservations.clear();
  }
  for (const sched::JobPlacements& batch : decisions.reservations) {
    for (const sched::Placement& reserved : batch.tasks) {
      jobs[batch.job]->reservations.emplace_back(
          reserved.task, snapshot_.snapshot().machines[reserved.machine].name);
      snapshot_.invalidate(reserved.machine);
    }
  }
}

void SchedulingLoop::preempt(const sched::Decisions& decisions) {
  std::vector<TaskAttempt*> stops;
  for (const sched::Preemption& preemption : decisions.preemptions) {
    double termination_grace_s = 0;
    for (const sched::PreemptibleTask& victim : preemption.tasks) {
      TaskAttempt* attempt = actions_.find_attempt(victim.job, victim.task);
      if (!attempt) continue;
      actions_.stop_to_checkpoint(*attempt, audit::StopReason::room_needed);
      stops.push_back(attempt);
      termination_grace_s = std::max(termination_grace_s, attempt->termination_grace_s);
    }
    Machine* machine = snapshot_.machine_at(preemption.machine);
    if (!machine) continue;
    machine->nominated_job = snapshot_.snapshot().jobs[preemption.job].id;
    machine->nominated_until =
        sources_.runtime.now() +
        net::ms(termination_grace_s + 2 * sources_.settings.heartbeat_interval_s);
    spdlog::debug("machine {}: preempting {} tasks for job {}", machine->name,
                  preemption.tasks.size(), machine->nominated_job);
  }
  actions_.send_stops(stops);
}

// Starts the placed tasks. The job no longer waits for capacity, so its nominations on machines,
// its reserved zone and its all-or-nothing mode end.
void SchedulingLoop::launch(JobRecord& job, const std::vector<sched::Placement>& placements) {
  for (auto& [name, machine] : fleet_.machines())
    if (machine.nominated_job == job.spec.id) machine.nominated_job.clear();
  job.all_or_nothing = false;
  job.reserved_zone.clear();
  std::vector<PlacedTask> tasks;
  for (const sched::Placement& placement : placements) {
    Machine* machine = snapshot_.machine_at(placement.machine);
    if (machine) tasks.push_back({placement.task, machine});
  }
  actions_.launch(job, tasks);
}

void SchedulingLoop::tick() {
  net::Runtime& runtime = sources_.runtime;
  const Ms due = runtime.now() + net::ms(sources_.settings.heartbeat_interval_s / 3);
  runtime.after(due - runtime.now(), term_.wrap([this, due] {
    tick_delay_ = sources_.runtime.now() - due;
    tick();
  }));
  load_log_.log_if_due(tick_delay_);
  if (!may_schedule()) return;
  if (isolation_.check() && election_.resign()) return;
  upkeep_.release_expired();
  headroom_.trim_arrivals();
  LeaderUpkeep::Reservations reservations = upkeep_.expire_reservations();
  if (reservations.any_expired) request_scheduling_pass();
  std::set<std::string> reserved = std::move(reservations.machines);
  reserved.insert(autoscaler_.headroom_machines().begin(), autoscaler_.headroom_machines().end());
  upkeep_.drain_preempted();
  log_usage(fleet_.machines());
  fleet_.reclaim_unwanted(reserved);
  request_scheduling_pass();
}

}  // namespace seampass::leader
