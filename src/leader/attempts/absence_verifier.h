// Asks a machine whether the attempts that its reports lack are off it.
//
// A report that lacks an attempt proves nothing by itself (AttemptTracker::to_inspect says why), so
// the worker is asked by an inspection, one at a time for each machine. Owns no state: the question
// is noted at the Machine. Called on the loop's thread, between the term's start and its end.
#pragma once

#include <vector>

#include "leader/attempts/attempt_lifecycle.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/leader_context.h"
#include "leader/workers/command_dispatcher.h"
#include "wire/types.h"
#include "workers/client.h"

namespace seampass::leader {

class AbsenceVerifier {
 public:
  AbsenceVerifier(const LeaderContext& context, workers::Client& workers, Fleet& fleet,
                  const AttemptTracker& tracker, AttemptLifecycle& attempts,
                  CommandDispatcher& commands);

  // Inspects the machine if that can prove any of its missing attempts to be off it.
  void verify(Machine& machine);

 private:
  void on_inspection(Machine& machine, const wire::Heartbeat& report,
                     const std::vector<AttemptId>& asked);

  LeaderContext context_;
  workers::Client& workers_;
  Fleet& fleet_;
  const AttemptTracker& tracker_;
  AttemptLifecycle& attempts_;
  CommandDispatcher& commands_;
};

}  // namespace seampass::leader
