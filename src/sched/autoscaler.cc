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

// A machine's free room with what comes free while the job may wait.
Resources free_in_time(const JobView& job, const MachineView& machine, const Resources& free) {
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
    : snapshot_(snapshot), teams_(snapshot.teams), options_(options), counts_(options.size(), 0) {
  for (std::size_t i = 0; i < snapshot.machines.size(); ++i) add(snapshot.machines[i], i);
  for (const MachineView& machine : snapshot.pending_scale_out)
    add(machine, snapshot.machines.size());
}

void Autoscaler::add(const MachineView& machine, std::size_t index) {
  if (!machine.nominated_job.empty()) nominated_[machine.nominated_job].push_back(&machine);
  if (machine.schedulable && !machine.releases.empty()) releasing_.push_back(rooms_.size());
  if (machine.booting) booting_.push_back(rooms_.size());
  if (machine.schedulable || machine.booting) rooms_.push_back({&machine, index, machine.free});
}

ScalingPlan Autoscaler::plan(const std::vector<Headroom>& headroom) {
  for (const std::size_t index : queue_order(snapshot_.jobs)) {
    const JobView& job = snapshot_.jobs[index];
    if (!job.blocked && !job.pending.empty()) provide_for(job);
  }
  for (const Headroom& expected : headroom) provide_headroom(expected);
  for (std::size_t i = 0; i < options_.size(); ++i)
    if (counts_[i] > 0) plan_.scale_out.push_back({i, counts_[i]});
  return std::move(plan_);
}

void Autoscaler::provide_for(const JobView& job) {
  TeamView& team = teams_[job.team];
  std::uint32_t missing = missing_tasks(job, team);
  missing -= nominated_room(job, missing);
  if (missing == 0) return;
  team.cpus += missing * job.request.cpus;
  team.gpus += missing * job.request.gpus;

  Demand demand{job, missing, placed_or_reserved(job, snapshot_), ""};
  demand.required_zone = required_zone(job, demand.in_zone);
  if (job.one_zone && demand.required_zone.empty())
    demand.required_zone = cheapest_zone(job, missing);
  use_releasing_rooms(demand);
  use_booting_rooms(demand);
  Budget unlimited;
  scale_out(demand, unlimited);
}

// No team's quota counts, and no zone is chosen: it is not known whose tasks will come.
void Autoscaler::provide_headroom(const Headroom& headroom) {
  const JobView& job = headroom.job;
  Demand demand{job, missing_tasks(job, TeamView{}), placed_or_reserved(job, snapshot_), ""};
  if (demand.missing == 0) return;
  demand.required_zone = required_zone(job, demand.in_zone);
  Budget budget{headroom.budget, headroom.max_price};
  use_headroom_rooms(demand, budget);
  scale_out(demand, budget);
}

// (Tasks with a reservation are in the team's use already.)
std::uint32_t Autoscaler::missing_tasks(const JobView& job, const TeamView& team) {
  const auto unreserved = static_cast<std::uint32_t>(job.unreserved_tasks());
  const std::uint32_t within_quota = std::min(unreserved, team.allows(job.request));
  return job.kind == wire::JobKind::gang && within_quota < unreserved ? 0 : within_quota;
}

// How many of the missing tasks have room on machines that are nominated for the job.
std::uint32_t Autoscaler::nominated_room(const JobView& job, std::uint32_t missing) const {
  const auto nominated = nominated_.find(job.id);
  if (nominated == nominated_.end()) return 0;
  std::uint32_t room = 0;
  for (const MachineView* machine : nominated->second) {
    const std::uint32_t tasks =
        job.kind == wire::JobKind::gang ? 1 : capacity(job.request, machine->total);
    room += std::min(missing - room, tasks);
  }
  return room;
}

std::string Autoscaler::required_zone(const JobView& job, const ZoneCounts& in_zone) {
  std::string zone_name = job.zone.value_or(job.reserved_zone.value_or(""));
  if (!job.one_zone || !zone_name.empty()) return zone_name;
  for (const auto& [zone, count] : in_zone)
    if (count > 0) zone_name = zone;
  return zone_name;
}

// The zone where a job of one zone lacks the fewest machines, at the lowest price; where it lacks
// any, they must be offered there.
std::string Autoscaler::cheapest_zone(const JobView& job, std::uint32_t missing) const {
  std::string best;
  std::tuple<bool, double, double> best_cost;
  for (const auto& [zone, rooms] : rooms_by_zone(job)) {
    const double lacking = missing - std::min(missing, rooms);
    const double price = cheapest_price(job, zone);
    const bool impossible = lacking > 0 && !std::isfinite(price);
    const auto cost = std::make_tuple(impossible, lacking, impossible ? 0 : lacking * price);
    if (best.empty() || cost < best_cost) {
      best = zone;
      best_cost = cost;
    }
  }
  return best;
}

// Machines with room for a task, by zone: those where it comes free in time and those that boot.
ZoneCounts Autoscaler::rooms_by_zone(const JobView& job) const {
  ZoneCounts rooms;
  for (const ScaleOutOption& option : options_) rooms.try_emplace(option.zone, 0);
  const auto count = [&](const MachineView& machine, const Resources& free) {
    rooms[machine.zone] += job.request.fits_in(free) ? 1 : 0;
  };
  for (const std::size_t i : releasing_) {
    const Room& room = rooms_[i];
    if (allowed(job, *room.machine))
      count(*room.machine, free_in_time(job, *room.machine, room.free));
  }
  for (const std::size_t i : booting_)
    if (allowed(job, *rooms_[i].machine)) count(*rooms_[i].machine, rooms_[i].free);
  return rooms;
}

// Infinite if no machine that the job may use is offered there.
double Autoscaler::cheapest_price(const JobView& job, const std::string& zone) const {
  double price = std::numeric_limits<double>::infinity();
  for (const ScaleOutOption& option : options_)
    if (option.zone == zone && allowed(job, option) && capacity(job.request, option.total) > 0)
      price = std::min(price, option.price);
  return price;
}

bool Autoscaler::Demand::zone_allowed(const std::string& zone) const {
  if (!required_zone.empty() && zone != required_zone) return false;
  return spread_allows(job, in_zone, zone);
}

void Autoscaler::Demand::take(Room& room) {
  room.free -= job.request;
  ++in_zone[room.machine->zone];
  --missing;
}

// Room that comes free in time costs nothing more.
void Autoscaler::use_releasing_rooms(Demand& demand) {
  const JobView& job = demand.job;
  for (const std::size_t i : releasing_) {
    if (demand.missing == 0) return;
    Room& room = rooms_[i];
    if (!allowed(job, *room.machine)) continue;
    Resources free = free_in_time(job, *room.machine, room.free);
    while (demand.missing > 0 && job.request.fits_in(free) &&
           demand.zone_allowed(room.machine->zone)) {
      free -= job.request;
      demand.take(room);
    }
  }
}

void Autoscaler::use_booting_rooms(Demand& demand) {
  for (const std::size_t i : booting_) {
    if (demand.missing == 0) return;
    Room& room = rooms_[i];
    if (!allowed(demand.job, *room.machine)) continue;
    while (demand.fits(room)) demand.take(room);
  }
}

// Headroom is kept where it costs least, also on machines that are schedulable and free.
void Autoscaler::use_headroom_rooms(Demand& demand, Budget& budget) {
  for (const std::size_t i : rooms_by_price()) {
    if (demand.missing == 0) return;
    Room& room = rooms_[i];
    if (room.machine->price > budget.max_price || !allowed(demand.job, *room.machine)) continue;
    while (demand.fits(room)) {
      if (room.machine->schedulable && !keep_as_headroom(room, budget)) break;
      demand.take(room);
    }
  }
}

std::vector<std::size_t> Autoscaler::rooms_by_price() const {
  std::vector<std::size_t> order(rooms_.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [this](std::size_t left, std::size_t right) {
    return rooms_[left].machine->price < rooms_[right].machine->price;
  });
  return order;
}

// A machine that runs something is paid for anyhow.
bool Autoscaler::keep_as_headroom(const Room& room, Budget& budget) {
  if (plan_.headroom_machines.contains(room.index)) return true;
  const MachineView& machine = *room.machine;
  const bool is_idle = room.free.cpus >= machine.total.cpus && room.free.gpus >= machine.total.gpus;
  if (is_idle && machine.price > budget.left) return false;
  if (is_idle) budget.left -= machine.price;
  plan_.headroom_machines.insert(room.index);
  return true;
}

void Autoscaler::scale_out(Demand& demand, Budget& budget) {
  while (demand.missing > 0) {
    const std::optional<std::size_t> best = cheapest_option(demand, budget);
    if (!best) return;
    const ScaleOutOption& option = options_[*best];
    ++counts_[*best];
    budget.left -= option.price;
    Room& room = add_rented(option);
    while (demand.fits(room)) demand.take(room);
  }
}

// The cheapest for each task that finds room on it.
std::optional<std::size_t> Autoscaler::cheapest_option(const Demand& demand,
                                                       const Budget& budget) const {
  std::optional<std::size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < options_.size(); ++i) {
    const ScaleOutOption& option = options_[i];
    const std::uint32_t tasks =
        std::min(capacity(demand.job.request, option.total), demand.missing);
    if (tasks == 0 || !allowed(demand.job, option) || !demand.zone_allowed(option.zone)) continue;
    if (option.price > budget.left || option.price > budget.max_price) continue;
    const double cost = option.price / tasks;
    if (cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

// It counts as booting for the jobs that follow.
Autoscaler::Room& Autoscaler::add_rented(const ScaleOutOption& option) {
  MachineView& machine = rented_.emplace_back();
  machine.type = option.type;
  machine.zone = option.zone;
  machine.spot = option.spot;
  machine.price = option.price;
  machine.total = machine.free = option.total;
  booting_.push_back(rooms_.size());
  return rooms_.emplace_back(Room{&machine, snapshot_.machines.size(), option.total});
}

}  // namespace seampass::sched
