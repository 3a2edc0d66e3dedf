#include "leader/jobs/dependency_tracker.h"

#include <utility>
#include <vector>

#include "leader/audit_log.h"

namespace seampass::leader {

using jobs::Lookup;

DependencyTracker::DependencyTracker(net::Runtime& runtime, jobs::JobStatusReader& status_reader,
                                     net::Ms retry_interval, Hooks hooks)
    : runtime_(runtime),
      status_reader_(status_reader),
      retry_interval_(retry_interval),
      hooks_(std::move(hooks)) {}

void DependencyTracker::end_term() {
  callbacks_.renew();
  listing_complete_ = false;
  graph_.clear();
  pending_reads_.clear();
}

void DependencyTracker::add(const wire::Job& job) {
  apply(job.id, graph_.add(job.id, job.priority, job.dependencies));
  if (listing_complete_) read_unknown();
}

void DependencyTracker::complete_listing() {
  listing_complete_ = true;
  read_unknown();
}

void DependencyTracker::on_final_status(const std::string& job, wire::Stage stage) {
  apply(job, stage == wire::Stage::done ? graph_.finish(job) : graph_.cancel(job));
}

void DependencyTracker::apply(const std::string& cause,
                              const sched::DependencyGraph::Effects& effects) const {
  const net::CallbackScope::Period term = callbacks_.period();
  for (const std::string& job : effects.ready)
    if (term.current()) hooks_.on_ready(job, cause);
  for (const std::string& job : effects.cancelled)
    if (term.current()) hooks_.on_cancelled(job);
}

void DependencyTracker::read_unknown() {
  const std::vector<std::string> unknown(graph_.unknown().begin(), graph_.unknown().end());
  for (const std::string& job : unknown)
    if (pending_reads_.insert(job).second) read(job);
}

// Reads the job's status, and repeats the read until the state service returns one. The job counts
// as neither done nor cancelled until then, so that the jobs that depend on it wait.
void DependencyTracker::read(const std::string& job) {
  status_reader_.read_final_status_first(
      job, callbacks_.wrap([this, job](const jobs::JobLookup& result) {
        if (result.lookup == Lookup::ended) {
          pending_reads_.erase(job);
          return on_final_status(job, result.status.stage);
        }
        if (result.lookup == Lookup::open) {
          pending_reads_.erase(job);
          return hooks_.on_found_open(job, result.open_record);
        }
        if (result.lookup == Lookup::not_found) audit::unknown_dependency(job);
        runtime_.after(retry_interval_, callbacks_.wrap([this, job] {
          if (graph_.unknown().contains(job)) return read(job);
          pending_reads_.erase(job);
        }));
      }));
}

}  // namespace seampass::leader
