// Verifies whether attempts that a worker's reports do not list are absent from its machine.
//
// A report (wire::Heartbeat) that does not list an attempt does not prove its absence;
// AttemptTracker::to_inspect gives the reason. The AbsenceVerifier therefore sends the worker an
// inspection request, at most one at a time for each machine. The class owns no state:
// Machine::inspecting says whether a request is in flight. It is called on the event loop's thread,
// between the start and the end of a term.
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

  // Inspects the machine if the reply can prove that any of its missing attempts is absent.
  void verify(Machine& machine);

 private:
  void on_inspection(Machine& machine, const wire::Heartbeat& report,
                     const std::vector<AttemptId>& candidates);

  LeaderContext context_;
  workers::Client& workers_;
  Fleet& fleet_;
  const AttemptTracker& tracker_;
  AttemptLifecycle& attempts_;
  CommandDispatcher& commands_;
};

}  // namespace seampass::leader
