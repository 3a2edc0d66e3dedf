#include "leader/attempts/absence_verifier.h"

#include <map>
#include <optional>

#include "leader/audit_log.h"

namespace seampass::leader {

using wire::TaskState;

AbsenceVerifier::AbsenceVerifier(const LeaderContext& context, workers::Client& workers,
                                 Fleet& fleet, const AttemptTracker& tracker,
                                 AttemptLifecycle& attempts, CommandDispatcher& commands)
    : context_(context),
      workers_(workers),
      fleet_(fleet),
      tracker_(tracker),
      attempts_(attempts),
      commands_(commands) {}

void AbsenceVerifier::verify(Machine& machine) {
  if (machine.inspecting || machine.deleting) return;
  const std::vector<AttemptId> candidates = tracker_.to_inspect(machine);
  if (candidates.empty()) return;
  machine.inspecting = true;
  workers_.inspect(
      machine.addr,
      context_.term.callbacks().wrap(
          [this, name = machine.name, candidates](const std::optional<wire::Heartbeat>& report) {
            Machine* inspected = fleet_.find(name);
            if (!inspected) return;
            inspected->inspecting = false;
            if (!report || report->machine != name) return commands_.on_unanswered(*inspected);
            if (report->token > context_.election.epoch())
              return context_.election.step_down(audit::StepDownReason::worker_shows_higher_epoch);
            on_inspection(*inspected, *report, candidates);
          }));
}

void AbsenceVerifier::on_inspection(Machine& machine, const wire::Heartbeat& report,
                                    const std::vector<AttemptId>& candidates) {
  std::map<AttemptId, const wire::TaskStatus*> present;
  for (const wire::TaskStatus& task : report.tasks) present[id_of(task)] = &task;
  std::vector<TaskAttempt*> absent;
  std::vector<AttemptId> exited;
  for (const AttemptId& id : candidates) {
    TaskAttempt* attempt = find_attempt_on(machine, id);
    if (!attempt || !attempt->missing) continue;
    const auto found = present.find(id);
    if (found == present.end()) {
      absent.push_back(attempt);
      continue;
    }
    attempt->missing = false;
    attempt->reported = true;
    if (found->second->state == TaskState::exited) exited.push_back(id);
  }
  attempts_.release_lost(absent, audit::AbsenceProof::inspected);
  for (const AttemptId& id : exited) {
    TaskAttempt* attempt = find_attempt_on(machine, id);
    if (attempt) attempts_.on_task_exited(*attempt, *present.at(id));
  }
}

}  // namespace seampass::leader
