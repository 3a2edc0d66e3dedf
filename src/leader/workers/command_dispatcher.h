// Sends commands to workers, and updates the machine after a reply or the lack of one.
//
// The class owns no state: the Machine and the TaskAttempt record which commands were sent, and
// workers::Client owns the queue of commands that are not sent yet. The class is called on the
// event loop's thread, between the start and the end of a term.
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
  // Receives the worker's report (wire::Heartbeat) from the reply to a command.
  using OnReport = std::function<void(Machine& machine, const wire::Heartbeat& report)>;

  CommandDispatcher(const LeaderContext& context, workers::Client& workers, Fleet& fleet,
                    const JobTable& jobs, OnReport on_report);

  // Drops the commands that are queued and not sent yet.
  void end_term() { workers_.drop_queued(); }

  // Sends the commands to the machine's worker in one request. Sends nothing to a machine that has
  // no address yet or has not shown this leader's epoch: the reply to its next heartbeat contains
  // the commands.
  void send(Machine& machine, const std::vector<wire::Command>& commands);
  // Sends stop commands for attempts that are marked as to be stopped, in one request per machine.
  void send_stops(const std::vector<TaskAttempt*>& attempts);
  // Handles a command or an inspection to which the machine has not replied.
  void on_unanswered(Machine& machine);

 private:
  void on_reply(const std::string& name, const std::vector<AttemptId>& start_ids,
                workers::CommandResult outcome, const std::optional<wire::Heartbeat>& report);

  LeaderContext context_;
  workers::Client& workers_;
  Fleet& fleet_;
  const JobTable& jobs_;
  OnReport on_report_;
};

}  // namespace seampass::leader
