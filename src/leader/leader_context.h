// References that every part of the leader needs: the runtime, the election, the state of the term
// and the settings. All referenced objects outlive the parts. The parts use them on the loop's
// thread only.
#pragma once

#include "config/settings.h"
#include "leader/election/election.h"
#include "leader/term_state.h"
#include "net/runtime.h"

namespace seampass::leader {

struct LeaderContext {
  net::Runtime& runtime;
  Election& election;
  const TermState& term;
  const config::Settings& settings;
};

}  // namespace seampass::leader
