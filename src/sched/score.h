// Score: ranks the machines that a task fits on. Machine pools (machine_pools.h) call it. It has no
// errors.
#pragma once

#include <cstddef>
#include <tuple>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// A lower score is better. Scores are compared member by member, in the order of declaration.
struct MachineScore {
  // The machine has accelerators and the task uses none. Such a machine is the last choice.
  bool wastes_gpus = false;
  // The job has to start soon and the machine must fetch its image. This counts more than the
  // price.
  bool fetch_delays_start = false;
  double price = 0;  // per hour
  bool fetches_image = false;
  // Free resources before the task is placed. The tightest fit is preferred, so that other machines
  // become empty and can be returned.
  double free_gpus = 0;
  double free_cpus = 0;
  std::size_t machine = 0;  // index into ClusterSnapshot::machines; breaks ties

  [[nodiscard]] auto members() const {
    return std::tie(wastes_gpus, fetch_delays_start, price, fetches_image, free_gpus, free_cpus,
                    machine);
  }
  bool operator<(const MachineScore& other) const { return members() < other.members(); }
};

// Returns the score of this machine for one task of the job. With MachineChoice::first_fit only the
// machine's index counts. The function is inline because a pass calls it for each machine.
[[nodiscard]] inline MachineScore score(const JobView& job, const ClusterSnapshot& snapshot,
                                        std::size_t machine) {
  MachineScore result;
  result.machine = machine;
  if (snapshot.machine_choice == MachineChoice::first_fit) return result;
  const MachineView& view = snapshot.machines[machine];
  const bool fetches_image = !view.images.contains(job.image);
  const bool starts_soon = job.has_start_objective || job.within_guarantee;
  result.wastes_gpus = job.request.gpus == 0 && view.total.gpus > 0;
  result.fetch_delays_start = starts_soon && fetches_image;
  result.price = view.price;
  result.fetches_image = fetches_image;
  result.free_gpus = view.free.gpus;
  result.free_cpus = view.free.cpus;
  return result;
}

}  // namespace seampass::sched
