#include "sched/machine_pools.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

#include "sched/filter.h"

namespace seampass::sched {
namespace {

// The maximum number of infeasible requests that a pool records, which bounds the cost of comparing
// a new request with them.
constexpr std::size_t kMaxInfeasibleRequests = 16;

bool is_infeasible(const Resources& request, const MachinePool& pool) {
  return std::any_of(pool.infeasible_requests.begin(), pool.infeasible_requests.end(),
                     [&](const Resources& infeasible) { return infeasible.fits_in(request); });
}

}  // namespace

MachinePools::MachinePools(const ClusterSnapshot& snapshot) : snapshot_(snapshot) {
  std::map<std::tuple<std::string_view, std::string_view, bool>, std::size_t> pool_index;
  for (std::size_t i = 0; i < snapshot_.machines.size(); ++i) {
    const MachineView& machine = snapshot_.machines[i];
    if (!machine.schedulable) continue;
    const auto [entry, is_new] =
        pool_index.try_emplace({machine.type, machine.zone, machine.spot}, pools_.size());
    if (is_new) pools_.push_back({&machine, {}, {}});
    pools_[entry->second].machines.push_back(i);
  }
}

std::vector<MachineScore> MachinePools::candidates(const JobView& job, const std::string* zone) {
  std::vector<MachineScore> list;
  for (MachinePool& pool : pools_) {
    if (zone && pool.sample->zone != *zone) continue;
    if (!allowed(job, *pool.sample) || is_infeasible(job.request, pool)) continue;
    add_candidates(job, pool, list);
  }
  std::sort(list.begin(), list.end());
  return list;
}

void MachinePools::add_candidates(const JobView& job, MachinePool& pool,
                                  std::vector<MachineScore>& list) {
  bool any_fits = false;
  for (const std::size_t i : pool.machines) {
    const MachineView& machine = snapshot_.machines[i];
    ++machines_examined_;
    if (!job.request.fits_in(machine.free)) continue;
    any_fits = true;
    if (!machine.nominated_job.empty() && machine.nominated_job != job.id) continue;
    list.push_back(score(job, snapshot_, i));
  }
  if (!any_fits && pool.infeasible_requests.size() < kMaxInfeasibleRequests)
    pool.infeasible_requests.push_back(job.request);
}

void MachinePools::clear_infeasible_requests() {
  for (MachinePool& pool : pools_) pool.infeasible_requests.clear();
}

}  // namespace seampass::sched
