// Tracks the attempts that use resources: which task is assigned to which machine, what each team
// uses, and which evidence proves that an attempt is absent from its machine (docs/safety.md, "When
// an attempt is proven absent").
//
// The class owns each team's resource usage. Attempts belong to their JobRecord, and their Machine
// points to them. Only this class adds and removes attempts, so that the JobRecord, the Machine and
// the usage agree. It is called on the event loop's thread.
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
#include "sched/sched.h"
#include "wire/types.h"

namespace seampass::leader {

// Minimum times after which a worker's lease has certainly expired and the worker has killed its
// tasks.
struct ExpiryTimes {
  // Since the machine's last heartbeat that may have been answered.
  net::Ms since_last_contact = 0;
  // Since this leader's term began. Required in addition for a worker that has not shown this
  // leader's epoch.
  net::Ms since_term_start = 0;
};

// The message that carried a worker's report (wire::Heartbeat): a heartbeat, or the reply to a
// command.
enum class ReportSource { heartbeat, command_reply };

class AttemptTracker {
 public:
  explicit AttemptTracker(net::Runtime& runtime) : runtime_(runtime) {}

  // Adds an attempt of the task. Marks the task as claimed and charges its resources to the machine
  // and to the team's usage.
  TaskAttempt& add(JobRecord& job, std::uint32_t task, std::uint64_t number, Machine& machine,
                   std::uint64_t incarnation);
  // Removes the attempt and releases its resources; a task that is not finished becomes unclaimed.
  // The reference is invalid after this call.
  void remove(TaskAttempt& attempt);
  void clear() { usage_.clear(); }

  void set_state(TaskAttempt& attempt, wire::TaskState state);
  // Marks the attempt as to be stopped. Calls after the first have no effect.
  void mark_for_stop(TaskAttempt& attempt, double termination_grace_s, audit::StopReason reason);

  [[nodiscard]] sched::Resources usage(const std::string& team) const;

  // Marks as missing the attempts on this machine that a report does not list; returns true if any
  // attempt is missing now. An unlisted attempt is marked if it belongs to another incarnation than
  // the machine's present one, or if the source is a heartbeat and either an earlier report listed
  // the attempt or its job has ended. The reply to a command alone does not suffice, since a start
  // may be in flight at the same time.
  [[nodiscard]] static bool mark_missing(Machine& machine, const std::set<TaskId>& reported,
                                         ReportSource source);
  // The missing attempts whose absence could be proven by an inspection that is sent now.
  [[nodiscard]] std::vector<AttemptId> to_inspect(const Machine& machine) const;
  // True if the worker's lease has certainly expired, so that the worker has killed its tasks.
  // `term_start` is the time at which this leader's term began; `epoch_confirmed` says whether the
  // worker has shown this leader's epoch.
  [[nodiscard]] bool lease_expired(const Machine& machine, net::Ms term_start, bool epoch_confirmed,
                                   const ExpiryTimes& times) const;

 private:
  net::Runtime& runtime_;
  std::map<std::string, sched::Resources> usage_;  // by team
};

// The attempt with this id on this machine; null if there is none.
[[nodiscard]] TaskAttempt* find_attempt_on(const Machine& machine, const AttemptId& id);

}  // namespace seampass::leader
