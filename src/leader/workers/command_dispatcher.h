// Sends commands to workers, and updates the machine after a reply or the lack of one.
//
// No start is sent this way: a request to a worker may be executed late, or once more by a late
// copy, even in a later life of the machine. Starts are sent only in the replies to heartbeats,
// which a worker discards when they are old (docs/safety.md, "Late starts, and copies of starts").
//
// The class owns the number of its requests: the Machine and the TaskAttempt record which commands
// were sent, and workers::Client owns the queue of commands that are not sent yet. The class is
// called on the event loop's thread, between the start and the end of a term.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/leader_context.h"
#include "wire/types.h"
#include "workers/client.h"

namespace seampass::leader {

class CommandDispatcher {
 public:
  // Receives the worker's report (wire::Heartbeat) from the reply to a command.
  using OnReport = std::function<void(Machine& machine, const wire::Heartbeat& report)>;

  CommandDispatcher(const LeaderContext& context, workers::Client& workers, Fleet& fleet,
                    OnReport on_report);

  // Drops the commands that are queued and not sent yet.
  void end_term() { workers_.drop_queued(); }

  // Makes the machine's worker send a heartbeat at once, so that it receives the starts that wait
  // for the reply. `job` is any job with such a start. Does nothing while an earlier request may
  // still bring a heartbeat.
  void request_heartbeat(Machine& machine, const wire::Job& job);
  // Sends stop commands for attempts that are marked as to be stopped, in one request per machine.
  void send_stops(const std::vector<TaskAttempt*>& attempts);
  // Handles a command or an inspection to which the machine has not replied.
  void on_unanswered(Machine& machine);

 private:
  // True if the machine has an address and its worker has shown this leader's epoch.
  [[nodiscard]] static bool accepts_commands(const Machine& machine);
  // Sends the commands to the machine's worker in one request. Sends nothing to a machine that does
  // not accept commands yet: the reply to its next heartbeat contains them.
  void send(Machine& machine, const std::vector<wire::Command>& commands);
  void on_reply(const std::string& name, workers::CommandResult outcome,
                const std::optional<wire::Heartbeat>& report);

  LeaderContext context_;
  workers::Client& workers_;
  Fleet& fleet_;
  OnReport on_report_;
  std::uint32_t heartbeat_requests_ = 0;  // number of requests so far
};

}  // namespace seampass::leader
