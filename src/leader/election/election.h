// Elects the leading controller: candidacy, the leader's lease and its epoch.
//
// A candidate creates the key `leader` in the state service, only if the key is absent, and
// attaches it to a lease. The version at which the key is created is the leader's epoch (fencing
// token): epochs are unique and increase. A controller that does not lead watches the key and
// campaigns once the key is deleted. The leader renews its lease until it steps down; then it reads
// and watches the key again.
//
// Election owns this node's role, its lease and its epoch. It is called on the loop's thread only:
// by the node that owns it, by LeaderTerm and its parts, by the handlers of API requests and peer
// messages, and by its own timers and request callbacks. Times are in milliseconds of the runtime's
// steady clock. No call reports an error: Election handles failed requests to the state service
// itself.
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
  // How long after sending the last successful renewal a leader without a valid lease may still
  // answer heartbeats. It must be shorter than cancel_s - lease_s. Otherwise a worker that can't
  // reach the next leader could still run a task of a job after the next leader has answered that
  // the job is cancelled (docs/safety.md, "The lease extension and its bound").
  net::Ms lease_extension = 0;
  // The minimum time between two resignations of this node.
  net::Ms between_resignations = 0;
};

// Callbacks by which the election notifies its owner.
struct ElectionCallbacks {
  // on_elected: this node has become leader. on_step_down: this node has stopped leading.
  std::function<void()> on_elected;
  std::function<void()> on_step_down;
  // Announces to all peers that this node leads. A `round` other than 0 also asks each peer to
  // confirm that it knows of no higher epoch.
  std::function<void(std::uint64_t round)> announce;
};

class Election {
 public:
  // `node`: the name of this controller. `peers`: the number of other controllers.
  Election(net::Runtime& runtime, state::Client& state, std::string node, std::size_t peers,
           ElectionTimes times, ElectionCallbacks callbacks);

  void start();

  // Whether this node leads, as far as it knows. Its lease may have expired.
  [[nodiscard]] bool leading() const { return leading_; }
  // Whether the lease is certainly still valid. Its time to live is counted from when the last
  // successful renewal was sent, and is shortened by the possible clock drift.
  [[nodiscard]] bool lease_valid() const;
  // Whether heartbeats may be answered with status 200. The answer may start tasks only while
  // lease_valid() is true.
  [[nodiscard]] bool may_answer_heartbeats() const;
  // The epoch (fencing token) of this node's current term, or of its last term if it does not lead.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }
  // The time since the last successful renewal of the lease was sent.
  [[nodiscard]] net::Ms since_grant() const { return runtime_.now() - granted_at_; }
  // The name of the leading node as far as this node knows; empty if it knows of no leader.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // The highest epoch with which any node is known to have led.
  [[nodiscard]] std::uint64_t highest_known_epoch() const { return highest_known_epoch_; }
  // The uptime of this node.
  [[nodiscard]] net::Ms uptime() const { return runtime_.now() - started_at_; }

  // Gives up leadership because no worker reaches this leader. Returns false and does nothing if
  // this node does not lead, or if it last resigned less than `between_resignations` ago: workers
  // may be unable to reach any node, and then resigning again would not help.
  bool resign();
  // Records that a worker's heartbeat has arrived at this node, whether this node leads or not.
  void on_heartbeat_received() { last_heartbeat_at_ = runtime_.now(); }
  // Stops leading, because another node has become leader or may have. Does nothing if this node
  // does not lead.
  void step_down(audit::StepDownReason reason);
  // Handles a peer's answer to an announcement that asked for confirmation.
  void on_confirmation(const std::string& node, const rpc::EpochConfirmation& confirmation);
  // Handles a peer's announcement that it leads with this epoch.
  void on_leader_announced(const std::string& node, std::uint64_t epoch);

 private:
  // While this node does not lead: reads the leader's record, then watches it until it is deleted.
  void read_leader_record();
  void on_leader_record_read(const state::GetResult& result);
  void revoke_former_lease(const state::Item& record);
  void watch_leader_record();
  void on_leader_record_changed(const state::WatchResult& result);
  // Candidacy: obtains a lease, then creates the leader's record attached to that lease.
  void campaign();
  [[nodiscard]] bool should_defer_candidacy();
  void create_leader_record();
  void on_leader_record_created(const state::TxnResult& result);
  // Leadership: starts a term, then renews the lease until this node steps down.
  void become_leader(state::Version epoch);
  void renew_lease();
  void on_renewal_answered(state::Outcome outcome, net::Ms sent_at);

  // Calls `action` after the delay between two tries of the same request.
  void retry_later(void (Election::*action)());
  // Raises the highest known epoch to `epoch` if `epoch` is higher.
  void raise_highest_known_epoch(std::uint64_t epoch);

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
  net::Ms granted_at_ = 0;  // when the last successful renewal, or the lease request, was sent
  LeaseExtension extension_;
  bool renewal_failed_ = false;  // whether a renewal has failed since the last successful one

  net::Ms started_at_ = 0;
  state::Version watched_revision_ = 0;
  std::optional<net::Ms> resigned_at_;
  std::optional<net::Ms> last_heartbeat_at_;
  bool deferred_for_workers_ = false;  // whether the last opportunity to campaign was deferred

  // Renewed whenever this node reads the leader's record again, starts a candidacy or is elected.
  // Request callbacks and timers from before the renewal are then dropped.
  net::CallbackScope callback_scope_;
};

}  // namespace seampass::leader
