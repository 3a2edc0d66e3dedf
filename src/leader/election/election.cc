#include "leader/election/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;

namespace {
// So often a lease is renewed in its time to live.
constexpr net::Ms kRenewals = 4;
// While it is refused or not answered: twice as often.
constexpr net::Ms kRetries = 8;
// A renewal is waited for during this part of the time to live: longer than other requests, since
// an answer is of use for as long as the lease that it grants.
constexpr net::Ms kRenewalTimeout = 2;

// Who leads by this record; empty if it can't be read: nobody is known to lead, and nobody stands
// until the record's lease is over.
std::string node_named(const wire::Json& record) {
  try {
    return wire::text_field(record, "node");
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}: {}", kLeaderKey, error.what());
    return {};
  }
}
}  // namespace

Election::Election(net::Runtime& runtime, state::Client& state, std::string node,
                   ElectionTimes times, std::function<void()> on_elected,
                   std::function<void()> on_step_down, std::size_t peers,
                   std::function<void(std::uint64_t)> announce)
    : runtime_(runtime),
      state_(state),
      node_(std::move(node)),
      times_(times),
      on_elected_(std::move(on_elected)),
      on_step_down_(std::move(on_step_down)),
      peers_(peers),
      announce_(std::move(announce)) {}

void Election::start() {
  started_ = runtime_.now();
  read();
}

bool Election::holds() const {
  // 0.05% of drift between two steady clocks, doubled.
  return leading_ && runtime_.now() < granted_ + times_.ttl - times_.ttl / 1000;
}

bool Election::may_answer() const {
  return leading_ &&
         (holds() || runtime_.now() < std::max(granted_, confirmed_at_) + times_.lease_extension);
}

void Election::retry(std::function<void()> what) {
  const std::uint64_t term = term_;
  runtime_.after(times_.ttl / kRetries, [this, term, what = std::move(what)] {
    if (term == term_) what();
  });
}

void Election::read() {
  const std::uint64_t term = ++term_;
  state_.get(
      kLeaderKey,
      [this, term](const state::GetResult& r) {
        if (term != term_) return;
        if (r.outcome == Outcome::missing) {
          leader_.clear();
          return campaign();
        }
        if (r.outcome != Outcome::ok) return retry([this] { read(); });
        const std::string who = node_named(r.item.value);
        if (who == node_) {
          // A former self, which is dead (or a try whose answer was lost): what is left of it is
          // fenced by the version once the key is gone.
          if (r.item.lease == 0) return retry([this] { read(); });
          return state_.revoke_lease(r.item.lease, [this, term](Outcome) {
            if (term == term_) retry([this] { read(); });
          });
        }
        leader_ = who;
        seen_ = r.item.version;
        highest_known_epoch_ =
            std::max(highest_known_epoch_, r.item.version);  // what is older is old news
        watch();
      },
      state::Urgency::lease);
}

void Election::watch() {
  const std::uint64_t term = term_;
  state_.watch(kLeaderKey, seen_, 4 * times_.ttl, [this, term](const state::WatchResult& r) {
    if (term != term_) return;
    if (r.outcome == Outcome::missing) return read();
    if (r.outcome != Outcome::ok) return retry([this] { watch(); });
    bool vacant = false;
    for (const auto& e : r.events) {
      if (e.key != kLeaderKey) continue;
      vacant = !e.value;
      if (e.value) highest_known_epoch_ = std::max(highest_known_epoch_, e.version);
      leader_ = e.value ? node_named(*e.value) : "";
    }
    seen_ = r.revision;
    if (vacant) return campaign();
    if (leader_ == node_) return read();
    watch();
  });
}

void Election::campaign() {
  // Whoever has just made way leaves the others time to stand.
  const net::Ms now = runtime_.now();
  if (resigned_ && now - *resigned_ < times_.ttl) return retry([this] { read(); });
  // So does, once, a node that no worker has come to: without a leader they come to every node that
  // they can reach.
  if (!yielded_once_ && !(worker_heard_at_ && now - *worker_heard_at_ < times_.ttl)) {
    yielded_once_ = true;
    return retry([this] { read(); });
  }
  yielded_once_ = false;
  const std::uint64_t term = ++term_;
  granted_ = runtime_.now();
  state_.grant_lease(times_.ttl, [this, term](const state::LeaseResult& g) {
    if (term != term_) return;
    if (g.outcome != Outcome::ok) return retry([this] { read(); });
    lease_ = g.lease;
    state::Txn txn;
    txn.conditions.push_back({kLeaderKey, 0});
    txn.changes.push_back({kLeaderKey, wire::Json{{"node", node_}}, lease_});
    state_.txn(std::move(txn), state::Urgency::lease, [this, term](const state::TxnResult& t) {
      if (term != term_) return;
      if (t.outcome == Outcome::ok) return become_leader(t.revision);
      // Lost, or not known: give this lease up, so that a late copy of the transaction either
      // fails or makes a key that goes with its lease.
      state_.revoke_lease(lease_, [](Outcome) {});
      if (t.outcome == Outcome::conflict) return read();
      retry([this] { read(); });
    });
  });
}

void Election::become_leader(state::Version epoch) {
  leading_ = true;
  epoch_ = epoch;
  leader_ = node_;
  const std::uint64_t term = ++term_;
  runtime_.after(times_.ttl / kRenewals, [this, term] {
    if (term == term_) renew();
  });
  highest_known_epoch_ = epoch;
  confirmed_at_ = 0;
  renewal_failed_ = extended_ = false;
  on_elected_();
  announce_(0);
}

// Renewals go out at their pace, whether the last was answered or not: the answers of a process
// that is behind come late, and the lease must not run out for want of asking. An answer counts
// from when its renewal was sent, however late it is.
void Election::renew() {
  const std::uint64_t term = term_;
  const net::Ms sent = runtime_.now();
  state_.renew_lease(lease_, times_.ttl / kRenewalTimeout, [this, term, sent](Outcome outcome) {
    if (term == term_) take_renewal(outcome, sent);
  });
  runtime_.after(times_.ttl / (renewal_failed_ ? kRetries : kRenewals), [this, term] {
    if (term == term_) renew();
  });
}

void Election::take_renewal(Outcome outcome, net::Ms sent) {
  if (outcome == Outcome::missing) return step_down(audit::StepDownReason::lease_ended);
  if (outcome == Outcome::ok) {
    granted_ = std::max(granted_, sent);
    renewal_failed_ = extended_ = false;
    return announce_(0);
  }
  if (!std::exchange(renewal_failed_, true)) audit::renewal_failed(epoch_, since_grant());
  // Perhaps the store is down for all. Nobody can have answered a cancellation that we don't
  // know of unless somebody took over: if none did, the grace counts from now.
  asked_ = runtime_.now();
  confirmations_.clear();
  announce_(++round_);
}

void Election::on_confirmation(const std::string& node, std::uint64_t round, std::uint64_t epoch,
                               net::Ms up_ms) {
  if (!leading_) return;
  if (epoch > epoch_) return step_down(audit::StepDownReason::peer_shows_higher_epoch);
  // Whoever was asked in this term knows of it: this is a late copy of a word given in an earlier
  // one, by a round that may have had the same number.
  if (epoch < epoch_) return;
  // While our lease surely held nobody else led. A node that has been up ever since remembers
  // whether it did; one that started later may have forgotten, and its word is worth nothing.
  // (Its time is taken against the word's arrival, since the asking may have been held up.)
  if (round != round_ || up_ms - up_ms / 1000 < runtime_.now() - granted_) return;
  confirmations_.insert(node);
  if (confirmations_.size() != peers_) return;
  confirmed_at_ = std::max(confirmed_at_, asked_);
  if (!std::exchange(extended_, true)) audit::extended_by_peers(epoch_, since_grant());
}

// A leader that the state service has stopped answering would go on telling workers to stay until
// its grace is over, while the next one waits for them.
void Election::on_leader_announced(const std::string& node, std::uint64_t epoch) {
  if (epoch <= highest_known_epoch_) return;
  highest_known_epoch_ = epoch;
  if (leading_) step_down(audit::StepDownReason::peer_shows_higher_epoch);
  leader_ = node;
}

bool Election::resign() {
  const net::Ms now = runtime_.now();
  if (!leading_ || (resigned_ && now - *resigned_ < times_.between_resignations)) return false;
  resigned_ = now;
  state_.revoke_lease(lease_, [](Outcome) {});
  step_down(audit::StepDownReason::resigned);
  return true;
}

void Election::step_down(audit::StepDownReason why) {
  if (!leading_) return;
  audit::stepped_down(epoch_, why, since_grant());
  leading_ = false;
  leader_.clear();
  on_step_down_();
  read();
}

}  // namespace seampass::leader
