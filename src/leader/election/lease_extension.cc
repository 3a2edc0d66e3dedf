#include "leader/election/lease_extension.h"

#include <algorithm>
#include <utility>

#include "leader/election/clock_drift.h"

namespace seampass::leader {

void LeaseExtension::start_term() {
  confirmed_at_.reset();
  extended_ = false;
}

std::uint64_t LeaseExtension::start_round(net::Ms now) {
  asked_at_ = now;
  confirmed_by_.clear();
  return ++round_;
}

bool LeaseExtension::add_confirmation(const std::string& peer,
                                      const rpc::EpochConfirmation& confirmation,
                                      net::Ms since_grant) {
  if (confirmation.round != round_) return false;
  // While our lease surely held nobody else led. A peer that has been up ever since remembers
  // whether it led after that; one that started later may have led and forgotten, so that its
  // confirmation proves nothing. (Its uptime is compared with the arrival of its answer, since the
  // request may have been delayed on its way.)
  if (less_drift(confirmation.up_ms) < since_grant) return false;
  confirmed_by_.insert(peer);
  if (confirmed_by_.size() != peers_) return false;
  confirmed_at_ = asked_at_;
  return !std::exchange(extended_, true);
}

net::Ms LeaseExtension::ends_at(net::Ms granted_at) const {
  return std::max(granted_at, confirmed_at_.value_or(granted_at)) + duration_;
}

}  // namespace seampass::leader
