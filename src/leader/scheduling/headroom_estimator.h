// How much room to keep free for tasks that are likely to come before a new machine could be up.
// Owns the recent arrivals of the classes that have a start aim.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "leader/jobs/job_record.h"
#include "leader/scheduling/sources.h"
#include "net/runtime.h"
#include "sched/snapshot.h"
#include "wire/types.h"

namespace seampass::leader {

class HeadroomEstimator {
 public:
  explicit HeadroomEstimator(const SchedulingSources& sources);

  void end_term();

  // The job may be scheduled from now on.
  void record_arrival(const JobRecord& job);
  // Forgets the oldest arrivals, so that a class of many small jobs costs no memory without bound.
  void trim_arrivals();
  // For each class with a start aim that leaves no time to boot: as many tasks as are likely to
  // come while a machine boots. The result points into the arrivals.
  [[nodiscard]] std::vector<sched::Headroom> estimate(const sched::ClusterSnapshot& snapshot) const;

 private:
  struct Arrivals {
    double within_s = 0;  // the shortest start aim
    wire::Job latest;
    std::deque<std::pair<net::Ms, std::uint32_t>> recent;  // when, how many tasks
  };
  // What the catalog says of the types that fit a class.
  struct Offers {
    double boot_s = 0;  // the longest
    double cheapest = 0;
  };

  [[nodiscard]] Offers offers_for(const wire::Job& spec) const;
  [[nodiscard]] double expected_ends(const std::string& job_class, double boot_s) const;
  [[nodiscard]] std::uint32_t expected_tasks(const std::string& job_class, const Arrivals& arrivals,
                                             double boot_s) const;

  const SchedulingSources& sources_;
  std::map<std::string, Arrivals> arrivals_;  // by class
};

}  // namespace seampass::leader
