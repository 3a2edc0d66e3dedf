// What every part of the leader may use of its surroundings. All of it outlives the parts, which
// are called on the loop's thread only.
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
