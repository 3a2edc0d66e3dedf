#include "leader/scheduling/views.h"

namespace seampass::leader {

using sched::request_of;
using wire::TaskState;

namespace {

// Only what saves its progress, runs, and is not being stopped already may be preempted.
bool is_preemptible(const TaskAttempt& attempt) {
  return !attempt.job->gang() && attempt.job->spec.checkpoint_s > 0 &&
         attempt.state == TaskState::running && !attempt.stop;
}

sched::Victim victim_of(const TaskAttempt& attempt) {
  const wire::Job& spec = attempt.job->spec;
  sched::Victim victim;
  victim.job = spec.id;
  victim.task = attempt.task;
  victim.priority = spec.priority;
  victim.request = request_of(spec);
  victim.image = spec.image;
  victim.spot = spec.spot;
  victim.anywhere = !spec.zone && !spec.one_zone && !spec.spread;
  victim.save_s = spec.save_s;
  return victim;
}

}  // namespace

void update_view(sched::MachineView& view, const Machine& machine, const wire::MachineType& type) {
  view.name = machine.name;
  view.type = machine.type;
  view.zone = machine.zone;
  view.spot = machine.spot;
  view.total = view.free = {type.cpus, type.gpus, type.memory_gb};
  view.victims.clear();
  for (const auto& [task, attempt] : machine.attempts) {
    view.free -= request_of(attempt->job->spec);
    if (is_preemptible(*attempt)) view.victims.push_back(victim_of(*attempt));
  }
  view.images = machine.images;
  view.tasks = machine.attempts.size();
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
  view.tasks = spec.tasks;
  for (const auto& [task, attempt] : job.attempts) ++view.placed[attempt.machine->zone];
  view.all_or_nothing = job.all_or_nothing;
  return view;
}

}  // namespace seampass::leader
