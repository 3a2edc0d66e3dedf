#include "leader/scheduling/job_views.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "leader/scheduling/views.h"

namespace seampass::leader {

using net::Ms;

namespace {

// Pending tasks of one job that a pass looks at.
constexpr std::size_t kPassTasks = 256;

// The first tasks that wait, `most` of them; of a gang all, however large, since it is placed
// whole.
std::vector<std::uint32_t> pending_tasks(const JobRecord& job, std::size_t most) {
  std::vector<std::uint32_t> pending;
  for (std::uint32_t task = job.first_unclaimed_task; task < job.spec.tasks; ++task) {
    if (!job.gang() && pending.size() == most) break;
    if (!job.claimed[task]) pending.push_back(task);
  }
  return pending;
}

}  // namespace

std::vector<JobRecord*> JobViews::update(sched::ClusterSnapshot& snapshot) {
  snapshot.jobs.clear();
  std::vector<JobRecord*> jobs;
  const Ms now = sources_.runtime.now();
  const auto guaranteed = jobs_within_guarantee();
  for (const auto& [id, job] : sources_.jobs) {
    const Extent extent = extent_of(*job);
    if (extent == Extent::none) continue;
    auto pending = pending_tasks(*job, extent == Extent::probe ? 1 : kPassTasks);
    if (pending.empty()) {
      job->first_unclaimed_task = job->spec.tasks;
      continue;
    }
    job->first_unclaimed_task = pending.front();
    sched::JobView view = view_of(*job);
    view.pending = std::move(pending);
    view.priority = sources_.dependencies.effective_priority(id);
    view.wait_budget_s = deadlines_.wait_budget_s(*job);
    view.urgent = deadlines_.has_start_objective(job->spec.job_class);
    view.within_guarantee = guaranteed.contains(job.get());
    view.fair_share_rank = view.within_guarantee ? 0 : 1;
    view.blocked = now < job->retry_at;
    view.anti_affinity = tasks_to_avoid(*job);
    if (!view.blocked) apply_reservations(*job, view, snapshot);
    snapshot.jobs.push_back(std::move(view));
    jobs.push_back(job.get());
  }
  return jobs;
}

JobViews::Extent JobViews::extent_of(const JobRecord& job) const {
  if (!job.active() || job.unreadable || job.first_unclaimed_task == job.spec.tasks)
    return Extent::none;
  // No task before all that the job depends on is durably done: also no room held, no machine
  // rented, no limit taken.
  if (!sources_.dependencies.ready(job.spec.id)) return Extent::none;
  // A gang's next attempt waits for all of the last.
  if (job.gang()) return job.attempts.empty() ? Extent::full : Extent::none;
  if (!job.fails_everywhere() || job.running != 0) return Extent::full;
  // A job that fails everywhere takes room for one task, to see whether it still does.
  return job.attempts.empty() ? Extent::probe : Extent::none;
}

// A job is within its team's guarantee if it fits there together with the team's earlier unfinished
// jobs.
std::set<const JobRecord*> JobViews::jobs_within_guarantee() const {
  std::vector<const JobRecord*> order;
  for (const auto& [id, job] : sources_.jobs)
    // (What waits for others holds no part of its team's guarantee.)
    if (job->active() && job->spec.gpus > 0 && sources_.dependencies.ready(id))
      order.push_back(job.get());
  std::sort(order.begin(), order.end(), [](const JobRecord* left, const JobRecord* right) {
    return std::tie(left->created_ms, left->spec.id) < std::tie(right->created_ms, right->spec.id);
  });
  std::map<std::string, double> requested_gpus;  // by team
  std::set<const JobRecord*> result;
  for (const JobRecord* job : order) {
    const config::Team* team = sources_.settings.team(job->spec.team);
    double& gpus = requested_gpus[job->spec.team];
    gpus += (job->spec.tasks - job->finished_count) * job->spec.gpus;
    if (team && gpus <= team->gpus) result.insert(job);
  }
  return result;
}

// Where a copy of an earlier attempt's start may still come late, that attempt is not forgotten,
// and would be in the way of this one.
std::set<std::pair<std::uint32_t, std::size_t>> JobViews::tasks_to_avoid(JobRecord& job) {
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
void JobViews::apply_reservations(const JobRecord& job, sched::JobView& view,
                                  sched::ClusterSnapshot& snapshot) {
  for (const auto& [task, name] : job.reservations) {
    const Machine* machine = fleet_.find(name);
    if (!machine || machine->slot == Machine::kNoSlot) continue;
    sched::MachineView& room = snapshot.machines[machine->slot];
    if (!room.open) continue;
    room.free -= view.request;
    sched::TeamView& team = snapshot.teams[view.team];
    team.cpus += view.request.cpus;
    team.gpus += view.request.gpus;
    view.reservations.push_back({task, machine->slot});
  }
}

}  // namespace seampass::leader
