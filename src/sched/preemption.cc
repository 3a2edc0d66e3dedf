#include "sched/preemption.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "sched/filter.h"

namespace seampass::sched {
namespace {

// The cost of an image fetch, as a number of stopped tasks. A fetch takes longer than stopping a
// few more tasks does, so a machine that has the image is preferred.
constexpr std::size_t kImageFetchCost = 1000;

bool is_gang(const JobView& job) { return job.kind == wire::JobKind::gang; }

}  // namespace

std::vector<Preemption> Preemptor::plan_preemptions(std::size_t job_index) {
  const JobView& job = snapshot_.jobs[job_index];
  const std::optional<std::size_t> missing = missing_tasks(job);
  if (!missing) return {};
  Search search{job, *missing, placed_or_reserved(job, snapshot_), {}, {}};
  find_options(search);
  return nominate(search, job_index);
}

// Returns the number of tasks without a machine or reservation, limited by the team's quota. For a
// gang the result has no value if the quota does not allow all of them, because a gang starts only
// as a whole.
std::optional<std::size_t> Preemptor::missing_tasks(const JobView& job) {
  const std::size_t missing = job.unreserved_tasks();
  const std::size_t within_quota = snapshot_.teams[job.team].tasks_within_quota(job.request);
  if (!is_gang(job)) return std::min(missing, within_quota);
  if (missing > within_quota) return std::nullopt;
  return missing;
}

// Collects the machines where preemption helps. Machines that are already nominated for the job
// reduce the number of missing tasks; if they have capacity for all, that number becomes 0.
void Preemptor::find_options(Search& search) {
  const JobView& job = search.job;
  for (const MachinePool& pool : pools_.all()) {
    if (!allowed(job, *pool.sample)) continue;
    if (!zone_allows(job, search.tasks_by_zone, pool.sample->zone)) continue;
    for (const std::size_t i : pool.machines) {
      const MachineView& machine = snapshot_.machines[i];
      ++machines_examined_;
      if (machine.nominated_job == job.id) {
        const std::size_t task_capacity = capacity(job.request, machine.total);
        search.missing -= std::min(search.missing, task_capacity);
        if (search.missing == 0) return;
      }
      if (machine.nominated_job.empty()) add_option(search, i);
    }
  }
}

void Preemptor::add_option(Search& search, std::size_t machine_index) const {
  const MachineView& machine = snapshot_.machines[machine_index];
  if (machine.preemptible_tasks.empty()) return;
  Option option = plan_stops(search, machine);
  if (option.tasks_to_stop.empty() || option.new_tasks == 0) return;
  option.machine = machine_index;
  option.cost = option.tasks_to_stop.size() +
                (!machine.images.contains(search.job.image) ? kImageFetchCost : 0);
  search.capacity_by_zone[machine.zone] += option.new_tasks;
  search.options.push_back(std::move(option));
}

// Selects tasks of lower priority one by one until all missing tasks of the job fit on the machine.
// For a gang, it selects only until one of the job's tasks fits.
Preemptor::Option Preemptor::plan_stops(const Search& search, const MachineView& machine) {
  const JobView& job = search.job;
  Option option;
  Resources free = machine.free;
  const std::size_t max_new_tasks = is_gang(job) ? 1 : search.missing;
  for (const PreemptibleTask& task : machine.preemptible_tasks) {
    if (job.request.fits_in(free)) {
      free -= job.request;
      if (++option.new_tasks == max_new_tasks) break;
    }
    if (task.priority <= job.priority) continue;
    free += task.request;
    option.tasks_to_stop.push_back(task);
  }
  if (option.new_tasks < max_new_tasks && job.request.fits_in(free)) ++option.new_tasks;
  return option;
}

std::vector<Preemption> Preemptor::nominate(Search& search, std::size_t job_index) {
  const JobView& job = search.job;
  std::vector<Preemption> preemptions;
  std::sort(search.options.begin(), search.options.end(), [](const Option& a, const Option& b) {
    return std::tie(a.cost, a.machine) < std::tie(b.cost, b.machine);
  });
  const bool must_fit_in_one_zone = is_gang(job) && job.one_zone;
  for (Option& option : search.options) {
    if (search.missing == 0) break;
    MachineView& machine = snapshot_.machines[option.machine];
    if (!zone_allows(job, search.tasks_by_zone, machine.zone)) continue;
    if (must_fit_in_one_zone && search.capacity_by_zone[machine.zone] < search.missing) continue;
    machine.nominated_job = job.id;
    search.tasks_by_zone[machine.zone] += static_cast<std::uint32_t>(option.new_tasks);
    search.missing -= std::min(search.missing, option.new_tasks);
    preemptions.push_back({option.machine, job_index, std::move(option.tasks_to_stop)});
  }
  return preemptions;
}

}  // namespace seampass::sched
