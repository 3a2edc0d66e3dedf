// Score: which of the machines with room a task goes to.
#pragma once

#include <cstddef>
#include <tuple>

#include "sched/cluster_snapshot.h"

namespace seampass::sched {

// The lower is the better. Compared member by member, in this order.
struct MachineScore {
  // A machine with accelerators that the task does not use is the dearest of all.
  bool wastes_gpus = false;
  // For a job that has to start soon, an image that must be fetched weighs more than the price.
  bool fetch_delays_start = false;
  double price = 0;  // per hour
  bool fetches_image = false;
  // The tightest fit, so that other machines empty and can be returned.
  double free_gpus = 0;
  double free_cpus = 0;
  std::size_t machine = 0;  // index into ClusterSnapshot::machines: makes the order total

  [[nodiscard]] auto members() const {
    return std::tie(wastes_gpus, fetch_delays_start, price, fetches_image, free_gpus, free_cpus,
                    machine);
  }
  bool operator<(const MachineScore& other) const { return members() < other.members(); }
};

// The score of this machine for one task of the job. (Inline: a pass calls it for each machine.)
[[nodiscard]] inline MachineScore score(const JobView& job, const ClusterSnapshot& snapshot,
                                        std::size_t machine) {
  MachineScore result;
  result.machine = machine;
  if (snapshot.choice == MachineChoice::first_fit) return result;
  const MachineView& view = snapshot.machines[machine];
  const bool fetches_image = !view.images.contains(job.image);
  const bool starts_soon = job.urgent || job.within_guarantee;
  result.wastes_gpus = job.request.gpus == 0 && view.total.gpus > 0;
  result.fetch_delays_start = starts_soon && fetches_image;
  result.price = view.price;
  result.fetches_image = fetches_image;
  result.free_gpus = view.free.gpus;
  result.free_cpus = view.free.cpus;
  return result;
}

}  // namespace seampass::sched
