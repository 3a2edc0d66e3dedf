// Computes one scaling plan; plan_scaling() is the only caller. Jobs are served in queue order.
// Each job first uses the cheapest source of capacity: machines that are nominated for it, then
// resources that come free within its wait budget, then booting machines, then new machines.
// Headroom is planned last, on the capacity that no job uses. Prices are per hour; there are no
// errors.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/scaling_plan.h"

namespace seampass::sched {

// An instance computes a single plan. It holds references to the snapshot and the options, which
// must outlive it, and modifies neither.
class Autoscaler {
 public:
  Autoscaler(const ClusterSnapshot& snapshot, const std::vector<ScaleOutOption>& options);

  [[nodiscard]] ScalingPlan plan(const std::vector<Headroom>& headroom);

 private:
  // A machine that this plan may assign tasks to.
  struct CandidateMachine {
    const MachineView* machine;
    // Index into ClusterSnapshot::machines; the size of that list for a machine that is not in it.
    std::size_t index;
    // The machine's free resources minus those of the tasks that this plan assigns to it. The value
    // is negative where the plan uses resources that are still to come free.
    Resources free;
  };

  // The tasks of one job that still need a machine.
  struct Demand {
    const JobView& job;
    std::uint32_t missing = 0;
    ZoneCounts tasks_by_zone;
    std::string required_zone;  // empty if any zone is allowed

    [[nodiscard]] bool fits(const CandidateMachine& candidate) const {
      return missing > 0 && job.request.fits_in(candidate.free) &&
             zone_allowed(candidate.machine->zone);
    }
    [[nodiscard]] bool zone_allowed(const std::string& zone) const;
    // Subtracts one task's request from the machine's free resources and counts the task as placed.
    void assign_task_to(CandidateMachine& candidate);
  };

  // The maximum spending on headroom, per hour. The budget is unlimited for jobs, whose tasks have
  // to run in any case.
  struct Budget {
    double remaining = std::numeric_limits<double>::infinity();
    double max_price = std::numeric_limits<double>::infinity();
  };

  void add_candidate(const MachineView& machine, std::size_t index);
  void plan_job(const JobView& job);
  void plan_headroom(const Headroom& headroom);

  // Returns how many tasks need a machine and fit in the team's quota. For a gang the result is 0
  // unless all of its tasks fit in the quota, because a gang starts only as a whole.
  [[nodiscard]] static std::uint32_t missing_tasks(const JobView& job, const TeamView& team);
  [[nodiscard]] std::uint32_t tasks_with_nominated_machines(const JobView& job,
                                                            std::uint32_t missing) const;
  // Returns the zone that the job's remaining tasks must use: the zone that the job names, its
  // reserved zone or, for a job whose tasks must share one zone, the zone of its placed tasks.
  // Empty if none of these determines a zone.
  [[nodiscard]] static std::string required_zone(const JobView& job,
                                                 const ZoneCounts& tasks_by_zone);
  [[nodiscard]] std::string cheapest_zone(const JobView& job, std::uint32_t missing) const;
  [[nodiscard]] ZoneCounts fitting_machines_by_zone(const JobView& job) const;
  [[nodiscard]] double cheapest_price(const JobView& job, const std::string& zone) const;

  void use_releasing_machines(Demand& demand);
  void use_booting_machines(Demand& demand);
  void use_machines_as_headroom(Demand& demand, Budget& budget);
  [[nodiscard]] std::vector<std::size_t> candidates_by_price() const;
  // Marks a schedulable machine as headroom. Returns false if the machine is not marked yet and the
  // budget does not cover it.
  [[nodiscard]] bool keep_as_headroom(const CandidateMachine& candidate, Budget& budget);
  void scale_out(Demand& demand, Budget& budget);
  [[nodiscard]] std::optional<std::size_t> cheapest_option(const Demand& demand,
                                                           const Budget& budget) const;
  CandidateMachine& add_planned_machine(const ScaleOutOption& option);

  const ClusterSnapshot& snapshot_;
  std::map<std::string, TeamView> teams_;  // usage includes the tasks that this plan provides for
  const std::vector<ScaleOutOption>& options_;
  std::vector<int> rent_counts_;  // number of machines to rent, by option index
  std::vector<CandidateMachine> candidates_;
  std::vector<std::size_t> releasing_, booting_;  // indices into candidates_
  std::deque<MachineView> planned_machines_;      // a deque, because candidates_ points into it
  std::map<std::string, std::vector<const MachineView*>> nominated_;  // by job id
  ScalingPlan plan_;
};

}  // namespace seampass::sched
