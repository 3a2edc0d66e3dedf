// The attempts that take up room: which task is on which machine, what each team uses, and what
// proves that an attempt is off its machine (docs/safety.md, "Off").
//
// Owns each team's usage. Attempts belong to their JobRecord and are linked from their Machine;
// this class alone adds and removes them, so that the three agree. Called on the loop's thread.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "leader/audit_log.h"
#include "leader/fleet/fleet.h"
#include "leader/ids.h"
#include "leader/jobs/job_record.h"
#include "net/runtime.h"
#include "sched/snapshot.h"
#include "wire/types.h"

namespace seampass::leader {

// How long a machine must have been silent before its worker has surely killed its tasks.
struct ExpiryTimes {
  net::Ms silence = 0;      // for a worker that has shown this leader's epoch
  net::Ms after_begin = 0;  // for any other, since this leader began
};

// How a worker's report came: by itself, or with the answer to a command.
enum class ReportSource { heartbeat, command_answer };

class AttemptTracker {
 public:
  explicit AttemptTracker(net::Runtime& runtime) : runtime_(runtime) {}

  // Takes the task, its room on the machine and its share of the team's limit.
  TaskAttempt& add(JobRecord& job, std::uint32_t task, std::uint64_t number, Machine& machine,
                   std::uint64_t incarnation);
  // Gives them back. The attempt no longer exists after this.
  void remove(TaskAttempt& attempt);
  void clear() { usage_.clear(); }

  void set_state(TaskAttempt& attempt, wire::TaskState state);
  // Marks it as to be stopped; the first call counts.
  void stop(TaskAttempt& attempt, double termination_grace_s, audit::StopReason why);

  [[nodiscard]] sched::Resources usage(const std::string& team) const;

  // Notes which attempts a report of this machine lacks; true if any is missing now. A heartbeat
  // that lacks an attempt which was seen before raises the question, as does any report of another
  // incarnation; the answer to a command does not, since a start may be on its way beside it.
  [[nodiscard]] static bool mark_missing(Machine& machine, const std::set<TaskId>& reported,
                                         ReportSource source);
  // The missing attempts whose absence an inspection sent now would prove.
  [[nodiscard]] std::vector<AttemptId> to_inspect(const Machine& machine) const;
  // True if the worker's own lease has ended, and its tasks with it.
  [[nodiscard]] bool lease_expired(const Machine& machine, net::Ms began, bool confirmed,
                                   const ExpiryTimes& times) const;

 private:
  net::Runtime& runtime_;
  std::map<std::string, sched::Resources> usage_;  // by team
};

// The attempt with this id on this machine, if it still exists.
[[nodiscard]] TaskAttempt* find_on(const Machine& machine, const AttemptId& id);

}  // namespace seampass::leader
