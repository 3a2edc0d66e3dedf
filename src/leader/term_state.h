// Where this node stands in its term of leadership.
//
// Owned and changed by LeaderTerm; the leader's parts read it. Its callback scope is the one of the
// whole term: every timer and every answer that a part waits for is wrapped in it, so that nothing
// of one term runs in the next.
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
    began_ = now;
  }
  void complete_recovery() { recovered_ = true; }
  // No callback of the term runs after this.
  void end() {
    callbacks_.renew();
    active_ = recovered_ = false;
  }

  // This node leads, as far as it knows.
  [[nodiscard]] bool active() const { return active_; }
  // All that the former leaders wrote is known here.
  [[nodiscard]] bool recovered() const { return recovered_; }
  // Recovered, and the lease surely holds: answers may be given and tasks started.
  [[nodiscard]] bool ready() const { return recovered_ && election_.holds(); }
  // When the term began, by the steady clock.
  [[nodiscard]] net::Ms began() const { return began_; }
  [[nodiscard]] const net::CallbackScope& callbacks() const { return callbacks_; }

 private:
  const Election& election_;
  net::CallbackScope callbacks_;
  bool active_ = false;
  bool recovered_ = false;
  net::Ms began_ = 0;
};

}  // namespace seampass::leader
