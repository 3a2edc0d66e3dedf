// Asking a machine whether the attempts that its reports lack are off it.
#include "leader/controller.h"

namespace seampass::leader {

using wire::TaskState;

void Controller::verify_absence(Machine& machine) {
  if (machine.inspecting || machine.deleting) return;
  const std::vector<AttemptId> asked = attempts_.to_inspect(machine);
  if (asked.empty()) return;
  machine.inspecting = true;
  workers_.inspect(machine.addr,
                   term_.callbacks().wrap([this, name = machine.name,
                                           asked](const std::optional<wire::Heartbeat>& report) {
                     Machine* inspected = fleet_.find(name);
                     if (!inspected) return;
                     inspected->inspecting = false;
                     if (!report || report->machine != name)
                       return on_command_unanswered(*inspected);
                     if (report->token > election_.epoch())
                       return election_.step_down(audit::StepDownReason::worker_shows_higher_epoch);
                     on_inspection(*inspected, *report, asked);
                   }));
}

void Controller::on_inspection(Machine& machine, const wire::Heartbeat& report,
                               const std::vector<AttemptId>& asked) {
  std::map<AttemptId, const wire::TaskStatus*> present;
  for (const wire::TaskStatus& task : report.tasks) present[id_of(task)] = &task;
  std::vector<TaskAttempt*> gone;
  std::vector<AttemptId> exited;
  for (const AttemptId& id : asked) {
    TaskAttempt* attempt = find_on(machine, id);
    if (!attempt || !attempt->missing || attempt->in_flight > 0) continue;
    const auto found = present.find(id);
    if (found == present.end()) {
      gone.push_back(attempt);
      continue;
    }
    attempt->missing = false;
    attempt->seen = true;
    if (found->second->state == TaskState::exited) exited.push_back(id);
  }
  release_lost(gone, audit::AbsenceProof::inspected);
  for (const AttemptId& id : exited) {
    TaskAttempt* attempt = find_on(machine, id);
    if (attempt) task_exited(*attempt, *present.at(id));
  }
}

}  // namespace seampass::leader
