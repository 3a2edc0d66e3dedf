// Which controller leads: candidacy, the leader's lease and its epoch.
//
// The state service's key `leader` is created only when absent, under a lease. The version of its
// creation is the leader's epoch, the fencing token: unique and rising. A controller that does not
// lead watches the key and campaigns once it is gone; one that leads renews the lease until it
// steps down, then reads the key and watches again.
//
// An actor: called by the leader's Controller, by the handler of heartbeats and peer messages, and
// by its own timers and answers. Times are in milliseconds of the runtime's steady clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "leader/audit_log.h"
#include "leader/election/lease_extension.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"

namespace seampass::leader {

struct ElectionTimes {
  // The lease's time to live.
  net::Ms ttl = 0;
  // For how long after the last good renewal was sent heartbeats may still be answered without a
  // lease: shorter than cancel_s - lease_s, so that a cancellation answered under the next leader
  // holds whatever a worker without a connection to it does (see docs/safety.md).
  net::Ms lease_extension = 0;
  // From one resignation of this node to its next.
  net::Ms between_resignations = 0;
};

// What the election tells its owner.
struct ElectionCallbacks {
  // This node leads from now on, and has stopped leading.
  std::function<void()> on_elected;
  std::function<void()> on_step_down;
  // To announce this node's leadership to all peers. A round other than 0 asks them to confirm it.
  std::function<void(std::uint64_t round)> announce;
};

class Election {
 public:
  // `node`: this controller's name. `peers`: how many other controllers there are.
  Election(net::Runtime& runtime, state::Client& state, std::string node, std::size_t peers,
           ElectionTimes times, ElectionCallbacks callbacks);

  void start();

  [[nodiscard]] bool leading() const { return leading_; }
  // The lease surely holds: counted from before the renewal was sent, less clock drift.
  [[nodiscard]] bool holds() const;
  // Heartbeats may be answered with 200 (without starts unless the lease holds).
  [[nodiscard]] bool may_answer() const;
  // This leader's fencing token; of the last term if it does not lead.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  // Time since the last good renewal was sent.
  [[nodiscard]] net::Ms since_grant() const { return runtime_.now() - granted_at_; }
  // The leading node as far as known; empty if none is.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // The highest epoch that any node is known to have led with.
  [[nodiscard]] std::uint64_t highest_known_epoch() const { return highest_known_epoch_; }
  // Time since this node started.
  [[nodiscard]] net::Ms up() const { return runtime_.now() - started_at_; }

  // Gives leadership up because no worker reaches this leader. False, and nothing done, if this
  // node resigned less than `between_resignations` ago: perhaps workers reach no node at all.
  bool resign();
  // A worker's heartbeat has arrived at this node, whether it leads or not.
  void on_worker_heard() { last_heartbeat_at_ = runtime_.now(); }
  // There is proof that another node has taken over, or may have.
  void step_down(audit::StepDownReason why);
  // A peer's answer to an announcement with a round.
  void on_confirmation(const std::string& node, const rpc::EpochConfirmation& confirmation);
  // A peer announces that it leads with this epoch.
  void on_leader_announced(const std::string& node, std::uint64_t epoch);

 private:
  // Following: the record of the leader is read, then watched until it is gone.
  void read_leader_record();
  void on_leader_record_read(const state::GetResult& result);
  void revoke_former_lease(const state::Item& record);
  void watch_leader_record();
  void on_leader_record_changed(const state::WatchResult& result);
  // Candidacy: a lease, then the record under it.
  void campaign();
  [[nodiscard]] bool should_defer_candidacy();
  void create_leader_record();
  void on_leader_record_created(const state::TxnResult& result);
  // Leading.
  void become_leader(state::Version epoch);
  void renew_lease();
  void on_renewal_answered(state::Outcome outcome, net::Ms sent_at);

  // Calls `action` after the time between two attempts at the same thing.
  void call_later(void (Election::*action)());
  void note_epoch(std::uint64_t epoch);

  net::Runtime& runtime_;
  state::Client& state_;
  std::string node_;
  ElectionTimes times_;
  ElectionCallbacks callbacks_;

  bool leading_ = false;
  std::string leader_;
  std::uint64_t epoch_ = 0;
  std::uint64_t highest_known_epoch_ = 0;
  std::uint64_t lease_ = 0;
  net::Ms granted_at_ = 0;  // when the last good renewal (or the request for the lease) was sent
  LeaseExtension extension_;
  bool renewal_failed_ = false;  // since the last good renewal

  net::Ms started_at_ = 0;
  state::Version watched_revision_ = 0;
  std::optional<net::Ms> resigned_at_;
  std::optional<net::Ms> last_heartbeat_at_;
  bool deferred_for_workers_ = false;  // at the last chance to campaign

  // Renewed whenever the record is read anew, a candidacy begins and this node is elected: answers
  // and timers of the time before are dropped.
  net::CallbackScope scope_;
};

}  // namespace seampass::leader
