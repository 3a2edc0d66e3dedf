// Bound on the drift between the steady clocks of two processes. Every comparison of a duration
// measured by this process with a duration measured by another process must allow for this drift.
//
// Pure functions, called by the election code. Durations are in milliseconds.
#pragma once

#include "net/runtime.h"

namespace seampass::leader {

// Each of the two clocks may drift by 0.05%, which makes 0.1% in total. The constant is the divisor
// that yields 0.1% of a duration.
inline constexpr net::Ms kClockDriftDivisor = 1000;

// Returns the shortest time that can have passed on another process's steady clock while `duration`
// passed on this process's clock.
[[nodiscard]] constexpr net::Ms subtract_clock_drift(net::Ms duration) {
  return duration - duration / kClockDriftDivisor;
}

}  // namespace seampass::leader
