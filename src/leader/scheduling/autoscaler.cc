#include "leader/scheduling/autoscaler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

namespace seampass::leader {

using net::Ms;

namespace {

// Consolidation moves a task only if its remaining run time is more than this many times the time
// that stopping and restarting it takes.
constexpr double kConsolidationGain = 3;
// One round of consolidation drains at most one machine, plus one more for every
// kMachinesPerConsolidation machines in the fleet.
constexpr std::size_t kMachinesPerConsolidation = 50;

double run_s(const TaskAttempt& attempt, Ms now) {
  return static_cast<double>(now - attempt.running_since) / 1000;
}

}  // namespace

void Autoscaler::scale(sched::ClusterSnapshot& snapshot, Ms now) {
  if (now - last_scaled_at_ < net::ms(sources_.settings.heartbeat_interval_s / 3)) return;
  last_scaled_at_ = now;
  const Ms started_at = sources_.runtime.now();
  update_releases(snapshot);
  scale_out(snapshot);
  // Machines are drained only after no job has lacked a place for the longest boot time. Without
  // this delay, a cluster in which jobs occasionally have to wait would return a machine just
  // before the next job needs it.
  if (std::any_of(snapshot.jobs.begin(), snapshot.jobs.end(),
                  [](const sched::JobView& view) { return !view.pending.empty(); }))
    last_unplaced_at_ = started_at;
  if (started_at - last_unplaced_at_ > net::ms(longest_boot_s(sources_.catalog)))
    consolidate(snapshot);
}

// Records for every machine when its running tasks are expected to end and which resources they
// then free. The times come from the owners' run-time estimates, which are often wrong, so every
// task is assumed to run for at least another quarter of its estimate.
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
      releases.push_back(
          {std::max(spec.estimate_s - ran_s, spec.estimate_s / 4), sched::request_of(spec)});
    }
  }
}

void Autoscaler::scale_out(const sched::ClusterSnapshot& snapshot) {
  const auto options = fleet_.options();
  const sched::ScalingPlan plan =
      sched::plan_scaling(snapshot, options, headroom_.estimate(snapshot));
  headroom_machines_.clear();
  for (const std::size_t index : plan.headroom_machines)
    headroom_machines_.insert(snapshot.machines[index].name);
  for (const sched::ScaleOutRequest& request : plan.scale_out)
    fleet_.rent(options[request.option], request.count);
}

void Autoscaler::update_remaining_time(sched::ClusterSnapshot& snapshot) {
  const Ms now = sources_.runtime.now();
  for (sched::MachineView& machine : snapshot.machines) {
    for (sched::PreemptibleTask& victim : machine.preemptible_tasks) {
      const TaskAttempt* attempt = actions_.find_attempt(victim.job, victim.task);
      if (attempt) victim.remaining_s = attempt->job->spec.estimate_s - run_s(*attempt, now);
    }
  }
}

void Autoscaler::consolidate(sched::ClusterSnapshot& snapshot) {
  update_remaining_time(snapshot);
  const double restart_s = sources_.settings.heartbeat_interval_s / 3;
  const std::size_t max_machines = 1 + fleet_.machines().size() / kMachinesPerConsolidation;
  std::vector<TaskAttempt*> stops;
  for (const std::size_t index :
       sched::consolidation_candidates(snapshot, restart_s, kConsolidationGain, max_machines)) {
    Machine* machine = fleet_.find(snapshot.machines[index].name);
    if (!machine || headroom_machines_.contains(machine->name)) continue;
    machine->draining = true;
    spdlog::debug("draining {}, which runs {} tasks, for consolidation", machine->name,
                  machine->attempts.size());
    for (const auto& [task, attempt] : machine->attempts) {
      actions_.stop_to_checkpoint(*attempt, audit::StopReason::machine_leaving);
      stops.push_back(attempt);
    }
  }
  actions_.send_stops(stops);
}

}  // namespace seampass::leader
