// The state of the leader that the scheduling classes read. Every referenced object outlives them.
#pragma once

#include <algorithm>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/attempts/attempt_tracker.h"
#include "leader/jobs/job_table.h"
#include "net/runtime.h"
#include "sched/dependency_graph.h"

namespace seampass::leader {

struct SchedulingSources {
  net::Runtime& runtime;
  const JobTable& jobs;  // scheduling iterates over the jobs in the order of their ids
  const AttemptTracker& attempts;
  const sched::DependencyGraph& dependencies;
  const cloud::MachineCatalog& catalog;
  const config::Settings& settings;
  const config::OperatorSettings& operator_settings;
};

// The longest boot time of any machine type, in seconds; 0 if no machine type is known.
[[nodiscard]] inline double longest_boot_s(const cloud::MachineCatalog& catalog) {
  double longest = 0;
  for (const auto& [name, type] : catalog.types()) longest = std::max(longest, type.boot_s);
  return longest;
}

}  // namespace seampass::leader
