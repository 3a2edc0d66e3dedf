#include "sched/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

#include "sched/filter.h"
#include "sched/queue_order.h"

namespace seampass::sched {
namespace {

// Returns the free resources of `machine` plus those that its ending tasks are expected to release
// within the job's wait budget.
Resources free_within_wait_budget(const JobView& job, const MachineView& machine,
                                  const Resources& free) {
  Resources result = free;
  for (const ExpectedRelease& release : machine.releases)
    if (release.in_s <= job.wait_budget_s) result += release.resources;
  return result;
}

}  // namespace

ScalingPlan plan_scaling(const ClusterSnapshot& snapshot,
                         const std::vector<ScaleOutOption>& options,
                         const std::vector<Headroom>& headroom) {
  return Autoscaler(snapshot, options).plan(headroom);
}

Autoscaler::Autoscaler(const ClusterSnapshot& snapshot, const std::vector<ScaleOutOption>& options)
    : snapshot_(snapshot),
      teams_(snapshot.teams),
      options_(options),
      rent_counts_(options.size(), 0) {
  for (std::size_t i = 0; i < snapshot.machines.size(); ++i) add_candidate(snapshot.machines[i], i);
  for (const MachineView& machine : snapshot.pending_scale_out)
    add_candidate(machine, snapshot.machines.size());
}

void Autoscaler::add_candidate(const MachineView& machine, std::size_t index) {
  if (!machine.nominated_job.empty()) nominated_[machine.nominated_job].push_back(&machine);
  if (machine.schedulable && !machine.releases.empty()) releasing_.push_back(candidates_.size());
  if (machine.booting) booting_.push_back(candidates_.size());
  if (machine.schedulable || machine.booting)
    candidates_.push_back({&machine, index, machine.free});
}

ScalingPlan Autoscaler::plan(const std::vector<Headroom>& headroom) {
  for (const std::size_t index : queue_order(snapshot_.jobs)) {
    const JobView& job = snapshot_.jobs[index];
    if (!job.blocked && !job.pending.empty()) plan_job(job);
  }
  for (const Headroom& expected : headroom) plan_headroom(expected);
  for (std::size_t i = 0; i < options_.size(); ++i)
    if (rent_counts_[i] > 0) plan_.scale_out.push_back({i, rent_counts_[i]});
  return std::move(plan_);
}

void Autoscaler::plan_job(const JobView& job) {
  TeamView& team = teams_[job.team];
  std::uint32_t missing = missing_tasks(job, team);
  missing -= tasks_with_nominated_machines(job, missing);
  if (missing == 0) return;
  team.cpus += missing * job.request.cpus;
  team.gpus += missing * job.request.gpus;

  Demand demand{job, missing, placed_or_reserved(job, snapshot_), ""};
  demand.required_zone = required_zone(job, demand.tasks_by_zone);
  if (job.one_zone && demand.required_zone.empty())
    demand.required_zone = cheapest_zone(job, missing);
  use_releasing_machines(demand);
  use_booting_machines(demand);
  Budget unlimited;
  scale_out(demand, unlimited);
}

// Headroom is charged to no team's quota, and no zone is chosen for it, because the team and the
// zone of the expected tasks are not known.
void Autoscaler::plan_headroom(const Headroom& headroom) {
  const JobView& job = headroom.job;
  Demand demand{job, missing_tasks(job, TeamView{}), placed_or_reserved(job, snapshot_), ""};
  if (demand.missing == 0) return;
  demand.required_zone = required_zone(job, demand.tasks_by_zone);
  Budget budget{headroom.budget, headroom.max_price};
  use_machines_as_headroom(demand, budget);
  scale_out(demand, budget);
}

// Only tasks without a reservation are compared with the quota, because the team's usage already
// includes the reserved tasks.
std::uint32_t Autoscaler::missing_tasks(const JobView& job, const TeamView& team) {
  const auto unreserved = static_cast<std::uint32_t>(job.unreserved_tasks());
  const std::uint32_t within_quota = std::min(unreserved, team.tasks_within_quota(job.request));
  return job.kind == wire::JobKind::gang && within_quota < unreserved ? 0 : within_quota;
}

// Returns how many of the missing tasks fit on the machines that are nominated for the job. For
// a gang, each machine counts as one task, as in Preemptor::plan_stops().
std::uint32_t Autoscaler::tasks_with_nominated_machines(const JobView& job,
                                                        std::uint32_t missing) const {
  const auto nominated = nominated_.find(job.id);
  if (nominated == nominated_.end()) return 0;
  std::uint32_t placeable = 0;
  for (const MachineView* machine : nominated->second) {
    const std::uint32_t tasks =
        job.kind == wire::JobKind::gang ? 1 : capacity(job.request, machine->total);
    placeable += std::min(missing - placeable, tasks);
  }
  return placeable;
}

std::string Autoscaler::required_zone(const JobView& job, const ZoneCounts& tasks_by_zone) {
  std::string zone_name = job.zone.value_or(job.reserved_zone.value_or(""));
  if (!job.one_zone || !zone_name.empty()) return zone_name;
  for (const auto& [zone, count] : tasks_by_zone)
    if (count > 0) zone_name = zone;
  return zone_name;
}

// Returns the zone for a job whose tasks must share one zone. The best zone needs the fewest
// additional machines; among equals, it has the lowest price for them. A zone that needs additional
// machines and has no suitable offer comes last.
std::string Autoscaler::cheapest_zone(const JobView& job, std::uint32_t missing) const {
  std::string best;
  std::tuple<bool, double, double> best_cost;
  for (const auto& [zone, fitting_machines] : fitting_machines_by_zone(job)) {
    const double machines_to_rent = missing - std::min(missing, fitting_machines);
    const double price = cheapest_price(job, zone);
    const bool not_offered = machines_to_rent > 0 && !std::isfinite(price);
    const auto cost =
        std::make_tuple(not_offered, machines_to_rent, not_offered ? 0 : machines_to_rent * price);
    if (best.empty() || cost < best_cost) {
      best = zone;
      best_cost = cost;
    }
  }
  return best;
}

// Counts, for each zone, the releasing and booting machines that can take a task of the job. For a
// releasing machine, resources that come free within the job's wait budget count as free.
ZoneCounts Autoscaler::fitting_machines_by_zone(const JobView& job) const {
  ZoneCounts fitting_machines;
  for (const ScaleOutOption& option : options_) fitting_machines.try_emplace(option.zone, 0);
  const auto count = [&](const MachineView& machine, const Resources& free) {
    fitting_machines[machine.zone] += job.request.fits_in(free) ? 1 : 0;
  };
  for (const std::size_t i : releasing_) {
    const CandidateMachine& candidate = candidates_[i];
    if (allowed(job, *candidate.machine))
      count(*candidate.machine, free_within_wait_budget(job, *candidate.machine, candidate.free));
  }
  for (const std::size_t i : booting_)
    if (allowed(job, *candidates_[i].machine)) count(*candidates_[i].machine, candidates_[i].free);
  return fitting_machines;
}

// Returns the lowest hourly price among the offers in `zone` that the job may use and a task fits
// on; infinity if there is none.
double Autoscaler::cheapest_price(const JobView& job, const std::string& zone) const {
  double price = std::numeric_limits<double>::infinity();
  for (const ScaleOutOption& option : options_)
    if (option.zone == zone && allowed(job, option) && capacity(job.request, option.total) > 0)
      price = std::min(price, option.price);
  return price;
}

bool Autoscaler::Demand::zone_allowed(const std::string& zone) const {
  if (!required_zone.empty() && zone != required_zone) return false;
  return spread_allows(job, tasks_by_zone, zone);
}

void Autoscaler::Demand::assign_task_to(CandidateMachine& candidate) {
  candidate.free -= job.request;
  ++tasks_by_zone[candidate.machine->zone];
  --missing;
}

// Places tasks on running machines whose resources come free within the job's wait budget. This
// adds no cost, because these machines are already rented.
void Autoscaler::use_releasing_machines(Demand& demand) {
  const JobView& job = demand.job;
  for (const std::size_t i : releasing_) {
    if (demand.missing == 0) return;
    CandidateMachine& candidate = candidates_[i];
    if (!allowed(job, *candidate.machine)) continue;
    Resources free = free_within_wait_budget(job, *candidate.machine, candidate.free);
    while (demand.missing > 0 && job.request.fits_in(free) &&
           demand.zone_allowed(candidate.machine->zone)) {
      free -= job.request;
      demand.assign_task_to(candidate);
    }
  }
}

// Places tasks on booting machines, including those that this plan adds for earlier jobs.
void Autoscaler::use_booting_machines(Demand& demand) {
  for (const std::size_t i : booting_) {
    if (demand.missing == 0) return;
    CandidateMachine& candidate = candidates_[i];
    if (!allowed(demand.job, *candidate.machine)) continue;
    while (demand.fits(candidate)) demand.assign_task_to(candidate);
  }
}

// Places headroom on existing machines in order of price: booting machines and schedulable ones,
// including idle ones.
void Autoscaler::use_machines_as_headroom(Demand& demand, Budget& budget) {
  for (const std::size_t i : candidates_by_price()) {
    if (demand.missing == 0) return;
    CandidateMachine& candidate = candidates_[i];
    if (candidate.machine->price > budget.max_price || !allowed(demand.job, *candidate.machine))
      continue;
    while (demand.fits(candidate)) {
      if (candidate.machine->schedulable && !keep_as_headroom(candidate, budget)) break;
      demand.assign_task_to(candidate);
    }
  }
}

std::vector<std::size_t> Autoscaler::candidates_by_price() const {
  std::vector<std::size_t> order(candidates_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
    return candidates_[left].machine->price < candidates_[right].machine->price;
  });
  return order;
}

// Only an idle machine is charged to the headroom budget. A machine that runs tasks is rented
// whether or not it also serves as headroom.
bool Autoscaler::keep_as_headroom(const CandidateMachine& candidate, Budget& budget) {
  if (plan_.headroom_machines.contains(candidate.index)) return true;
  const MachineView& machine = *candidate.machine;
  const bool is_idle =
      candidate.free.cpus >= machine.total.cpus && candidate.free.gpus >= machine.total.gpus;
  if (is_idle && machine.price > budget.remaining) return false;
  if (is_idle) budget.remaining -= machine.price;
  plan_.headroom_machines.insert(candidate.index);
  return true;
}

// If the cheapest option is used up, the rest of the demand is left to the next plan, which knows
// what the cloud has rented by then.
void Autoscaler::scale_out(Demand& demand, Budget& budget) {
  while (demand.missing > 0) {
    const std::optional<std::size_t> best = cheapest_option(demand, budget);
    if (!best) return;
    const ScaleOutOption& option = options_[*best];
    if (rent_counts_[*best] == option.max_count) return;
    ++rent_counts_[*best];
    budget.remaining -= option.price;
    CandidateMachine& candidate = add_planned_machine(option);
    while (demand.fits(candidate)) demand.assign_task_to(candidate);
  }
}

// Returns the option with the lowest price per missing task that fits on one machine; no value if
// no option is allowed and within the budget.
std::optional<std::size_t> Autoscaler::cheapest_option(const Demand& demand,
                                                       const Budget& budget) const {
  std::optional<std::size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < options_.size(); ++i) {
    const ScaleOutOption& option = options_[i];
    const std::uint32_t tasks =
        std::min(capacity(demand.job.request, option.total), demand.missing);
    if (tasks == 0 || !allowed(demand.job, option) || !demand.zone_allowed(option.zone)) continue;
    if (option.price > budget.remaining || option.price > budget.max_price) continue;
    const double cost = option.price / tasks;
    if (cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// The new machine is listed among the booting ones, so that later jobs can use its free resources.
Autoscaler::CandidateMachine& Autoscaler::add_planned_machine(const ScaleOutOption& option) {
  MachineView& machine = planned_machines_.emplace_back();
  machine.type = option.type;
  machine.zone = option.zone;
  machine.spot = option.spot;
  machine.price = option.price;
  machine.total = machine.free = option.total;
  booting_.push_back(candidates_.size());
  return candidates_.emplace_back(
      CandidateMachine{&machine, snapshot_.machines.size(), option.total});
}

}  // namespace seampass::sched
