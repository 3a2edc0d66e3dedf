// The rate limit of a simulated service. Times are in milliseconds.
#pragma once

#include <algorithm>

#include "net/runtime.h"

namespace seampass::fakes {

// A token bucket that holds at most the tokens of one second.
class RateLimit {
 public:
  // Returns true if `amount` exceeds the tokens that are available. Otherwise takes `amount` from
  // the bucket and returns false. The bucket refills with `per_second` tokens per second; 0
  // means no limit.
  [[nodiscard]] bool exceeded(int per_second, double amount, net::Ms now) {
    if (per_second == 0) return false;
    const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
    refilled_at_ = now;
    tokens_ = std::min<double>(per_second, tokens_ + seconds * per_second);
    if (tokens_ < amount) return true;
    tokens_ -= amount;
    return false;
  }

 private:
  double tokens_ = 0;
  net::Ms refilled_at_ = 0;
};

}  // namespace seampass::fakes
