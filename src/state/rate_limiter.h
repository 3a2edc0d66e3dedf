// Client-side rate limits: a token bucket, and a rate that follows what a shared service takes.
// Plain values without timers: the caller says what time it is (net::Runtime::now, ms).
#pragma once

#include <algorithm>

#include "net/runtime.h"

namespace seampass::state {

inline constexpr double kMsPerSecond = 1000.0;

enum class ServiceAnswer { accepted, refused };

// Allows `per_second` tokens on average, with bursts of up to `burst` tokens.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst, net::Ms now)
      : per_second_(per_second), tokens_(burst), burst_(burst), refilled_(now) {}

  void refill(net::Ms now) {
    const double seconds = static_cast<double>(now - refilled_) / kMsPerSecond;
    refilled_ = now;
    tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
  }
  void set_rate(double per_second) { per_second_ = per_second; }
  [[nodiscard]] double rate() const { return per_second_; }
  // As of the last refill.
  [[nodiscard]] bool has(double tokens) const { return tokens_ >= tokens; }
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
  [[nodiscard]] double on_answer(ServiceAnswer answer, net::Ms now) {
    if (answer == ServiceAnswer::refused) {
      lower(now);
    } else {
      raise(now);
    }
    return rate_;
  }

 private:
  // From the least to the full rate.
  static constexpr double kRecoverySeconds = 10;
  // A pause between two answers counts as at most so long: nothing was learned meanwhile.
  static constexpr double kLongestIncreaseSeconds = 1.0;
  // The least rate, at which the client still finds out that the service is back.
  static constexpr double kLeastShare = 1.0 / 64;
  static constexpr double kDecrease = 0.5;
  // Refusals that come together count once.
  static constexpr net::Ms kBetweenDecreases = 500;

  void raise(net::Ms now) {
    const double seconds = static_cast<double>(now - raised_) / kMsPerSecond;
    raised_ = now;
    rate_ = std::min(most_,
                     rate_ + most_ * std::min(seconds, kLongestIncreaseSeconds) / kRecoverySeconds);
  }
  void lower(net::Ms now) {
    raised_ = now;
    if (now - lowered_ < kBetweenDecreases) return;
    lowered_ = now;
    rate_ = std::max(most_ * kLeastShare, rate_ * kDecrease);
  }

  double most_;
  double rate_;
  net::Ms raised_;
  net::Ms lowered_;
};

}  // namespace seampass::state
