// The SchedulingLoop's snapshot of the cluster for a pass: machines, teams, and jobs with what is
// pending.
#include <algorithm>
#include <tuple>

#include "leader/scheduling/scheduling_loop.h"

namespace seampass::leader {

using net::Ms;
using sched::request_of;
using wire::TaskState;

namespace {

// Pending tasks of one job that a pass looks at.
constexpr std::size_t kPassTasks = 256;
// A gang's room is kept in one zone for so many of the longest boots.
constexpr double kReservationBoots = 3;

}  // namespace

// What a machine is used for, drawn anew only after it has changed.
void SchedulingLoop::update_view(Machine& m, const wire::MachineType& type) {
  sched::MachineView& v = snapshot_.machines[m.slot];
  v.name = m.name;
  v.type = m.type;
  v.zone = m.zone;
  v.spot = m.spot;
  v.total = v.free = {type.cpus, type.gpus, type.memory_gb};
  v.preemptible_tasks.clear();
  for (const auto& [key, c] : m.attempts) {
    const wire::Job& spec = c->job->spec;
    v.free -= request_of(spec);
    // Only what saves, runs, and is not being stopped already.
    if (!c->job->gang() && spec.checkpoint_s > 0 && c->state == TaskState::running && !c->stop)
      v.preemptible_tasks.push_back({spec.id, c->task, spec.priority, request_of(spec), spec.image,
                                     spec.spot, !spec.zone && !spec.one_zone && !spec.spread, 0,
                                     spec.save_s});
  }
  v.images = m.images;
  v.tasks = m.attempts.size();
  m.stale = false;
}

void SchedulingLoop::update_machines() {
  const Ms now = runtime_.now();
  const Ms fresh = net::ms(settings_.lease_s) / 3;
  for (auto& [name, m] : fleet_.machines()) {
    const wire::MachineType* type = catalog_.find(m.type);
    if (!type) continue;
    if (m.slot == Machine::kNoSlot) {
      if (free_slots_.empty()) {
        m.slot = snapshot_.machines.size();
        snapshot_.machines.emplace_back();
      } else {
        m.slot = free_slots_.back();
        free_slots_.pop_back();
      }
      m.stale = true;
    }
    if (m.stale) update_view(m, *type);
    // What time alone changes.
    sched::MachineView& v = snapshot_.machines[m.slot];
    v.price = m.spot ? type->spot_price : type->price;
    // A third of the lease without a word: whatever is started there may never be.
    v.schedulable = m.registered && !m.deleting && !m.draining && !m.preemption_at &&
                    m.unknown_tasks == 0 && now >= m.quarantined_until &&
                    now - m.last_heartbeat_at < fresh;
    // (One that reports shows within a report that it hears us, or it is no machine on its way.)
    v.booting = !m.registered && !m.deleting && m.attempts.empty() &&
                (m.first_heartbeat_at < 0
                     ? now - m.rented_at < net::ms(2 * type->boot_s)
                     : now - m.first_heartbeat_at < net::ms(settings_.heartbeat_interval_s));
    v.nominated_job.clear();
    if (now < m.nominated_until && jobs_.contains(m.nominated_job))
      v.nominated_job = m.nominated_job;
  }
  snapshot_.pending_scale_out.clear();
  for (const auto& [request, asked] : fleet_.pending_scale_out()) {
    const wire::MachineType* type = catalog_.find(asked.type);
    if (!type) continue;
    sched::MachineView v;
    v.type = asked.type;
    v.zone = asked.zone;
    v.spot = asked.spot;
    v.booting = true;
    v.total = v.free = {type->cpus, type->gpus, type->memory_gb};
    snapshot_.pending_scale_out.insert(snapshot_.pending_scale_out.end(),
                                       static_cast<std::size_t>(asked.count), v);
  }
}

void SchedulingLoop::update_teams() {
  snapshot_.teams.clear();
  for (const config::Team& t : settings_.teams) {
    sched::TeamView& v = snapshot_.teams[t.name];
    if (t.cpus_max > 0) v.cpus_max = t.cpus_max;
    if (t.gpus_max > 0) v.gpus_max = t.gpus_max;
    const sched::Resources usage = attempts_.usage(t.name);
    v.cpus = usage.cpus;
    v.gpus = usage.gpus;
  }
}

// A job is within its team's guarantee if it fits there together with the team's earlier unfinished
// jobs.
std::set<const JobRecord*> SchedulingLoop::guaranteed_jobs() const {
  std::vector<const JobRecord*> order;
  for (const auto& [id, job] : jobs_)
    // (What waits for others holds no part of its team's guarantee.)
    if (job->active() && job->spec.gpus > 0 && dependencies_.ready(id)) order.push_back(job.get());
  std::sort(order.begin(), order.end(), [](const JobRecord* a, const JobRecord* b) {
    return std::tie(a->created_ms, a->spec.id) < std::tie(b->created_ms, b->spec.id);
  });
  std::map<std::string, double> asked;
  std::set<const JobRecord*> result;
  for (const JobRecord* job : order) {
    const config::Team* team = settings_.team(job->spec.team);
    double& gpus = asked[job->spec.team];
    gpus += (job->spec.tasks - job->finished_count) * job->spec.gpus;
    if (team && gpus <= team->gpus) result.insert(job);
  }
  return result;
}

// The first tasks that wait, `most` of them; of a gang all, however large, since it is placed
// whole.
std::vector<std::uint32_t> SchedulingLoop::pending_tasks(const JobRecord& job, std::size_t most) {
  std::vector<std::uint32_t> pending;
  for (std::uint32_t task = job.first_unclaimed_task; task < job.spec.tasks; ++task) {
    if (!job.gang() && pending.size() == most) break;
    if (!job.claimed[task]) pending.push_back(task);
  }
  return pending;
}

// Where a copy of an earlier attempt's start may still come late, that attempt is not forgotten,
// and would be in the way of this one.
std::set<std::pair<std::uint32_t, std::size_t>> SchedulingLoop::tasks_to_avoid(JobRecord& job) {
  std::set<std::pair<std::uint32_t, std::size_t>> anti_affinity;
  for (auto left = job.unreaped_attempts.begin(); left != job.unreaped_attempts.end();) {
    const auto& [task, name] = *left;
    const Machine* machine = fleet_.find(name);
    if (!machine || !machine->may_replay_start({job.spec.id, task})) {
      left = job.unreaped_attempts.erase(left);
      continue;
    }
    if (machine->slot != Machine::kNoSlot) anti_affinity.insert({task, machine->slot});
    ++left;
  }
  return anti_affinity;
}

// Room that a gang holds is taken in the snapshot before anything is placed.
void SchedulingLoop::apply_reservations(const JobRecord& job, sched::JobView& view) {
  for (const auto& [task, name] : job.reservations) {
    const Machine* machine = fleet_.find(name);
    if (!machine || machine->slot == Machine::kNoSlot) continue;
    sched::MachineView& room = snapshot_.machines[machine->slot];
    if (!room.schedulable) continue;
    room.free -= view.request;
    snapshot_.teams[view.team].cpus += view.request.cpus;
    snapshot_.teams[view.team].gpus += view.request.gpus;
    view.reservations.push_back({task, machine->slot});
  }
}

std::vector<JobRecord*> SchedulingLoop::update_jobs() {
  snapshot_.jobs.clear();
  std::vector<JobRecord*> jobs;
  const Ms now = runtime_.now();
  const auto guaranteed = guaranteed_jobs();
  for (const auto& [id, job] : jobs_) {
    if (!job->active() || job->unreadable || job->first_unclaimed_task == job->spec.tasks) continue;
    // No task before all that the job depends on is durably done: also no room held, no machine
    // rented, no limit taken.
    if (!dependencies_.ready(id)) continue;
    const bool gang = job->gang();
    if (gang && !job->attempts.empty()) continue;  // the next attempt waits for all of the last
    // A job that fails everywhere takes room for one task, to see whether it still does.
    const bool probe = job->fails_everywhere() && job->running == 0 && !gang;
    if (probe && !job->attempts.empty()) continue;
    sched::JobView v;
    v.pending = pending_tasks(*job, probe ? 1 : kPassTasks);
    if (v.pending.empty()) {
      job->first_unclaimed_task = job->spec.tasks;
      continue;
    }
    job->first_unclaimed_task = v.pending.front();
    v.id = id;
    v.team = job->spec.team;
    v.kind = job->spec.kind;
    v.priority = dependencies_.effective_priority(id);
    v.created_ms = job->created_ms;
    v.request = request_of(job->spec);
    v.types = &job->spec.types;
    v.zone = job->spec.zone;
    v.one_zone = job->spec.one_zone;
    v.spread = job->spec.spread;
    v.spot = job->spec.spot;
    v.image = job->spec.image;
    v.wait_budget_s = wait_budget_s(*job);
    v.urgent = arrivals_.contains(job->spec.job_class);
    v.within_guarantee = guaranteed.contains(job.get());
    v.fair_share_rank = v.within_guarantee ? 0 : 1;
    v.tasks = job->spec.tasks;
    for (const auto& [task, c] : job->attempts) ++v.placed[c.machine->zone];
    v.blocked = now < job->retry_at;
    v.anti_affinity = tasks_to_avoid(*job);
    v.all_or_nothing = job->all_or_nothing;
    if (!v.blocked) apply_reservations(*job, v);
    snapshot_.jobs.push_back(std::move(v));
    jobs.push_back(job.get());
  }
  return jobs;
}

// A gang that timed out holds nothing until all of it fits, and would starve while smaller ones
// take what comes free. So the first such gang in the queue goes on holding, one for each zone:
// what comes free there goes to it, and what it lacks is rented there. It moves on if that takes
// too long.
void SchedulingLoop::reserve_zones(const std::vector<JobRecord*>& jobs) {
  const Ms now = runtime_.now();
  std::set<std::string> taken;
  for (const std::size_t j : sched::queue_order(snapshot_.jobs)) {
    JobRecord& job = *jobs[j];
    sched::JobView& v = snapshot_.jobs[j];
    if (!job.gang() || !v.one_zone || !job.all_or_nothing || v.blocked) continue;
    const bool late = now - job.zone_reserved_since > net::ms(kReservationBoots * longest_boot_s());
    if (job.reserved_zone.empty() || late || taken.contains(job.reserved_zone)) {
      // Machines that could take a task, were they empty.
      std::map<std::string, std::uint32_t> hosts;
      for (const sched::MachineView& m : snapshot_.machines)
        if ((m.schedulable || m.booting) && !taken.contains(m.zone) &&
            sched::allowed(v, m.type, m.zone, m.spot) && sched::capacity(v.request, m.total) > 0)
          ++hosts[m.zone];
      if (late) hosts.erase(job.reserved_zone);
      std::string best;
      for (const auto& [zone, n] : hosts)
        if (best.empty() || n > hosts[best]) best = zone;
      if (best.empty()) continue;
      job.reserved_zone = best;
      job.zone_reserved_since = now;
    }
    taken.insert(job.reserved_zone);
    v.reserved_zone = job.reserved_zone;
    v.all_or_nothing = false;
  }
}

}  // namespace seampass::leader
