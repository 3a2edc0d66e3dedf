// Client-side rate limits: TokenBucket enforces a rate, and AdaptiveRate adjusts a rate to the load
// that a shared service accepts. Both are plain values without timers: the caller passes the
// current time (net::Runtime::now, in ms). Rates are per second. RequestQueue is the only caller.
#pragma once

#include <algorithm>

#include "net/runtime.h"

namespace seampass::state {

inline constexpr double kMsPerSecond = 1000.0;

// Whether the service accepted a request, or refused it because it is overloaded.
enum class ServiceAnswer { accepted, refused };

// Grants `per_second` tokens per second on average, and up to `burst` tokens at once.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst, net::Ms now)
      : per_second_(per_second), tokens_(burst), burst_(burst), last_refill_at_(now) {}

  void refill(net::Ms now) {
    const double seconds = static_cast<double>(now - last_refill_at_) / kMsPerSecond;
    last_refill_at_ = now;
    tokens_ = std::min(burst_, tokens_ + seconds * per_second_);
  }
  void set_rate(double per_second) { per_second_ = per_second; }
  [[nodiscard]] double rate() const { return per_second_; }
  // Returns true if the bucket held this many tokens after the last refill, less those taken since.
  [[nodiscard]] bool has(double tokens) const { return tokens_ >= tokens; }
  // May make the number of tokens negative; later requests then wait until it has been refilled.
  void take(double tokens) { tokens_ -= tokens; }

 private:
  double per_second_;
  double tokens_;
  double burst_;
  net::Ms last_refill_at_;
};

// Additive increase, multiplicative decrease (AIMD). Clients that share one limit of a service
// thereby divide that limit among themselves without communicating with each other.
class AdaptiveRate {
 public:
  AdaptiveRate(double max_rate, net::Ms now)
      : max_rate_(max_rate), rate_(max_rate), last_answer_at_(now), last_decrease_at_(now) {}

  // Adjusts the rate to an answer of the service, and returns the new rate.
  [[nodiscard]] double on_answer(ServiceAnswer answer, net::Ms now) {
    if (answer == ServiceAnswer::refused) {
      decrease(now);
    } else {
      increase(now);
    }
    return rate_;
  }

 private:
  // Time in which the rate rises from its minimum to its maximum while the service accepts
  // requests.
  static constexpr double kRecoverySeconds = 10;
  // An interval between two answers counts as at most this long, because the client learns
  // nothing about the service's load during a pause.
  static constexpr double kMaxIncreaseSeconds = 1.0;
  // The minimum rate, as a share of the maximum. At this rate the client still finds out when the
  // service accepts requests again.
  static constexpr double kMinShare = 1.0 / 64;
  static constexpr double kDecreaseFactor = 0.5;
  // Minimum time in ms between two decreases, so that refusals that arrive together count as one.
  static constexpr net::Ms kMinDecreaseInterval = 500;

  void increase(net::Ms now) {
    const double seconds = static_cast<double>(now - last_answer_at_) / kMsPerSecond;
    last_answer_at_ = now;
    rate_ = std::min(max_rate_,
                     rate_ + max_rate_ * std::min(seconds, kMaxIncreaseSeconds) / kRecoverySeconds);
  }
  void decrease(net::Ms now) {
    last_answer_at_ = now;
    if (now - last_decrease_at_ < kMinDecreaseInterval) return;
    last_decrease_at_ = now;
    rate_ = std::max(max_rate_ * kMinShare, rate_ * kDecreaseFactor);
  }

  double max_rate_;
  double rate_;
  net::Ms last_answer_at_;
  net::Ms last_decrease_at_;
};

}  // namespace seampass::state
