// The directed acyclic graph of jobs and their dependencies. It does no I/O. The leader's
// dependency tracker owns it, adds open jobs and reports the final status of each job; each of
// these calls returns the effects on the other jobs. Calls that name a job which is not in the
// graph are no errors.
//
// The graph holds only open jobs and, in state unknown, dependencies of open jobs whose own state
// has not been read yet. The depth of the graph is not bounded: no function is recursive, and no
// query visits a job twice.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/types.h"

namespace seampass::sched {

class DependencyGraph {
 public:
  // The effects of an event on open jobs.
  struct Effects {
    // Jobs whose last unfinished dependency is now done.
    std::vector<std::string> ready;
    // Jobs with a direct or indirect dependency that is now cancelled.
    std::vector<std::string> cancelled;
  };

  // Adds an open job. A dependency that is not in the graph is added in state unknown, which lasts
  // until that job is itself added, finished or cancelled. A job without dependencies is ready from
  // the start and is not listed in the effects.
  Effects add(const std::string& job, wire::Priority priority,
              const std::vector<std::string>& dependencies);
  // finish() and cancel() remove a job whose final status, done or cancelled, is durable. Both also
  // accept a job that was never added and is in the graph only as a dependency.
  Effects finish(const std::string& job);
  Effects cancel(const std::string& job);
  void clear();

  [[nodiscard]] bool contains(const std::string& job) const { return nodes_.contains(job); }
  // Returns whether the job is open and all its dependencies are done; false for a job that is not
  // in the graph.
  [[nodiscard]] bool ready(const std::string& job) const;
  // Returns whether a direct or indirect dependency of the job is cancelled.
  [[nodiscard]] bool cancelled(const std::string& job) const;
  // Returns whether a direct or indirect dependency of the job is in state unknown. If that
  // dependency proves to be cancelled, the job is cancelled as well.
  [[nodiscard]] bool undecided(const std::string& job) const;
  // Returns all direct and indirect dependencies of the job that are not known to be done.
  [[nodiscard]] std::vector<std::string> upstream(const std::string& job) const;
  // Returns the dependencies in state unknown.
  [[nodiscard]] const std::set<std::string>& unknown() const { return unknown_; }
  // Returns the highest priority among the job itself and its direct and indirect dependents.
  [[nodiscard]] wire::Priority effective_priority(const std::string& job) const;

 private:
  static constexpr std::size_t kPriorities = 4;

  struct Node;
  struct ByName {
    bool operator()(const Node* a, const Node* b) const;
  };
  using NodeSet = std::set<Node*, ByName>;

  enum class State { unknown, open, cancelled };

  struct Node {
    std::string job;
    State state = State::unknown;
    wire::Priority own = wire::Priority::low;
    wire::Priority effective = wire::Priority::low;
    NodeSet upstream;    // direct dependencies that are not known to be done
    NodeSet downstream;  // direct dependents, all of them open
    // The number of direct dependents with each effective priority.
    std::array<std::uint32_t, kPriorities> downstream_by_priority{};
  };

  Node& find_or_add(const std::string& job);
  [[nodiscard]] const Node* find(const std::string& job) const;
  static void connect(Node& job, Node& dependency);
  static void disconnect(Node& job, Node& dependency);
  void disconnect_upstream(Node& job);
  // Recomputes the effective priority of this job and, where it changes, of the jobs upstream.
  static void update_priority(Node& job);
  // Marks the job and its direct and indirect dependents as cancelled. Returns the dependents' ids.
  std::vector<std::string> cancel_with_downstream(Node& job);
  static std::vector<const Node*> visit_upstream(const Node& job);
  void erase(Node& job);

  std::unordered_map<std::string, Node> nodes_;
  std::set<std::string> unknown_;  // ids of nodes in state unknown
};

}  // namespace seampass::sched
