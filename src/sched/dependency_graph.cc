#include "sched/dependency_graph.h"

#include <algorithm>
#include <unordered_set>

namespace seampass::sched {

using wire::Priority;

namespace {
std::size_t index_of(Priority priority) { return static_cast<std::size_t>(priority); }
}  // namespace

bool DependencyGraph::ByName::operator()(const Node* a, const Node* b) const {
  return a->job < b->job;
}

DependencyGraph::Node& DependencyGraph::find_or_add(const std::string& job) {
  const auto [entry, is_new] = nodes_.try_emplace(job);
  if (is_new) {
    entry->second.job = job;
    unknown_.insert(job);
  }
  return entry->second;
}

const DependencyGraph::Node* DependencyGraph::find(const std::string& job) const {
  const auto entry = nodes_.find(job);
  return entry == nodes_.end() ? nullptr : &entry->second;
}

void DependencyGraph::connect(Node& job, Node& dependency) {
  if (!job.upstream.insert(&dependency).second) return;
  dependency.downstream.insert(&job);
  ++dependency.downstream_by_priority[index_of(job.effective)];
  update_priority(dependency);
}

void DependencyGraph::disconnect(Node& job, Node& dependency) {
  if (job.upstream.erase(&dependency) == 0) return;
  dependency.downstream.erase(&job);
  --dependency.downstream_by_priority[index_of(job.effective)];
  update_priority(dependency);
}

void DependencyGraph::disconnect_upstream(Node& job) {
  const NodeSet upstream = job.upstream;
  for (Node* dependency : upstream) {
    disconnect(job, *dependency);
    // A job in state unknown is in the graph only for its dependents. It leaves with the last one.
    if (dependency->state == State::unknown && dependency->downstream.empty()) erase(*dependency);
  }
}

void DependencyGraph::update_priority(Node& job) {
  std::vector<Node*> changed{&job};
  while (!changed.empty()) {
    Node& node = *changed.back();
    changed.pop_back();
    const auto& counts = node.downstream_by_priority;
    Priority effective = node.own;
    for (std::size_t i = 0; i < index_of(node.own); ++i)
      if (counts.at(i) > 0) effective = std::min(effective, static_cast<Priority>(i));
    if (effective == node.effective) continue;
    for (Node* dependency : node.upstream) {
      --dependency->downstream_by_priority[index_of(node.effective)];
      ++dependency->downstream_by_priority[index_of(effective)];
      changed.push_back(dependency);
    }
    node.effective = effective;
  }
}

DependencyGraph::Effects DependencyGraph::add(const std::string& job, Priority priority,
                                              const std::vector<std::string>& dependencies) {
  Effects effects;
  Node& node = find_or_add(job);
  if (node.state != State::unknown) return effects;
  node.state = State::open;
  unknown_.erase(job);
  node.own = priority;
  update_priority(node);
  bool cancelled = false;
  for (const std::string& name : dependencies) {
    Node& dependency = find_or_add(name);
    cancelled = cancelled || dependency.state == State::cancelled;
    connect(node, dependency);
  }
  if (!cancelled) return effects;
  effects.cancelled = cancel_with_downstream(node);
  effects.cancelled.push_back(job);
  return effects;
}

DependencyGraph::Effects DependencyGraph::finish(const std::string& job) {
  Effects effects;
  const auto entry = nodes_.find(job);
  if (entry == nodes_.end()) return effects;
  Node& node = entry->second;
  const NodeSet downstream = node.downstream;
  for (Node* dependent : downstream) {
    disconnect(*dependent, node);
    if (dependent->upstream.empty()) effects.ready.push_back(dependent->job);
  }
  disconnect_upstream(node);
  erase(node);
  return effects;
}

DependencyGraph::Effects DependencyGraph::cancel(const std::string& job) {
  Effects effects;
  const auto entry = nodes_.find(job);
  if (entry == nodes_.end()) return effects;
  Node& node = entry->second;
  effects.cancelled = cancel_with_downstream(node);
  erase(node);
  return effects;
}

// No task of a dependent has started, because a job becomes ready only after all its dependencies
// are done, and this job is not.
std::vector<std::string> DependencyGraph::cancel_with_downstream(Node& job) {
  std::vector<std::string> result;
  std::vector<Node*> next;
  const auto mark = [&](Node& node) {
    // The state is set before the edges are removed: disconnect_upstream() erases a node that is in
    // state unknown when its last dependent goes, and this node is still in use.
    node.state = State::cancelled;
    // The state of its other dependencies no longer matters to a cancelled job.
    disconnect_upstream(node);
    next.push_back(&node);
  };
  mark(job);
  while (!next.empty()) {
    const NodeSet downstream = next.back()->downstream;
    next.pop_back();
    for (Node* dependent : downstream) {
      mark(*dependent);
      result.push_back(dependent->job);
    }
  }
  return result;
}

void DependencyGraph::erase(Node& job) {
  unknown_.erase(job.job);
  nodes_.erase(nodes_.find(job.job));
}

void DependencyGraph::clear() {
  nodes_.clear();
  unknown_.clear();
}

bool DependencyGraph::ready(const std::string& job) const {
  const Node* node = find(job);
  return node && node->state == State::open && node->upstream.empty();
}

bool DependencyGraph::cancelled(const std::string& job) const {
  const Node* node = find(job);
  return node && node->state == State::cancelled;
}

std::vector<const DependencyGraph::Node*> DependencyGraph::visit_upstream(const Node& job) {
  std::vector<const Node*> found;
  std::unordered_set<const Node*> seen{&job};
  std::vector<const Node*> next{&job};
  while (!next.empty()) {
    const Node* node = next.back();
    next.pop_back();
    for (const Node* dependency : node->upstream) {
      if (!seen.insert(dependency).second) continue;
      found.push_back(dependency);
      next.push_back(dependency);
    }
  }
  return found;
}

bool DependencyGraph::undecided(const std::string& job) const {
  const Node* node = find(job);
  if (!node || unknown_.empty()) return false;
  const auto found = visit_upstream(*node);
  return std::any_of(found.begin(), found.end(),
                     [](const Node* upstream) { return upstream->state == State::unknown; });
}

std::vector<std::string> DependencyGraph::upstream(const std::string& job) const {
  std::vector<std::string> names;
  if (const Node* node = find(job))
    for (const Node* dependency : visit_upstream(*node)) names.push_back(dependency->job);
  return names;
}

Priority DependencyGraph::effective_priority(const std::string& job) const {
  const Node* node = find(job);
  return node ? node->effective : Priority::low;
}

}  // namespace seampass::sched
