#include "leader/jobs/dependency_tracker.h"

#include <utility>
#include <vector>

#include "leader/audit_log.h"

namespace seampass::leader {

using jobs::Lookup;

DependencyTracker::DependencyTracker(net::Runtime& runtime, jobs::JobStatusReader& status_reader,
                                     net::Ms retry, Hooks hooks)
    : runtime_(runtime), status_reader_(status_reader), retry_(retry), hooks_(std::move(hooks)) {}

void DependencyTracker::end_term() {
  callbacks_.renew();
  listed_ = false;
  graph_.clear();
  reading_.clear();
}

void DependencyTracker::add(const wire::Job& job) {
  apply(job.id, graph_.add(job.id, job.priority, job.dependencies));
  if (listed_) read_unknown();
}

void DependencyTracker::complete_listing() {
  listed_ = true;
  read_unknown();
}

void DependencyTracker::on_final_status(const std::string& job, wire::Stage stage) {
  apply(job, stage == wire::Stage::done ? graph_.finish(job) : graph_.cancel(job));
}

void DependencyTracker::apply(const std::string& cause,
                              const sched::DependencyGraph::Effects& effects) const {
  const net::CallbackScope::Period term = callbacks_.period();
  for (const std::string& job : effects.ready)
    if (term.current()) hooks_.ready(job, cause);
  for (const std::string& job : effects.cancelled)
    if (term.current()) hooks_.cancelled(job);
}

void DependencyTracker::read_unknown() {
  const std::vector<std::string> unknown(graph_.unknown().begin(), graph_.unknown().end());
  for (const std::string& job : unknown)
    if (reading_.insert(job).second) read(job);
}

// Neither done nor cancelled until the store says so: whatever depends on it waits.
void DependencyTracker::read(const std::string& job) {
  status_reader_.read_ended(job, callbacks_.wrap([this, job](const jobs::JobLookup& found) {
    if (found.lookup == Lookup::ended) {
      reading_.erase(job);
      return on_final_status(job, found.status.stage);
    }
    if (found.lookup == Lookup::open) {
      reading_.erase(job);
      return hooks_.found_open(job, found.open);
    }
    if (found.lookup == Lookup::not_found) audit::unknown_dependency(job);
    runtime_.after(retry_, callbacks_.wrap([this, job] {
      if (graph_.unknown().contains(job)) return read(job);
      reading_.erase(job);
    }));
  }));
}

}  // namespace seampass::leader
