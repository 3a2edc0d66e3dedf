// The rate limit of a simulated service.
#pragma once

#include <algorithm>

#include "net/runtime.h"

namespace seampass::fakes {

// A token bucket that holds a second's worth.
class RateLimit {
 public:
  // Takes `amount` if it is within `per_second`, of which 0 means no limit.
  [[nodiscard]] bool exceeded(int per_second, double amount, net::Ms now) {
    if (per_second == 0) return false;
    const double seconds = static_cast<double>(now - counted_at_) / 1000.0;
    counted_at_ = now;
    tokens_ = std::min<double>(per_second, tokens_ + seconds * per_second);
    if (tokens_ < amount) return true;
    tokens_ -= amount;
    return false;
  }

 private:
  double tokens_ = 0;
  net::Ms counted_at_ = 0;
};

}  // namespace seampass::fakes
