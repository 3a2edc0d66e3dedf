#include "leader/scheduling/scheduling_loop.h"

#include <algorithm>

namespace seampass::leader {

using net::Ms;

SchedulingLoop::SchedulingLoop(net::Runtime& runtime, Election& election, Fleet& fleet,
                               const Sources& sources, TaskActions& actions)
    : runtime_(runtime),
      election_(election),
      fleet_(fleet),
      jobs_(sources.jobs),
      attempts_(sources.attempts),
      dependencies_(sources.dependencies),
      catalog_(sources.catalog),
      state_(sources.state),
      settings_(sources.settings),
      operator_settings_(sources.operator_settings),
      actions_(actions) {
  for (const config::ServiceLevelObjective& o : settings_.objectives) {
    objectives_by_class_[o.job_class].push_back(o);
    if (o.kind != "wait" || o.job_class.empty()) continue;
    Arrivals& a = arrivals_[o.job_class];
    a.within_s = a.within_s > 0 ? std::min(a.within_s, o.within_s) : o.within_s;
  }
}

void SchedulingLoop::start_term(Ms began) {
  began_ = waited_ = ticked_ = load_logged_ = began;
  isolated_ticks_ = 0;
  tick();
}

void SchedulingLoop::end_term() {
  term_.renew();
  recovered_ = pass_requested_ = false;
  headroom_machines_.clear();
  snapshot_ = {};
  free_slots_.clear();
  for (auto& [job_class, a] : arrivals_) a.recent.clear();
}

// Jobs recovered together came at their own times.
void SchedulingLoop::record_arrival(const JobRecord& job) {
  const auto aim = arrivals_.find(job.spec.job_class);
  if (aim == arrivals_.end()) return;
  const Ms age = std::max<Ms>(0, runtime_.wall() - job.ready_ms);
  aim->second.latest = job.spec;
  aim->second.recent.emplace_back(runtime_.now() - age, job.spec.tasks);
}

void SchedulingLoop::forget_machine(const Machine& machine) {
  if (machine.slot == Machine::kNoSlot) return;
  snapshot_.machines[machine.slot] = {};
  free_slots_.push_back(machine.slot);
}

}  // namespace seampass::leader
