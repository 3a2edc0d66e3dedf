// The HeadroomEstimator estimates how much spare capacity (headroom) the cluster needs for tasks
// that will probably arrive before a new machine could boot. It owns the recent arrivals of the job
// classes that have a start objective (a service-level objective of kind "wait"). The
// SchedulingLoop reports arrivals to it and the Autoscaler reads the estimate. Names that end in
// `_s` are in seconds, and times of type net::Ms are in milliseconds of the steady clock.
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
#include "sched/sched.h"
#include "wire/types.h"

namespace seampass::leader {

class HeadroomEstimator {
 public:
  explicit HeadroomEstimator(const SchedulingSources& sources);

  void end_term();

  // Records that the job has become ready to be scheduled.
  void record_arrival(const JobRecord& job);
  // Discards the oldest arrivals of each class beyond the maximum, so that a class of many small
  // jobs does not use unbounded memory.
  void trim_arrivals();
  // Returns one entry for each class whose start objective is too short to boot a machine: a
  // stand-in job with as many tasks as are likely to arrive while a machine boots. The result
  // points into the stored arrivals and is valid until the next call that changes them.
  [[nodiscard]] std::vector<sched::Headroom> estimate(const sched::ClusterSnapshot& snapshot) const;

 private:
  struct Arrivals {
    double within_s = 0;  // the shortest start objective of the class
    wire::Job latest;
    std::deque<std::pair<net::Ms, std::uint32_t>> recent;  // arrival time, number of tasks
  };
  // What the catalog offers for a class: the machine types that fit its latest job.
  struct Offers {
    double boot_s = 0;  // the longest boot time among them
    double cheapest = 0;
  };

  [[nodiscard]] Offers offers_for(const wire::Job& spec) const;
  [[nodiscard]] double expected_ends(const std::string& job_class, double boot_s) const;
  [[nodiscard]] std::uint32_t expected_tasks(const std::string& job_class, const Arrivals& arrivals,
                                             double boot_s) const;

  const SchedulingSources& sources_;
  std::map<std::string, Arrivals> arrivals_;  // by job class
};

}  // namespace seampass::leader
