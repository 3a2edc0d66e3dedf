// Preemption: an urgent job that found no place has room cleared for it, where the fewest tasks
// must stop. It starts there by a later pass, like any other; until then no other job takes that
// room, since the machine is nominated for it.
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

// Lives for one pass.
class Preemptor {
 public:
  Preemptor(ClusterSnapshot& snapshot, const MachinePools& pools)
      : snapshot_(snapshot), pools_(pools) {}

  // Nominates machines for the pending tasks of the job at this index. Machines that are nominated
  // for it already count. A gang of one zone has none nominated where it could not become whole.
  [[nodiscard]] std::vector<Preemption> clear_room(std::size_t job_index);

  // How many machines have been compared with a job.
  [[nodiscard]] std::size_t machines_examined() const { return machines_examined_; }

 private:
  // A machine on which stopping these tasks makes room.
  struct Option {
    std::size_t cost = 0;
    std::size_t machine = 0;
    std::size_t new_tasks = 0;  // how many tasks of the job find room there
    std::vector<PreemptibleTask> stopped;
  };
  struct Search {
    const JobView& job;
    std::size_t missing;  // tasks that have neither a place nor a nominated machine
    ZoneCounts in_zone;
    std::vector<Option> options;
    std::map<std::string, std::size_t> room_by_zone;  // tasks that the options have room for
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
