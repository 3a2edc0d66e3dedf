#include "leader/election/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/election/clock_drift.h"
#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;

namespace {

// How many renewals are sent during one time to live of the lease.
constexpr net::Ms kRenewalsPerTtl = 4;
// How many times a refused or unanswered request is retried during one time to live of the lease.
constexpr net::Ms kRetriesPerTtl = 8;
// A renewal request times out after the lease's time to live divided by this number. The timeout is
// longer than for other requests, because the answer is useful for as long as the lease that it
// grants is valid.
constexpr net::Ms kRenewalTimeoutDivisor = 2;
// How long one watch request for the leader's record waits for a change, in times to live of the
// lease.
constexpr net::Ms kWatchTtls = 4;

// Returns the node that the leader's record names, or an empty string if the record can't be
// parsed. In that case no node is known to lead, and no node campaigns until the record's lease has
// expired.
std::string parse_leader(const wire::Json& record) {
  try {
    return wire::text_field(record, "node");
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}: {}", kLeaderKey, error.what());
    return {};
  }
}

}  // namespace

Election::Election(net::Runtime& runtime, state::Client& state, std::string node, std::size_t peers,
                   ElectionTimes times, ElectionCallbacks callbacks)
    : runtime_(runtime),
      state_(state),
      node_(std::move(node)),
      times_(times),
      callbacks_(std::move(callbacks)),
      extension_(peers, times.lease_extension) {}

void Election::start() {
  started_at_ = runtime_.now();
  read_leader_record();
}

bool Election::lease_valid() const {
  return leading_ && runtime_.now() < granted_at_ + subtract_clock_drift(times_.ttl);
}

bool Election::may_answer_heartbeats() const {
  return leading_ && (lease_valid() || runtime_.now() < extension_.ends_at(granted_at_));
}

void Election::retry_later(void (Election::*action)()) {
  runtime_.after(times_.ttl / kRetriesPerTtl,
                 callback_scope_.wrap([this, action] { (this->*action)(); }));
}

void Election::raise_highest_known_epoch(std::uint64_t epoch) {
  highest_known_epoch_ = std::max(highest_known_epoch_, epoch);
}

void Election::read_leader_record() {
  callback_scope_.renew();
  state_.get(kLeaderKey, callback_scope_.wrap([this](const state::GetResult& result) {
    on_leader_record_read(result);
  }),
             state::Urgency::lease);
}

void Election::on_leader_record_read(const state::GetResult& result) {
  if (result.outcome == Outcome::missing) {
    leader_.clear();
    return campaign();
  }
  if (result.outcome != Outcome::ok) return retry_later(&Election::read_leader_record);
  const std::string recorded_leader = parse_leader(result.item.value);
  if (recorded_leader == node_) return revoke_former_lease(result.item);
  leader_ = recorded_leader;
  watched_revision_ = result.item.version;
  raise_highest_known_epoch(result.item.version);
  watch_leader_record();
}

// Called when the record names this node as leader although this node does not lead. Either an
// earlier process of this node created the record, or a candidacy of this node did and the answer
// was lost. Revoking the lease deletes the key; then writes of that term that are still in transit
// fail their compare-and-swap.
void Election::revoke_former_lease(const state::Item& record) {
  if (record.lease == 0) return retry_later(&Election::read_leader_record);
  state_.revoke_lease(record.lease, callback_scope_.wrap([this](Outcome) {
    retry_later(&Election::read_leader_record);
  }));
}

void Election::watch_leader_record() {
  state_.watch(kLeaderKey, watched_revision_, kWatchTtls * times_.ttl,
               callback_scope_.wrap(
                   [this](const state::WatchResult& result) { on_leader_record_changed(result); }));
}

void Election::on_leader_record_changed(const state::WatchResult& result) {
  if (result.outcome == Outcome::missing) return read_leader_record();
  if (result.outcome != Outcome::ok) return retry_later(&Election::watch_leader_record);
  bool record_deleted = false;
  for (const state::Event& event : result.events) {
    if (event.key != kLeaderKey) continue;
    record_deleted = !event.value;
    if (event.value) raise_highest_known_epoch(event.version);
    leader_ = event.value ? parse_leader(*event.value) : "";
  }
  watched_revision_ = result.revision;
  if (record_deleted) return campaign();
  if (leader_ == node_) return read_leader_record();
  watch_leader_record();
}

void Election::campaign() {
  if (should_defer_candidacy()) return retry_later(&Election::read_leader_record);
  callback_scope_.renew();
  granted_at_ = runtime_.now();
  state_.grant_lease(times_.ttl, callback_scope_.wrap([this](const state::LeaseResult& result) {
    if (result.outcome != Outcome::ok) return retry_later(&Election::read_leader_record);
    lease_ = result.lease;
    create_leader_record();
  }));
}

bool Election::should_defer_candidacy() {
  const net::Ms now = runtime_.now();
  // A node that has just resigned gives the other nodes time to campaign.
  if (resigned_at_ && now - *resigned_at_ < times_.ttl) return true;
  // A node that has not received a worker's heartbeat recently also defers, once before each
  // candidacy. While there is no leader, workers send heartbeats to every node that they can reach.
  // A node without heartbeats is probably unreachable for the workers and would be a useless
  // leader.
  const bool reached_by_workers = last_heartbeat_at_ && now - *last_heartbeat_at_ < times_.ttl;
  deferred_for_workers_ = !deferred_for_workers_ && !reached_by_workers;
  return deferred_for_workers_;
}

void Election::create_leader_record() {
  state::Txn txn;
  txn.conditions.push_back({kLeaderKey, 0});
  txn.changes.push_back({kLeaderKey, wire::Json{{"node", node_}}, lease_});
  state_.txn(std::move(txn), state::Urgency::lease,
             callback_scope_.wrap(
                 [this](const state::TxnResult& result) { on_leader_record_created(result); }));
}

void Election::on_leader_record_created(const state::TxnResult& result) {
  if (result.outcome == Outcome::ok) return become_leader(result.revision);
  // Another node was first, or the outcome is unknown. The lease is revoked in both cases, so that
  // a late copy of the transaction either fails or creates a key that is deleted with the lease.
  state_.revoke_lease(lease_, [](Outcome) {});
  if (result.outcome == Outcome::conflict) return read_leader_record();
  retry_later(&Election::read_leader_record);
}

void Election::become_leader(state::Version epoch) {
  leading_ = true;
  epoch_ = epoch;
  leader_ = node_;
  callback_scope_.renew();
  runtime_.after(times_.ttl / kRenewalsPerTtl, callback_scope_.wrap([this] { renew_lease(); }));
  highest_known_epoch_ = epoch;
  renewal_failed_ = false;
  extension_.start_term();
  callbacks_.on_elected();
  callbacks_.announce(0);
}

// Sends a renewal and schedules the next one without waiting for the answer. An overloaded process
// handles answers late, and the lease must not expire because no renewal was sent in the meantime.
// A successful renewal extends the lease from the time at which it was sent, however late its
// answer arrives.
void Election::renew_lease() {
  const net::Ms sent_at = runtime_.now();
  state_.renew_lease(lease_, times_.ttl / kRenewalTimeoutDivisor,
                     callback_scope_.wrap([this, sent_at](Outcome outcome) {
                       on_renewal_answered(outcome, sent_at);
                     }));
  runtime_.after(times_.ttl / (renewal_failed_ ? kRetriesPerTtl : kRenewalsPerTtl),
                 callback_scope_.wrap([this] { renew_lease(); }));
}

void Election::on_renewal_answered(Outcome outcome, net::Ms sent_at) {
  if (outcome == Outcome::missing) return step_down(audit::StepDownReason::lease_ended);
  if (outcome == Outcome::ok) {
    granted_at_ = std::max(granted_at_, sent_at);
    renewal_failed_ = false;
    extension_.on_lease_renewed();
    return callbacks_.announce(0);
  }
  if (!std::exchange(renewal_failed_, true)) audit::renewal_failed(epoch_, since_grant());
  // The state service may be down for all nodes. Only another leader could have answered a
  // cancellation that this leader does not know of. Therefore, if every peer confirms in this round
  // that no other node has become leader, the lease extension counts from now.
  callbacks_.announce(extension_.start_round(runtime_.now()));
}

void Election::on_confirmation(const std::string& node,
                               const rpc::EpochConfirmation& confirmation) {
  if (!leading_) return;
  if (confirmation.epoch > epoch_) return step_down(audit::StepDownReason::peer_shows_higher_epoch);
  // A peer that answers a round of this term knows at least this term's epoch. A lower epoch
  // therefore shows a late copy of an answer from an earlier term, whose round may have had the
  // same number.
  if (confirmation.epoch < epoch_) return;
  if (extension_.add_confirmation(node, confirmation, since_grant()))
    audit::extended_by_peers(epoch_, since_grant());
}

// Makes a leader step down as soon as a peer announces a higher epoch. Otherwise a leader that the
// state service has stopped answering would continue to renew workers' leases until its lease
// extension ends, while the next leader has to wait for those leases to expire.
void Election::on_leader_announced(const std::string& node, std::uint64_t epoch) {
  if (epoch <= highest_known_epoch_) return;
  highest_known_epoch_ = epoch;
  if (leading_) step_down(audit::StepDownReason::peer_shows_higher_epoch);
  leader_ = node;
}

bool Election::resign() {
  const net::Ms now = runtime_.now();
  if (!leading_ || (resigned_at_ && now - *resigned_at_ < times_.between_resignations))
    return false;
  resigned_at_ = now;
  state_.revoke_lease(lease_, [](Outcome) {});
  step_down(audit::StepDownReason::resigned);
  return true;
}

void Election::step_down(audit::StepDownReason reason) {
  if (!leading_) return;
  audit::stepped_down(epoch_, reason, since_grant());
  leading_ = false;
  leader_.clear();
  callbacks_.on_step_down();
  read_leader_record();
}

}  // namespace seampass::leader
