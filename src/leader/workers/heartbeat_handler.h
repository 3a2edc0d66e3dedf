// Decides which heartbeats the leader accepts, and replies to each heartbeat.
//
// A reply that contains this leader's epoch renews the worker's lease. Every heartbeat that gets
// such a reply therefore counts as the machine's last contact (Machine::note_heartbeat); otherwise
// the leader could consider a lease expired that the worker still holds. The class owns no state:
// the Machine records its last heartbeats. The class is called on the event loop's thread at any
// time, whether a term is active or not.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/leader_context.h"
#include "leader/records/task_record_writer.h"
#include "leader/workers/heartbeat_reconciler.h"
#include "wire/types.h"

namespace seampass::leader {

// The status and body of an HTTP response. Status 503 means that this node does not accept the
// heartbeat; the response then contains no epoch and renews no lease.
struct HeartbeatReply {
  int status = 503;
  std::string body;
};

class HeartbeatHandler {
 public:
  HeartbeatHandler(const LeaderContext& context, Fleet& fleet, const TaskRecordWriter& task_records,
                   HeartbeatReconciler& reconciler);

  // Returns the reply to a heartbeat that a worker has sent.
  [[nodiscard]] HeartbeatReply handle(const wire::Heartbeat& heartbeat);

 private:
  [[nodiscard]] HeartbeatReply reply_to_unconfirmed(Machine& machine,
                                                    const wire::Heartbeat& heartbeat) const;
  [[nodiscard]] std::vector<wire::Command> commands_for(Machine& machine,
                                                        const wire::Heartbeat& heartbeat) const;
  [[nodiscard]] wire::Command stop_command(const TaskAttempt& attempt, net::Ms now) const;
  void append_starts(Machine& machine, const std::set<TaskId>& reported,
                     std::vector<wire::Command>& commands) const;

  LeaderContext context_;
  Fleet& fleet_;
  const TaskRecordWriter& task_records_;
  HeartbeatReconciler& reconciler_;
};

}  // namespace seampass::leader
