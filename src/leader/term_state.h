// The state of this node's term of leadership: whether the term is active and whether recovery is
// complete.
//
// LeaderTerm owns and changes the TermState; the other parts of the leader only read it, on the
// loop's thread. The TermState also owns the callback scope of the whole term. Every part wraps its
// timers and request callbacks in this scope, so that no callback of one term runs in the next
// term. Times are in milliseconds of the runtime's steady clock.
#pragma once

#include "leader/election/election.h"
#include "net/callback_scope.h"
#include "net/runtime.h"

namespace seampass::leader {

class TermState {
 public:
  explicit TermState(const Election& election) : election_(election) {}

  void begin(net::Ms now) {
    active_ = true;
    began_at_ = now;
  }
  void complete_recovery() { recovered_ = true; }
  // Ends the term. No callback of the term runs afterwards.
  void end() {
    callbacks_.renew();
    active_ = recovered_ = false;
  }

  // Whether this node leads, as far as it knows.
  [[nodiscard]] bool active() const { return active_; }
  // Whether recovery is complete: this leader has read everything that former leaders wrote.
  [[nodiscard]] bool recovered() const { return recovered_; }
  // Whether recovery is complete and the lease is certainly still valid. Only then may this leader
  // answer users' requests and start tasks.
  [[nodiscard]] bool ready() const { return recovered_ && election_.lease_valid(); }
  // When the term began.
  [[nodiscard]] net::Ms began_at() const { return began_at_; }
  [[nodiscard]] const net::CallbackScope& callbacks() const { return callbacks_; }

 private:
  const Election& election_;
  net::CallbackScope callbacks_;
  bool active_ = false;
  bool recovered_ = false;
  net::Ms began_at_ = 0;
};

}  // namespace seampass::leader
