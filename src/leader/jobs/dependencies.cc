// What becomes of jobs that depend on others, in the Controller.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/controller.h"

namespace seampass::leader {

void Controller::job_ready(const std::string& id, const std::string& dependency) {
  JobRecord* job = jobs_.find(id);
  if (!job) return;
  job->ready_ms = runtime_.wall();
  audit::ready(id, dependency);
  record_arrival(*job);
  request_pass();
}

// It never began, so there is nothing to stop. It counts as cancelled from now on, whether its own
// end can be written or not: that follows from the records of what it depends on.
void Controller::cancel_dependent(const std::string& id) {
  JobRecord* job = jobs_.find(id);
  if (!job || job->ended()) return;
  job->advance_to(Lifecycle::stopping);
  job->reservations.clear();
  spdlog::debug("cancelled {} with a job that it depends on", id);
  const rpc::JobReply answer = status_of(*job);
  for (const auto& waiter : std::exchange(job->waiters, {})) waiter(answer);
  erase_if_settled(id);
}

// Another node may have read the end of a job that this one depends on, and have derived its own
// from that, while the outcome is not known here.
bool Controller::upstream_certain(const std::string& id) const {
  const sched::DependencyGraph& graph = dependencies_.graph();
  if (graph.ready(id)) return true;
  if (graph.undecided(id)) return false;
  if (!records_.any_outcome_unknown()) return true;
  const std::vector<std::string> upstream = graph.upstream(id);
  return std::none_of(upstream.begin(), upstream.end(),
                      [this](const std::string& other) { return records_.outcome_unknown(other); });
}

}  // namespace seampass::leader
