// The Controller's new attempts: charged and recorded first, started once the record is durable.
#include <spdlog/spdlog.h>

#include <memory>

#include "leader/controller.h"

namespace seampass::leader {

using state::Urgency;

void Controller::launch(JobRecord& job, const std::vector<PlacedTask>& tasks) {
  const std::uint64_t attempt = ++job.last_attempt;
  std::map<RecordId, std::vector<AttemptId>> by_record;
  std::vector<AttemptId> all;
  for (const PlacedTask& placed : tasks) {
    attempts_.add(job, placed.task, attempt, *placed.machine, placed.machine->incarnation);
    all.push_back({job.spec.id, placed.task, attempt});
    by_record[layout_.record_of(placed.task)].push_back(all.back());
  }
  spdlog::debug("starting {} tasks of {} try {} on {}", all.size(), job.spec.id, attempt,
                tasks.empty() ? "no machine" : tasks.front().machine->name);
  const std::string id = job.spec.id;
  const bool gang = job.gang();
  // A gang's start may span several records: nothing starts before the last is durable.
  const auto waiting = std::make_shared<std::size_t>(by_record.size());
  for (auto& [record, list] : by_record) {
    record_changed(id, list.front().task, Urgency::assignment,
                   [this, id, gang, waiting, all, list = list] {
                     if (!gang) return on_assignment_durable(id, list);
                     if (--*waiting == 0) on_assignment_durable(id, all);
                   });
  }
}

}  // namespace seampass::leader
