#include "leader/election/lease_extension.h"

#include <algorithm>
#include <utility>

#include "leader/election/clock_drift.h"

namespace seampass::leader {

void LeaseExtension::start_term() {
  confirmed_round_started_at_.reset();
  completed_since_renewal_ = false;
}

std::uint64_t LeaseExtension::start_round(net::Ms now) {
  round_started_at_ = now;
  confirmed_peers_.clear();
  return ++round_;
}

bool LeaseExtension::add_confirmation(const std::string& peer,
                                      const rpc::EpochConfirmation& confirmation,
                                      net::Ms since_grant) {
  if (confirmation.round != round_) return false;
  // No other node led while this leader's lease was certainly valid. A peer that has been running
  // since then still knows whether it has led. A peer that started later may have led before its
  // restart and lost that knowledge, so its confirmation proves nothing. The peer's uptime is
  // compared with the time at which its answer arrives, because the request may have been delayed
  // on its way.
  if (subtract_clock_drift(confirmation.up_ms) < since_grant) return false;
  confirmed_peers_.insert(peer);
  if (confirmed_peers_.size() != peers_) return false;
  confirmed_round_started_at_ = round_started_at_;
  return !std::exchange(completed_since_renewal_, true);
}

net::Ms LeaseExtension::ends_at(net::Ms granted_at) const {
  return std::max(granted_at, confirmed_round_started_at_.value_or(granted_at)) + duration_;
}

}  // namespace seampass::leader
