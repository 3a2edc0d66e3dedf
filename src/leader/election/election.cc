#include "leader/election/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/election/clock_drift.h"
#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;

namespace {

// How often a lease is renewed in its time to live.
constexpr net::Ms kRenewalsPerTtl = 4;
// How often anything that was refused or not answered is tried again in that time.
constexpr net::Ms kRetriesPerTtl = 8;
// A renewal is waited for during this part of the time to live: longer than other requests, since
// an answer is of use for as long as the lease that it grants.
constexpr net::Ms kRenewalTimeoutDivisor = 2;
// For how many times to live a watch of the leader's record waits for a change.
constexpr net::Ms kWatchTtls = 4;

// The node that this record names as leader; empty if the record can't be read: then no node is
// known to lead, and none campaigns until the record's lease has expired.
std::string node_named_in(const wire::Json& record) {
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

bool Election::holds() const {
  return leading_ && runtime_.now() < granted_at_ + less_drift(times_.ttl);
}

bool Election::may_answer() const {
  return leading_ && (holds() || runtime_.now() < extension_.ends_at(granted_at_));
}

void Election::call_later(void (Election::*action)()) {
  runtime_.after(times_.ttl / kRetriesPerTtl, scope_.wrap([this, action] { (this->*action)(); }));
}

void Election::note_epoch(std::uint64_t epoch) {
  highest_known_epoch_ = std::max(highest_known_epoch_, epoch);
}

void Election::read_leader_record() {
  scope_.renew();
  state_.get(kLeaderKey,
             scope_.wrap([this](const state::GetResult& result) { on_leader_record_read(result); }),
             state::Urgency::lease);
}

void Election::on_leader_record_read(const state::GetResult& result) {
  if (result.outcome == Outcome::missing) {
    leader_.clear();
    return campaign();
  }
  if (result.outcome != Outcome::ok) return call_later(&Election::read_leader_record);
  const std::string named = node_named_in(result.item.value);
  if (named == node_) return revoke_former_lease(result.item);
  leader_ = named;
  watched_revision_ = result.item.version;
  note_epoch(result.item.version);
  watch_leader_record();
}

// The record names this node, which does not lead: an earlier process of it made the record, or a
// candidacy whose answer was lost. Whatever writes of that term are still on their way fail at the
// comparison of versions once the key is gone.
void Election::revoke_former_lease(const state::Item& record) {
  if (record.lease == 0) return call_later(&Election::read_leader_record);
  state_.revoke_lease(record.lease,
                      scope_.wrap([this](Outcome) { call_later(&Election::read_leader_record); }));
}

void Election::watch_leader_record() {
  state_.watch(
      kLeaderKey, watched_revision_, kWatchTtls * times_.ttl,
      scope_.wrap([this](const state::WatchResult& result) { on_leader_record_changed(result); }));
}

void Election::on_leader_record_changed(const state::WatchResult& result) {
  if (result.outcome == Outcome::missing) return read_leader_record();
  if (result.outcome != Outcome::ok) return call_later(&Election::watch_leader_record);
  bool vacant = false;
  for (const state::Event& event : result.events) {
    if (event.key != kLeaderKey) continue;
    vacant = !event.value;
    if (event.value) note_epoch(event.version);
    leader_ = event.value ? node_named_in(*event.value) : "";
  }
  watched_revision_ = result.revision;
  if (vacant) return campaign();
  if (leader_ == node_) return read_leader_record();
  watch_leader_record();
}

void Election::campaign() {
  if (should_defer_candidacy()) return call_later(&Election::read_leader_record);
  scope_.renew();
  granted_at_ = runtime_.now();
  state_.grant_lease(times_.ttl, scope_.wrap([this](const state::LeaseResult& result) {
    if (result.outcome != Outcome::ok) return call_later(&Election::read_leader_record);
    lease_ = result.lease;
    create_leader_record();
  }));
}

bool Election::should_defer_candidacy() {
  const net::Ms now = runtime_.now();
  // A node that has just resigned leaves the others time to campaign.
  if (resigned_at_ && now - *resigned_at_ < times_.ttl) return true;
  // So does, once before each candidacy, a node to which no worker has come: while there is no
  // leader, workers come to every node that they can reach, and a leader without workers is of no
  // use.
  const bool reached_by_workers = last_heartbeat_at_ && now - *last_heartbeat_at_ < times_.ttl;
  deferred_for_workers_ = !deferred_for_workers_ && !reached_by_workers;
  return deferred_for_workers_;
}

void Election::create_leader_record() {
  state::Txn txn;
  txn.conditions.push_back({kLeaderKey, 0});
  txn.changes.push_back({kLeaderKey, wire::Json{{"node", node_}}, lease_});
  state_.txn(
      std::move(txn), state::Urgency::lease,
      scope_.wrap([this](const state::TxnResult& result) { on_leader_record_created(result); }));
}

void Election::on_leader_record_created(const state::TxnResult& result) {
  if (result.outcome == Outcome::ok) return become_leader(result.revision);
  // Lost, or the outcome is unknown: the lease is revoked, so that a late copy of the transaction
  // either fails or creates a key that goes with its lease.
  state_.revoke_lease(lease_, [](Outcome) {});
  if (result.outcome == Outcome::conflict) return read_leader_record();
  call_later(&Election::read_leader_record);
}

void Election::become_leader(state::Version epoch) {
  leading_ = true;
  epoch_ = epoch;
  leader_ = node_;
  scope_.renew();
  runtime_.after(times_.ttl / kRenewalsPerTtl, scope_.wrap([this] { renew_lease(); }));
  highest_known_epoch_ = epoch;
  renewal_failed_ = false;
  extension_.start_term();
  callbacks_.on_elected();
  callbacks_.announce(0);
}

// Renewals go out at their pace, whether the last was answered or not: the answers of a process
// that is behind come late, and the lease must not expire for want of asking. An answer counts
// from when its renewal was sent, however late it is.
void Election::renew_lease() {
  const net::Ms sent_at = runtime_.now();
  state_.renew_lease(
      lease_, times_.ttl / kRenewalTimeoutDivisor,
      scope_.wrap([this, sent_at](Outcome outcome) { on_renewal_answered(outcome, sent_at); }));
  runtime_.after(times_.ttl / (renewal_failed_ ? kRetriesPerTtl : kRenewalsPerTtl),
                 scope_.wrap([this] { renew_lease(); }));
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
  // Perhaps the state service is down for all nodes. Nobody can have answered a cancellation that
  // this leader doesn't know of unless another has taken over: if none has, the extension counts
  // from now.
  callbacks_.announce(extension_.start_round(runtime_.now()));
}

void Election::on_confirmation(const std::string& node,
                               const rpc::EpochConfirmation& confirmation) {
  if (!leading_) return;
  if (confirmation.epoch > epoch_) return step_down(audit::StepDownReason::peer_shows_higher_epoch);
  // Every peer that is asked in this term knows of its epoch. So this is a late copy of an answer
  // given in an earlier term, to a round that may have had the same number.
  if (confirmation.epoch < epoch_) return;
  if (extension_.add_confirmation(node, confirmation, since_grant()))
    audit::extended_by_peers(epoch_, since_grant());
}

// A leader that the state service has stopped answering steps down at once. Otherwise it would go
// on renewing workers' leases until its extension ends, while the next leader waits for them.
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

void Election::step_down(audit::StepDownReason why) {
  if (!leading_) return;
  audit::stepped_down(epoch_, why, since_grant());
  leading_ = false;
  leader_.clear();
  callbacks_.on_step_down();
  read_leader_record();
}

}  // namespace seampass::leader
