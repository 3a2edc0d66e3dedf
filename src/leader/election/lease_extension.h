// For how long a leader whose lease can't be renewed may go on answering heartbeats.
//
// Without an extension, an outage of the state service would end every worker's lease soon after
// the leader's own. So a leader whose renewal fails starts a round: it asks all other controllers
// which epochs they know of. If every one of them confirms in that round that nobody has taken
// over, the time of asking counts like a renewal for the answers to heartbeats (and for nothing
// else: no task is started without a lease). See "The lease extension, confirmed by the peers" in
// docs/safety.md.
//
// Owns the rounds and their confirmations; called by Election alone. Times are of the runtime's
// steady clock, in milliseconds.
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
  // `peers`: how many other controllers have to confirm. `duration`: from the last renewal, or the
  // asking of a confirmed round, to the end of the extension.
  LeaseExtension(std::size_t peers, net::Ms duration) : peers_(peers), duration_(duration) {}

  // What was confirmed in an earlier term of leadership no longer counts.
  void start_term();
  // The lease is good again: the next extension is a new one.
  void on_lease_renewed() { extended_ = false; }
  // Forgets the confirmations of the last round, and returns the number of the one that begins.
  // Numbers rise for as long as the process runs, over all terms.
  [[nodiscard]] std::uint64_t start_round(net::Ms now);
  // Counts a peer's answer, which knows of no epoch higher than ours. `since_grant`: time since the
  // lease's last good renewal was sent. True if this completes a round, and no round was completed
  // since the last renewal.
  [[nodiscard]] bool add_confirmation(const std::string& peer,
                                      const rpc::EpochConfirmation& confirmation,
                                      net::Ms since_grant);
  // Until when heartbeats may be answered.
  [[nodiscard]] net::Ms ends_at(net::Ms granted_at) const;

 private:
  std::size_t peers_;
  net::Ms duration_;

  std::uint64_t round_ = 0;
  net::Ms asked_at_ = 0;                // when this round began
  std::set<std::string> confirmed_by_;  // in this round
  // When the last round that all peers confirmed began: nobody had taken over by then.
  std::optional<net::Ms> confirmed_at_;
  bool extended_ = false;  // a round was completed since the last renewal
};

}  // namespace seampass::leader
