// Client-side rate limits: a token bucket, and a rate that follows what a shared service takes.
#pragma once

#include <algorithm>

#include "net/runtime.h"

namespace seampass::state {

// So many requests a second on average, with bursts of up to `burst` tokens.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst, net::Ms now)
      : per_second_(per_second), tokens_(burst), burst_(burst), refilled_(now) {}

  void refill(net::Ms now) {
    const double seconds = static_cast<double>(now - refilled_) / 1000.0;
    refilled_ = now;
    tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
  }
  void set_rate(double per_second) { per_second_ = per_second; }
  double rate() const { return per_second_; }
  bool has(double tokens) const { return tokens_ >= tokens; }
  // May go below zero: what comes next then waits for it.
  void take(double tokens) { tokens_ -= tokens; }

 private:
  double per_second_;
  double tokens_;
  double burst_;
  net::Ms refilled_;
};

// Additive increase, multiplicative decrease: the clients of a service with one limit for all of
// them share it without knowing of each other.
class AdaptiveRate {
 public:
  AdaptiveRate(double most, net::Ms now) : most_(most), rate_(most), raised_(now), lowered_(now) {}

  // The rate now, after an answer of the service.
  double on_answer(bool refused, net::Ms now) {
    if (refused) {
      lower(now);
    } else {
      raise(now);
    }
    return rate_;
  }

 private:
  // The full rate is regained within so long, from the least.
  static constexpr double kRecoverySeconds = 10;
  // The least, at which the client still finds out that the service is back.
  static constexpr double kLeastShare = 1.0 / 64;
  // Refusals that come together count once.
  static constexpr net::Ms kBetweenDecreases = 500;

  void raise(net::Ms now) {
    const double seconds = static_cast<double>(now - raised_) / 1000.0;
    raised_ = now;
    rate_ = std::min(most_, rate_ + most_ * std::min(seconds, 1.0) / kRecoverySeconds);
  }
  void lower(net::Ms now) {
    raised_ = now;
    if (now - lowered_ < kBetweenDecreases) return;
    lowered_ = now;
    rate_ = std::max(most_ * kLeastShare, rate_ / 2);
  }

  double most_;
  double rate_;
  net::Ms raised_;
  net::Ms lowered_;
};

}  // namespace seampass::state
