// Commands to workers, and what their answers and their silence mean for the machine.
//
// Owns no state: what was sent is noted at the Machine and the TaskAttempt, and what waits for its
// turn lies in workers::Client. Called on the loop's thread, between the term's start and its end.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/jobs/job_table.h"
#include "leader/leader_context.h"
#include "wire/types.h"
#include "workers/client.h"

namespace seampass::leader {

class CommandDispatcher {
 public:
  // Takes the report that the answer to a command carries.
  using OnReport = std::function<void(Machine& machine, const wire::Heartbeat& report)>;

  CommandDispatcher(const LeaderContext& context, workers::Client& workers, Fleet& fleet,
                    const JobTable& jobs, OnReport on_report);

  // Drops what has not left yet.
  void end_term() { workers_.drop_queued(); }

  // A machine that can't be reached yet gets the commands in the answer to its next heartbeat.
  void send(Machine& machine, const std::vector<wire::Command>& commands);
  // Tells the workers of attempts that are marked as to be stopped: one message a machine.
  void send_stops(const std::vector<TaskAttempt*>& attempts);
  // The machine has not answered a command or an inspection.
  void on_unanswered(Machine& machine);

 private:
  void on_answer(const std::string& name, const std::vector<AttemptId>& starts, workers::Sent sent,
                 const std::optional<wire::Heartbeat>& report);

  LeaderContext context_;
  workers::Client& workers_;
  Fleet& fleet_;
  const JobTable& jobs_;
  OnReport on_report_;
};

}  // namespace seampass::leader
