#include "leader/scheduling/isolation_detector.h"

#include <cstddef>

namespace seampass::leader {

using net::Ms;

namespace {
// Reports of so large a share of the machines, and of at least so many, are overdue.
constexpr double kIsolatedShare = 0.9;
constexpr std::size_t kIsolatedLeast = 3;
}  // namespace

void IsolationDetector::start_term(Ms began) {
  last_check_at_ = began;
  isolated_checks_ = 0;
}

bool IsolationDetector::check() {
  const Ms now = runtime_.now();
  const bool in_time = now - last_check_at_ < net::ms(settings_.heartbeat_interval_s);
  last_check_at_ = now;
  isolated_checks_ = in_time && most_are_silent() ? isolated_checks_ + 1 : 0;
  return isolated_checks_ >= 2;
}

bool IsolationDetector::most_are_silent() const {
  std::size_t due = 0;
  std::size_t silent = 0;
  for (const auto& [name, machine] : fleet_.machines()) {
    // (Those that never heard this leader may all be dead, with copies of their reports on the
    // way: making way for that would go round for ever.)
    if (machine.deleting || !machine.registered) continue;
    ++due;
    silent += fleet_.is_overdue(machine) ? 1 : 0;
  }
  return due >= kIsolatedLeast &&
         static_cast<double>(silent) >= kIsolatedShare * static_cast<double>(due);
}

}  // namespace seampass::leader
