// The directed acyclic graph of jobs that wait for one another. Pure: it is told what becomes of
// jobs and answers what follows for the others.
//
// Only open jobs stay in the graph, with those that they name and of which nothing is known yet.
// Depth is not bounded: nothing recurses, and no question visits a job twice.
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
    std::vector<std::string> ready;      // all that they depend on is done, as of now
    std::vector<std::string> cancelled;  // a job that they depend on is cancelled
  };

  // An open job. Dependencies that the graph does not have are unknown until they are added or
  // ended. A job without any is ready from the start, and not named in the effects.
  Effects add(const std::string& job, wire::Priority priority,
              const std::vector<std::string>& dependencies);
  // The job's final status is durable; it leaves the graph. For one that is merely named, too.
  Effects finish(const std::string& job);
  Effects cancel(const std::string& job);
  void clear();

  bool contains(const std::string& job) const { return nodes_.contains(job); }
  // Nothing is in its way. False for a job that is not in the graph.
  bool ready(const std::string& job) const;
  // A job that it depends on, directly or through others, is cancelled.
  bool cancelled(const std::string& job) const;
  // Whether it is cancelled can't be told: nothing is known of some job that it depends on.
  bool undecided(const std::string& job) const;
  // All jobs that it depends on, directly or through others, and that are not known to be done.
  std::vector<std::string> upstream(const std::string& job) const;
  // Those that are named and of which nothing is known.
  const std::set<std::string>& unknown() const { return unknown_; }
  // The highest among its own and those of the jobs that depend on it.
  wire::Priority effective_priority(const std::string& job) const;

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
  const Node* find(const std::string& job) const;
  static void connect(Node& job, Node& dependency);
  static void disconnect(Node& job, Node& dependency);
  void disconnect_upstream(Node& job);
  // Brings the effective priorities of this job and of those upstream up to date.
  static void update_priority(Node& job);
  // Marks it and all that depend on it, directly or through others; the names of these others.
  std::vector<std::string> cancel_with_downstream(Node& job);
  static std::vector<const Node*> visit_upstream(const Node& job);
  void erase(Node& job);

  std::unordered_map<std::string, Node> nodes_;
  std::set<std::string> unknown_;
};

}  // namespace seampass::sched
