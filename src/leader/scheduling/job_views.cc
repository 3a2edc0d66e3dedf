#include "leader/scheduling/job_views.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "leader/scheduling/views.h"

namespace seampass::leader {

using net::Ms;

namespace {

// The maximum number of pending tasks of one job that a pass considers.
constexpr std::uint32_t kMaxPendingTasksPerJob = 256;

// Returns the first `max_tasks` pending tasks of the job. For a gang it returns all pending tasks,
// however many, because a gang is placed as a whole.
sched::TaskRanges pending_tasks(const JobRecord& job, std::uint32_t max_tasks) {
  if (job.gang()) max_tasks = job.spec.tasks;
  if (job.attempts.empty() && job.finished_count == 0)
    return sched::TaskRanges::up_to(std::min(max_tasks, job.spec.tasks));
  sched::TaskRanges pending;
  for (std::uint32_t task = job.first_unclaimed_task; task < job.spec.tasks; ++task) {
    if (pending.size() == max_tasks) break;
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
    auto pending = pending_tasks(*job, extent == Extent::probe ? 1 : kMaxPendingTasksPerJob);
    if (pending.empty()) {
      job->first_unclaimed_task = job->spec.tasks;
      continue;
    }
    job->first_unclaimed_task = pending.front();
    sched::JobView view = view_of(*job);
    view.pending = std::move(pending);
    view.priority = sources_.dependencies.effective_priority(id);
    view.wait_budget_s = deadlines_.wait_budget_s(*job);
    view.has_start_objective = deadlines_.has_start_objective(job->spec.job_class);
    view.within_guarantee = guaranteed.contains(job.get());
    view.fair_share_rank = view.within_guarantee ? 0 : 1;
    view.blocked = now < job->retry_at;
    if (!view.blocked) apply_reservations(*job, view, snapshot);
    snapshot.jobs.push_back(std::move(view));
    jobs.push_back(job.get());
  }
  return jobs;
}

JobViews::Extent JobViews::extent_of(const JobRecord& job) const {
  if (!job.active() || job.has_unreadable_record || job.first_unclaimed_task == job.spec.tasks)
    return Extent::none;
  // No task may start before every job that this job depends on is durably done (docs/safety.md,
  // "No task starts too early"). Until then the job also reserves no capacity, causes no scale-out
  // and counts towards no team limit.
  if (!sources_.dependencies.ready(job.spec.id)) return Extent::none;
  // A gang's next attempt starts only after all attempts of the previous one have been removed.
  if (job.gang()) return job.attempts.empty() ? Extent::full : Extent::none;
  if (!job.fails_everywhere() || job.running_attempts != 0) return Extent::full;
  // A job that failed on more than one machine gets capacity for a single task, which shows whether
  // the job still fails.
  return job.attempts.empty() ? Extent::probe : Extent::none;
}

// Returns the jobs that are within their team's guaranteed quota: a job is within it if the quota
// covers the job together with all earlier unfinished jobs of the team.
std::set<const JobRecord*> JobViews::jobs_within_guarantee() const {
  std::vector<const JobRecord*> jobs_by_age;
  for (const auto& [id, job] : sources_.jobs)
    // A job that still waits for its dependencies uses none of the guaranteed quota of its team.
    if (job->active() && job->spec.gpus > 0 && sources_.dependencies.ready(id))
      jobs_by_age.push_back(job.get());
  std::sort(jobs_by_age.begin(), jobs_by_age.end(),
            [](const JobRecord* left, const JobRecord* right) {
              return std::tie(left->created_ms, left->spec.id) <
                     std::tie(right->created_ms, right->spec.id);
            });
  std::map<std::string, double> requested_gpus;  // by team
  std::set<const JobRecord*> result;
  for (const JobRecord* job : jobs_by_age) {
    const config::Team* team = sources_.settings.team(job->spec.team);
    double& gpus = requested_gpus[job->spec.team];
    gpus += (job->spec.tasks - job->finished_count) * job->spec.gpus;
    if (team && gpus <= team->gpus) result.insert(job);
  }
  return result;
}

// Subtracts the capacity that the gang has reserved from the snapshot before the pass places any
// task.
void JobViews::apply_reservations(const JobRecord& job, sched::JobView& view,
                                  sched::ClusterSnapshot& snapshot) {
  for (const auto& [task, name] : job.reservations) {
    const Machine* machine = fleet_.find(name);
    if (!machine || machine->slot == Machine::kNoSlot) continue;
    sched::MachineView& machine_view = snapshot.machines[machine->slot];
    if (!machine_view.schedulable) continue;
    machine_view.free -= view.request;
    sched::TeamView& team = snapshot.teams[view.team];
    team.cpus += view.request.cpus;
    team.gpus += view.request.gpus;
    view.reservations.push_back({task, machine->slot});
  }
}

}  // namespace seampass::leader
