// The drift between the steady clocks of two processes that every comparison of a duration measured
// here with one measured elsewhere has to allow for.
#pragma once

#include "net/runtime.h"

namespace seampass::leader {

// 0.05% for each of the two clocks: 0.1%, as a divisor.
inline constexpr net::Ms kDriftDivisor = 1000;

// What surely has passed on another steady clock while `duration` passed on ours.
[[nodiscard]] constexpr net::Ms less_drift(net::Ms duration) {
  return duration - duration / kDriftDivisor;
}

}  // namespace seampass::leader
