#include "leader/scheduling/leader_upkeep.h"

#include <map>
#include <vector>

namespace seampass::leader {

using net::Ms;

void LeaderUpkeep::release_expired() {
  const Ms lease = net::ms(sources_.settings.lease_s);
  // The margin covers twice the maximum clock drift of 0.05% in either direction, plus 50 ms.
  const Ms margin = lease / 500 + 50;
  const ExpiryTimes times{lease + margin, net::ms(sources_.settings.cancel_s) + margin};
  std::vector<Machine*> expired;
  for (auto& [name, machine] : fleet_.machines()) {
    if (machine.attempts.empty()) continue;
    const bool confirmed =
        machine.last_heartbeat_at >= 0 && machine.shown_epoch >= election_.epoch();
    if (sources_.attempts.lease_expired(machine, term_started_at_, confirmed, times))
      expired.push_back(&machine);
  }
  for (Machine* machine : expired)
    actions_.release_machine(*machine, audit::AbsenceProof::lease_expired);
}

LeaderUpkeep::Reservations LeaderUpkeep::expire_reservations() {
  const Ms now = sources_.runtime.now();
  const Ms timeout = net::ms(sources_.operator_settings.hold_timeout_s);
  Reservations result;
  for (const auto& [id, job] : sources_.jobs) {
    if (!job->reservations.empty() && !job->all_or_nothing &&
        now - job->reservations_since > timeout) {
      job->reservations.clear();
      job->all_or_nothing = true;
      result.any_expired = true;
    }
    for (const auto& [task, machine] : job->reservations) result.machines.insert(machine);
  }
  return result;
}

// Returns true if the attempt has to be stopped now: a later stop would not leave the task enough
// time to save its progress before the cloud takes the machine.
bool LeaderUpkeep::must_stop_now(const TaskAttempt& attempt, Ms preemption_at) const {
  const wire::Job& spec = attempt.job->spec;
  if (attempt.stop_requested || !attempt.start_sent || spec.checkpoint_s <= 0) return false;
  const double margin =
      spec.save_s + sources_.settings.gang_peer_s + sources_.settings.heartbeat_interval_s;
  return sources_.runtime.now() + net::ms(margin) >= preemption_at;
}

void LeaderUpkeep::drain_preempted() {
  std::vector<TaskAttempt*> singles;
  std::map<std::string, JobRecord*> gangs;
  for (auto& [name, machine] : fleet_.machines()) {
    if (!machine.preemption_at) continue;
    for (const auto& [task, attempt] : machine.attempts) {
      if (!must_stop_now(*attempt, *machine.preemption_at)) continue;
      if (attempt->job->gang()) {
        gangs.emplace(attempt->job->spec.id, attempt->job);
      } else {
        actions_.stop_to_checkpoint(*attempt, audit::StopReason::machine_leaving);
        singles.push_back(attempt);
      }
    }
  }
  actions_.send_stops(singles);
  for (const auto& [id, job] : gangs)
    actions_.stop_all(*job, job->spec.save_s + sources_.settings.gang_peer_s,
                      audit::StopReason::machine_leaving);
}

}  // namespace seampass::leader
