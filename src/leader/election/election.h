// Who leads. The key `leader` is created only when absent, under a lease; the version of its
// creation is the epoch.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "leader/audit_log.h"
#include "net/runtime.h"
#include "state/client.h"

namespace seampass::leader {

struct ElectionTimes {
  net::Ms ttl;
  // For how long after the last good renewal was sent check-ins may still be answered without a
  // lease: shorter than cancel_s - lease_s, so that a cancellation answered under the next leader
  // holds whatever a cut-off worker does (see docs/architecture.md).
  net::Ms lease_extension;
  net::Ms between_resignations;
};

class Election {
 public:
  Election(net::Runtime& runtime, state::Client& state, std::string node, ElectionTimes times,
           std::function<void()> on_elected, std::function<void()> on_step_down, std::size_t peers,
           std::function<void(std::uint64_t round)> announce);

  void start();

  bool leading() const { return leading_; }
  // The lease surely holds: counted from before the renewal was sent, less clock drift.
  bool holds() const;
  // Check-ins may be answered with 200 (without starts unless the lease holds).
  bool may_answer() const;
  std::uint64_t epoch() const { return epoch_; }
  // Since the last good renewal was sent.
  net::Ms since_grant() const { return runtime_.now() - granted_; }
  // The leading node as far as known; empty if none is.
  const std::string& leader() const { return leader_; }
  // Makes way for another: this leader is of no use to the workers. False, and nothing done, within
  // two of a worker's leases of the last time: perhaps no node is.
  bool resign();
  // A worker's report has come to this node, whether it leads or not.
  void on_worker_heard() { worker_heard_at_ = runtime_.now(); }
  // Somebody learned that another has taken over, or may have.
  void step_down(audit::StepDownReason why);
  // What another node knows, in answer to an announcement with a round.
  void on_confirmation(const std::string& node, std::uint64_t round, std::uint64_t epoch,
                       net::Ms up_ms);
  // The highest epoch that anybody is known to have led with.
  std::uint64_t highest_known_epoch() const { return highest_known_epoch_; }
  net::Ms up() const { return runtime_.now() - started_; }
  // Another node says that it leads, with this epoch.
  void on_leader_announced(const std::string& node, std::uint64_t epoch);

 private:
  void read();
  void watch();
  void campaign();
  void renew();
  void take_renewal(state::Outcome outcome, net::Ms sent);
  void retry(std::function<void()> what);
  void become_leader(state::Version epoch);

  net::Runtime& runtime_;
  state::Client& state_;
  std::string node_;
  ElectionTimes times_;
  std::function<void()> on_elected_, on_step_down_;
  std::size_t peers_;
  std::function<void(std::uint64_t)> announce_;

  bool leading_ = false;
  std::string leader_;
  std::uint64_t lease_ = 0, epoch_ = 0;
  std::uint64_t highest_known_epoch_ = 0;
  // When every other controller's word was last asked for and given: nobody had taken over by then.
  net::Ms confirmed_at_ = 0, asked_ = 0, started_ = 0;
  std::uint64_t round_ = 0;
  std::set<std::string> confirmations_;
  state::Version seen_ = 0;
  net::Ms granted_ = 0;
  // Said once in each spell without a renewal.
  bool renewal_failed_ = false, extended_ = false;
  std::optional<net::Ms> resigned_, worker_heard_at_;
  bool yielded_once_ = false;
  std::uint64_t term_ = 0;  // answers meant for an earlier term are dropped
};

}  // namespace seampass::leader
