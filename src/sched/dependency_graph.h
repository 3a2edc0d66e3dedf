// The directed acyclic graph of jobs and their dependencies. Pure: its owner (the leader's
// dependency tracker) adds jobs and says how they end; it answers what follows for the others.
//
// Only open jobs are in the graph, with the jobs that they depend on and whose state is not known
// yet. Depth is not bounded: nothing recurses, and no query visits a job twice.
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
  // What follows from an event, for open jobs.
  struct Effects {
    std::vector<std::string> ready;      // their last dependency is done by this event
    std::vector<std::string> cancelled;  // a dependency, direct or indirect, is cancelled
  };

  // Adds an open job. Dependencies that are not in the graph are unknown until they are added,
  // finished or cancelled. A job without dependencies is ready from the start, and is not among
  // the effects.
  Effects add(const std::string& job, wire::Priority priority,
              const std::vector<std::string>& dependencies);
  // The job's final status is durable, done or cancelled; the job leaves the graph. Also for a job
  // that was never added and is in the graph as a dependency only.
  Effects finish(const std::string& job);
  Effects cancel(const std::string& job);
  void clear();

  [[nodiscard]] bool contains(const std::string& job) const { return nodes_.contains(job); }
  // Whether all its dependencies are done. False for a job that is not in the graph.
  [[nodiscard]] bool ready(const std::string& job) const;
  // Whether a job that it depends on, directly or through others, is cancelled.
  [[nodiscard]] bool cancelled(const std::string& job) const;
  // Whether a job that it depends on, directly or through others, is in state unknown, so that the
  // job may turn out to be cancelled.
  [[nodiscard]] bool undecided(const std::string& job) const;
  // All jobs that it depends on, directly or through others, and that are not known to be done.
  [[nodiscard]] std::vector<std::string> upstream(const std::string& job) const;
  // Dependencies in state unknown.
  [[nodiscard]] const std::set<std::string>& unknown() const { return unknown_; }
  // The highest among its own priority and those of its dependents, direct and indirect.
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
    NodeSet upstream;    // not known to be done
    NodeSet downstream;  // open
    std::array<std::uint32_t, kPriorities> downstream_by_priority{};
  };

  Node& ensure(const std::string& job);
  [[nodiscard]] const Node* find(const std::string& job) const;
  static void connect(Node& job, Node& dependency);
  static void disconnect(Node& job, Node& dependency);
  void disconnect_upstream(Node& job);
  // Recomputes the effective priorities of this job and of those upstream.
  static void update_priority(Node& job);
  // Cancels the job and its dependents, direct and indirect; returns the dependents' names.
  std::vector<std::string> cancel_with_downstream(Node& job);
  static std::vector<const Node*> visit_upstream(const Node& job);
  void erase(Node& job);

  std::unordered_map<std::string, Node> nodes_;
  std::set<std::string> unknown_;
};

}  // namespace seampass::sched
