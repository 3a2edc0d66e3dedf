#include "leader/scheduling/usage_log.h"

#include <spdlog/spdlog.h>

#include <map>
#include <string>

#include "leader/audit_log.h"
#include "leader/jobs/job_record.h"

namespace seampass::leader {

using wire::TaskState;

namespace {

struct UsageCounts {
  int registered = 0, not_registered = 0, idle = 0, closed_to_new_tasks = 0, starting = 0,
      waiting = 0, running = 0;

  void add(const Machine& machine) {
    ++(machine.registered ? registered : not_registered);
    if (!machine.registered) return;
    if (machine.attempts.empty()) ++idle;
    if (machine.draining || machine.deleting || machine.preemption_at) ++closed_to_new_tasks;
    for (const auto& [task, attempt] : machine.attempts)
      ++(attempt->state == TaskState::running   ? running
         : attempt->state == TaskState::waiting ? waiting
                                                : starting);
  }
};

}  // namespace

void LoadLog::log_if_due(net::Ms tick_delay) {
  if (runtime_.now() < logged_at_ + net::ms(settings_.lease_s)) return;
  logged_at_ = runtime_.now();
  audit::Load load;
  load.store = state_.counters();
  load.waiting_reads = state_.waiting(state::RequestKind::read);
  load.waiting_writes = state_.waiting(state::RequestKind::write);
  load.backlog = state_.backlog(state::Urgency::progress);
  load.tick_delay = tick_delay;
  load.since_grant = election_.since_grant();
  audit::load(load);
}

void log_usage(const MachineInventory::Map& machines) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  std::map<std::string, UsageCounts> by_type;
  for (const auto& [name, machine] : machines) by_type[machine.type].add(machine);
  for (const auto& [type, counts] : by_type)
    spdlog::debug(
        "machines of type {}: {} registered, {} not registered, {} idle, {} closed to new tasks; "
        "tasks: {} starting, {} waiting, {} running",
        type, counts.registered, counts.not_registered, counts.idle, counts.closed_to_new_tasks,
        counts.starting, counts.waiting, counts.running);
}

}  // namespace seampass::leader
