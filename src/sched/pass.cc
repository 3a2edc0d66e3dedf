#include "sched/pass.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "sched/gang_placer.h"
#include "sched/machine_pools.h"
#include "sched/preemption.h"
#include "sched/queue_order.h"
#include "sched/task_placer.h"

namespace seampass::sched {
namespace {

class Pass {
 public:
  explicit Pass(ClusterSnapshot& snapshot)
      : snapshot_(snapshot),
        pools_(snapshot),
        placer_(snapshot, pools_),
        gang_placer_(snapshot, pools_, placer_),
        preemptor_(snapshot, pools_) {}

  Decisions run() {
    for (const std::size_t index : queue_order(snapshot_.jobs)) {
      const JobView& job = snapshot_.jobs[index];
      if (job.blocked || job.pending.empty()) continue;
      if (job.kind == wire::JobKind::gang)
        place_gang(index);
      else
        place_tasks(index);
      if (!job.pending.empty() && job.has_start_objective) preempt_for(index);
    }
    decisions_.machines_examined = pools_.machines_examined() + preemptor_.machines_examined();
    return std::move(decisions_);
  }

 private:
  void place_tasks(std::size_t index) {
    JobView& job = snapshot_.jobs[index];
    std::vector<Placement> placements = placer_.place(job, nullptr);
    if (placements.empty()) return;
    std::set<std::uint32_t> placed;
    for (const Placement& placement : placements) placed.insert(placement.task);
    job.pending.remove(placed);
    decisions_.starts.push_back({index, std::move(placements)});
  }

  void place_gang(std::size_t index) {
    auto [permit, placements] = gang_placer_.place(snapshot_.jobs[index]);
    if (placements.empty()) return;
    auto& list = permit == GangPlacer::Permit::start ? decisions_.starts : decisions_.reservations;
    list.push_back({index, std::move(placements)});
  }

  void preempt_for(std::size_t index) {
    std::vector<Preemption> preemptions = preemptor_.plan_preemptions(index);
    std::move(preemptions.begin(), preemptions.end(), std::back_inserter(decisions_.preemptions));
  }

  ClusterSnapshot& snapshot_;
  MachinePools pools_;
  TaskPlacer placer_;
  GangPlacer gang_placer_;
  Preemptor preemptor_;
  Decisions decisions_;
};

}  // namespace

Decisions run_pass(ClusterSnapshot& snapshot) { return Pass(snapshot).run(); }

}  // namespace seampass::sched
