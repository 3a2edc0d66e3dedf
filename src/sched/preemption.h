// Preemption: selects tasks of lower priority to stop in favor of a job that has a start objective
// and did not fit on any machine. It chooses the machines where the fewest tasks have to stop. A
// later pass starts the job there in the usual way. Until then the machine is nominated for the
// job, and no other job may use its free resources. The pass (pass.cc) calls it; there are no
// errors.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/cluster_snapshot.h"
#include "sched/decisions.h"
#include "sched/machine_pools.h"

namespace seampass::sched {

// An instance serves one pass.
class Preemptor {
 public:
  Preemptor(ClusterSnapshot& snapshot, const MachinePools& pools)
      : snapshot_(snapshot), pools_(pools) {}

  // Nominates machines for the pending tasks of the job at this index and returns the tasks to stop
  // there. The capacity of machines that are already nominated for the job is subtracted first. For
  // a gang whose tasks must share one zone, only zones where all missing tasks fit are used.
  [[nodiscard]] std::vector<Preemption> plan_preemptions(std::size_t job_index);

  // Returns how many comparisons of a machine with a job have been made.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  // A machine where tasks of the job fit once the tasks in `tasks_to_stop` have stopped.
  struct Option {
    std::size_t cost = 0;       // number of stopped tasks, plus kImageFetchCost for an image fetch
    std::size_t machine = 0;    // index into ClusterSnapshot::machines
    std::size_t new_tasks = 0;  // number of the job's tasks that then fit there
    std::vector<PreemptibleTask> tasks_to_stop;
  };
  struct Search {
    const JobView& job;
    std::size_t missing;  // tasks without a machine, a reservation or a nominated machine
    ZoneCounts tasks_by_zone;
    std::vector<Option> options;
    std::map<std::string, std::size_t> capacity_by_zone;  // tasks that fit on the options, by zone
  };

  [[nodiscard]] std::optional<std::size_t> missing_tasks(const JobView& job);
  void find_options(Search& search);
  void add_option(Search& search, std::size_t machine_index) const;
  [[nodiscard]] static Option plan_stops(const Search& search, const MachineView& machine);
  [[nodiscard]] std::vector<Preemption> nominate(Search& search, std::size_t job_index);

  ClusterSnapshot& snapshot_;
  const MachinePools& pools_;
  std::size_t machines_examined_ = 0;
};

}  // namespace seampass::sched
