// Computes how long a leader that can't renew its lease may continue to answer heartbeats.
//
// Without an extension, an outage of the state service would let every worker's lease expire soon
// after the leader's own lease. Therefore a leader whose renewal fails starts a confirmation round:
// it asks all other controllers for the highest epoch that they know of. If every one of them
// confirms in that round that no other node has become leader, the start of the round counts as a
// renewal. It counts only for answering heartbeats: without a valid lease, no task is started. See
// "The lease extension, confirmed by the peers" in docs/safety.md.
//
// LeaseExtension owns the rounds and their confirmations. Only Election calls it. Times are in
// milliseconds of the runtime's steady clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "net/runtime.h"
#include "rpc/peer.h"

namespace seampass::leader {

class LeaseExtension {
 public:
  // `peers`: the number of other controllers, all of which must confirm. `duration`: the time from
  // the last successful renewal, or from the start of the last confirmed round if that is later, to
  // the end of the extension.
  LeaseExtension(std::size_t peers, net::Ms duration) : peers_(peers), duration_(duration) {}

  // Starts a term of leadership: rounds that were confirmed in an earlier term no longer count.
  void start_term();
  // Handles a successful renewal of the lease: the next completed round is reported again.
  void on_lease_renewed() { completed_since_renewal_ = false; }
  // Discards the confirmations of the previous round, starts a new round and returns its number.
  // Round numbers increase for the lifetime of the process, across all terms.
  [[nodiscard]] std::uint64_t start_round(net::Ms now);
  // Counts a peer's confirmation. The caller has checked that it shows no epoch higher than this
  // leader's. `since_grant`: the time since the last successful renewal of the lease was sent.
  // Returns true if the confirmation completes a round and no other round has been completed since
  // the last successful renewal.
  [[nodiscard]] bool add_confirmation(const std::string& peer,
                                      const rpc::EpochConfirmation& confirmation,
                                      net::Ms since_grant);
  // Returns the time until which the leader may answer heartbeats. `granted_at`: when the last
  // successful renewal of the lease was sent.
  [[nodiscard]] net::Ms ends_at(net::Ms granted_at) const;

 private:
  std::size_t peers_;
  net::Ms duration_;

  std::uint64_t round_ = 0;
  net::Ms round_started_at_ = 0;           // when the current round started
  std::set<std::string> confirmed_peers_;  // peers that have confirmed the current round
  // When the last round that all peers confirmed started. No other node had become leader by then.
  std::optional<net::Ms> confirmed_round_started_at_;
  // Whether a round was completed since the last successful renewal.
  bool completed_since_renewal_ = false;
};

}  // namespace seampass::leader
