#include "leader/scheduling/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace seampass::leader {

using net::Ms;

namespace {

// A task is moved only if it has this many times longer to run than its stop and start take; one in
// so many machines is emptied at a time.
constexpr double kConsolidationGain = 3;
constexpr std::size_t kConsolidationShare = 50;

double run_s(const TaskAttempt& attempt, Ms now) {
  return static_cast<double>(now - attempt.running_since) / 1000;
}

}  // namespace

void Autoscaler::scale(sched::ClusterSnapshot& snapshot, Ms now) {
  if (now - last_scaled_at_ < net::ms(sources_.settings.heartbeat_interval_s / 3)) return;
  last_scaled_at_ = now;
  const Ms began = sources_.runtime.now();
  update_releases(snapshot);
  scale_out(snapshot);
  // (Where jobs wait now and then, the next would wait for the machine that was just returned.)
  if (std::any_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                  [](const sched::JobView& view) { return !view.pending.empty(); }))
    last_unplaced_at_ = began;
  if (began - last_unplaced_at_ > net::ms(longest_boot_s(sources_.catalog))) consolidate(snapshot);
}

// When which room comes free, by the owners' estimates. They are often wrong: what has outlived its
// estimate may take some more.
void Autoscaler::update_releases(sched::ClusterSnapshot& snapshot) const {
  const Ms now = sources_.runtime.now();
  for (const auto& [name, machine] : fleet_.machines()) {
    if (machine.slot == Machine::kNoSlot) continue;
    auto& releases = snapshot.machines[machine.slot].releases;
    releases.clear();
    for (const auto& [task, attempt] : machine.attempts) {
      const wire::Job& spec = attempt->job->spec;
      if (spec.kind == wire::JobKind::service) continue;
      const double ran_s = attempt->running_since == 0 ? 0 : run_s(*attempt, now);
      releases.emplace_back(std::max(spec.estimate_s - ran_s, spec.estimate_s / 4),
                            sched::request_of(spec));
    }
  }
}

void Autoscaler::scale_out(const sched::ClusterSnapshot& snapshot) {
  const auto options = fleet_.options();
  const sched::ScalingPlan plan =
      sched::plan_scaling(snapshot, options, headroom_.estimate(snapshot));
  headroom_machines_.clear();
  for (const std::size_t index : plan.keep)
    headroom_machines_.insert(snapshot.machines[index].name);
  for (const sched::ScaleOutRequest& request : plan.rentals)
    fleet_.rent(options[request.option], request.count);
}

void Autoscaler::update_time_left(sched::ClusterSnapshot& snapshot) {
  const Ms now = sources_.runtime.now();
  for (sched::MachineView& machine : snapshot.machines) {
    for (sched::Victim& victim : machine.victims) {
      const TaskAttempt* attempt = actions_.find_attempt(victim.job, victim.task);
      if (attempt) victim.left_s = attempt->job->spec.estimate_s - run_s(*attempt, now);
    }
  }
}

void Autoscaler::consolidate(sched::ClusterSnapshot& snapshot) {
  update_time_left(snapshot);
  const double restart_s = sources_.settings.heartbeat_interval_s / 3;
  const std::size_t most = 1 + fleet_.machines().size() / kConsolidationShare;
  std::vector<TaskAttempt*> stops;
  for (const std::size_t index :
       sched::consolidation_candidates(snapshot, restart_s, kConsolidationGain, most)) {
    Machine* machine = fleet_.find(snapshot.machines[index].name);
    if (!machine || headroom_machines_.contains(machine->name)) continue;
    machine->draining = true;
    spdlog::debug("emptying {} of {} tasks", machine->name, machine->attempts.size());
    for (const auto& [task, attempt] : machine->attempts) {
      actions_.stop_to_checkpoint(*attempt, audit::StopReason::machine_leaving);
      stops.push_back(attempt);
    }
  }
  actions_.send_stops(stops);
}

}  // namespace seampass::leader
