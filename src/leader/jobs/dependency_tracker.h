// Finds out what became of the jobs that open ones depend on.
//
// Owns the graph of dependencies, and a callback scope of its own: renewed as the term ends, before
// which hooks of the same change may end it. Called on the loop's thread.
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
    std::function<void(const std::string& job, const std::string& last_dependency)> ready;
    // A job that it depends on is cancelled, and that is durable.
    std::function<void(const std::string& job)> cancelled;
    // An open job of which no news had come.
    std::function<void(const std::string& job, const state::Item& open)> found_open;
  };

  DependencyTracker(net::Runtime& runtime, jobs::JobStatusReader& status_reader, net::Ms retry,
                    Hooks hooks);

  void end_term();
  // An open job. Until the listing is complete, jobs that it names and that are not known are taken
  // to come yet.
  void add(const wire::Job& job);
  // All open jobs have been listed: what is still unknown is read.
  void complete_listing();
  // The job's final status is durable.
  void on_final_status(const std::string& job, wire::Stage stage);

  [[nodiscard]] const sched::DependencyGraph& graph() const { return graph_; }

 private:
  void apply(const std::string& cause, const sched::DependencyGraph::Effects& effects) const;
  void read_unknown();
  void read(const std::string& job);

  net::Runtime& runtime_;
  jobs::JobStatusReader& status_reader_;
  net::Ms retry_;
  Hooks hooks_;
  sched::DependencyGraph graph_;
  std::set<std::string> reading_;
  net::CallbackScope callbacks_;
  bool listed_ = false;
};

}  // namespace seampass::leader
