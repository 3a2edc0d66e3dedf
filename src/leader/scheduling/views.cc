#include "leader/scheduling/views.h"

namespace seampass::leader {

using sched::request_of;
using wire::TaskState;

namespace {

// An attempt may be preempted only if its job saves its progress, its task is running, and it is
// not being stopped already. Tasks of gangs are never preempted one by one.
bool is_preemptible(const TaskAttempt& attempt) {
  return !attempt.job->gang() && attempt.job->spec.checkpoint_s > 0 &&
         attempt.state == TaskState::running && !attempt.stop_requested;
}

sched::PreemptibleTask preemptible_task_of(const TaskAttempt& attempt) {
  const wire::Job& spec = attempt.job->spec;
  sched::PreemptibleTask preemptible;
  preemptible.job = spec.id;
  preemptible.task = attempt.task;
  preemptible.priority = spec.priority;
  preemptible.request = request_of(spec);
  preemptible.image = spec.image;
  preemptible.spot = spec.spot;
  preemptible.any_zone = !spec.zone && !spec.one_zone && !spec.spread;
  preemptible.save_s = spec.save_s;
  return preemptible;
}

}  // namespace

void update_view(sched::MachineView& view, const Machine& machine, const wire::MachineType& type) {
  view.name = machine.name;
  view.type = machine.type;
  view.zone = machine.zone;
  view.spot = machine.spot;
  view.total = view.free = {type.cpus, type.gpus, type.memory_gb};
  view.preemptible_tasks.clear();
  for (const auto& [task, attempt] : machine.attempts) {
    view.free -= request_of(attempt->job->spec);
    if (is_preemptible(*attempt)) view.preemptible_tasks.push_back(preemptible_task_of(*attempt));
  }
  view.images = machine.images;
  view.task_count = machine.attempts.size();
}

sched::MachineView view_of_pending(const PendingScaleOut& rental, const wire::MachineType& type) {
  sched::MachineView view;
  view.type = rental.type;
  view.zone = rental.zone;
  view.spot = rental.spot;
  view.booting = true;
  view.total = view.free = {type.cpus, type.gpus, type.memory_gb};
  return view;
}

sched::JobView view_of(const JobRecord& job) {
  const wire::Job& spec = job.spec;
  sched::JobView view;
  view.id = spec.id;
  view.team = spec.team;
  view.kind = spec.kind;
  view.created_ms = job.created_ms;
  view.request = request_of(spec);
  view.types = &spec.types;
  view.zone = spec.zone;
  view.one_zone = spec.one_zone;
  view.spread = spec.spread;
  view.spot = spec.spot;
  view.image = spec.image;
  view.task_count = spec.tasks;
  for (const auto& [task, attempt] : job.attempts) ++view.placed[attempt.machine->zone];
  view.all_or_nothing = job.all_or_nothing;
  return view;
}

}  // namespace seampass::leader
