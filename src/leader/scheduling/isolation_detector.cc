#include "leader/scheduling/isolation_detector.h"

#include <cstddef>

namespace seampass::leader {

using net::Ms;

namespace {
// This leader counts as isolated if the heartbeats of at least this share of its machines, and of
// at least this many machines, are overdue.
constexpr double kMinOverdueShare = 0.9;
constexpr std::size_t kMinOverdueMachines = 3;
}  // namespace

void IsolationDetector::start_term(Ms started_at) {
  last_check_at_ = started_at;
  isolated_checks_ = 0;
}

bool IsolationDetector::check() {
  const Ms now = runtime_.now();
  const bool in_time = now - last_check_at_ < net::ms(settings_.heartbeat_interval_s);
  last_check_at_ = now;
  isolated_checks_ = in_time && most_are_overdue() ? isolated_checks_ + 1 : 0;
  return isolated_checks_ >= 2;
}

bool IsolationDetector::most_are_overdue() const {
  std::size_t monitored = 0;
  std::size_t overdue = 0;
  for (const auto& [name, machine] : fleet_.machines()) {
    // Machines that have not registered with this leader are not counted. They may all be dead
    // while late copies of their heartbeats still arrive; if the leader resigned because of them,
    // every next leader would have to resign for the same reason, without end.
    if (machine.deleting || !machine.registered) continue;
    ++monitored;
    overdue += fleet_.is_overdue(machine) ? 1 : 0;
  }
  return monitored >= kMinOverdueMachines &&
         static_cast<double>(overdue) >= kMinOverdueShare * static_cast<double>(monitored);
}

}  // namespace seampass::leader
