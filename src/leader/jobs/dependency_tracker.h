// Tracks the status of the jobs that open jobs depend on, and reads it from the state service where
// it is unknown.
//
// The class owns the dependency graph and a callback scope, which end_term() renews. A hook may end
// the term, so the class checks the scope before it calls the next hook of the same change. It is
// called on the event loop's thread.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "jobs/job_status_reader.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "sched/dependency_graph.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class DependencyTracker {
 public:
  struct Hooks {
    // All dependencies of the job are done; `last_dependency` is the one that was done last.
    std::function<void(const std::string& job, const std::string& last_dependency)> on_ready;
    // A direct or indirect dependency of the job is cancelled, and its final status is durable.
    std::function<void(const std::string& job)> on_cancelled;
    // A read found that the job is open. The leader had not received its acceptance.
    std::function<void(const std::string& job, const state::Item& open_record)> on_found_open;
  };

  DependencyTracker(net::Runtime& runtime, jobs::JobStatusReader& status_reader,
                    net::Ms retry_interval, Hooks hooks);

  // Drops the graph and ignores the results of all reads in flight.
  void end_term();
  // Adds an open job. Dependencies that are unknown are read from the state service only once the
  // listing of open jobs is complete: until then, the listing may still contain them.
  void add(const wire::Job& job);
  // All open jobs have been listed. Reads every dependency that is still unknown.
  void complete_listing();
  // The job's final status is durable. Calls the hooks for the jobs that depend on it.
  void on_final_status(const std::string& job, wire::Stage stage);

  [[nodiscard]] const sched::DependencyGraph& graph() const { return graph_; }

 private:
  void apply(const std::string& cause, const sched::DependencyGraph::Effects& effects) const;
  void read_unknown();
  void read(const std::string& job);

  net::Runtime& runtime_;
  jobs::JobStatusReader& status_reader_;
  net::Ms retry_interval_;
  Hooks hooks_;
  sched::DependencyGraph graph_;
  std::set<std::string> pending_reads_;
  net::CallbackScope callbacks_;
  bool listing_complete_ = false;
};

}  // namespace seampass::leader
