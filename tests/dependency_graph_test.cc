// Compares the dependency graph with a slow reference graph that visits all edges for every query.
#include "sched/dependency_graph.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace seampass::sched {
namespace {

using wire::Priority;

// Holds every job that was ever added or named as a dependency, with its last known state.
class ReferenceGraph {
 public:
  enum class State { unknown, open, done, cancelled };
  struct Job {
    State state = State::unknown;
    Priority priority = Priority::low;
    std::vector<std::string> dependencies;
  };

  std::map<std::string, Job> jobs;

  bool cancelled(const std::string& id) const {
    const Job& job = jobs.at(id);
    if (job.state == State::cancelled) return true;
    return job.state == State::open &&
           std::any_of(job.dependencies.begin(), job.dependencies.end(),
                       [this](const auto& name) { return cancelled(name); });
  }
  bool ready(const std::string& id) const {
    const Job& job = jobs.at(id);
    return job.state == State::open &&
           std::all_of(job.dependencies.begin(), job.dependencies.end(),
                       [this](const auto& name) { return jobs.at(name).state == State::done; });
  }
  bool undecided(const std::string& id) const {
    const Job& job = jobs.at(id);
    if (job.state == State::unknown) return true;
    return job.state == State::open &&
           std::any_of(job.dependencies.begin(), job.dependencies.end(),
                       [this](const auto& name) { return undecided(name); });
  }
  Priority effective(const std::string& id) const {
    Priority highest = jobs.at(id).priority;
    for (const auto& [other, job] : jobs) {
      const auto& names = job.dependencies;
      if (job.state == State::open && !cancelled(other) &&
          std::find(names.begin(), names.end(), id) != names.end())
        highest = std::min(highest, effective(other));
    }
    return highest;
  }
};

// Runs one random sequence of events on a random graph of jobs. Jobs are added in random order and
// end in any allowed order: an added job is done only when it is ready, and any job may be
// cancelled at any time. The graph and the reference graph must agree after each event.
class RandomGraphRun {
 public:
  explicit RandomGraphRun(unsigned seed) : random_(seed) {}

  void run() {
    std::vector<std::string> not_added;
    for (int i = 0; i < 30; ++i) {
      const std::string id = "wk-" + std::to_string(i);
      ReferenceGraph::Job job;
      job.priority = static_cast<Priority>(random_() % 4);
      for (int draw = 0; draw < 3 && i > 0; ++draw)
        if (random_() % 2 == 0) job.dependencies.push_back("wk-" + std::to_string(random_() % i));
      submitted_[id] = job;
      not_added.push_back(id);
    }
    std::shuffle(not_added.begin(), not_added.end(), random_);
    for (int step = 0; step < 200; ++step) {
      if (!not_added.empty() && random_() % 2 == 0) {
        add(not_added.back());
        not_added.pop_back();
      } else {
        end_random_job();
      }
      expect_same_state();
    }
  }

 private:
  void add(const std::string& id) {
    if (reference_.jobs[id].state != ReferenceGraph::State::unknown) return;
    ReferenceGraph::Job job = submitted_.at(id);
    job.state = ReferenceGraph::State::open;
    for (const std::string& name : job.dependencies) reference_.jobs[name];
    reference_.jobs[id] = job;
    const auto effects = graph_.add(id, job.priority, job.dependencies);
    EXPECT_TRUE(effects.ready.empty());
    for (const std::string& other : effects.cancelled) EXPECT_TRUE(reference_.cancelled(other));
    // A job that has ended is no longer in the graph, so a new dependent makes it unknown again.
    // The graph's owner then reads the job's final status and reports it, which this loop imitates.
    for (const std::string& name : job.dependencies) {
      if (!graph_.unknown().contains(name)) continue;
      if (reference_.jobs[name].state == ReferenceGraph::State::done) graph_.finish(name);
      if (reference_.jobs[name].state == ReferenceGraph::State::cancelled) graph_.cancel(name);
    }
  }

  // Ends one random job. Any job may be cancelled, including one that was never added. An open job
  // may be done only if it is ready; a job that was never added may be done as well.
  void end_random_job() {
    if (reference_.jobs.empty()) return;
    auto entry = reference_.jobs.begin();
    std::advance(entry, static_cast<long>(random_() % reference_.jobs.size()));
    const auto& [id, job] = *entry;
    const bool ended =
        job.state == ReferenceGraph::State::done || job.state == ReferenceGraph::State::cancelled;
    if (ended) return;
    const bool cancel = reference_.cancelled(id) || random_() % 8 == 0;
    if (!cancel && job.state == ReferenceGraph::State::open && !reference_.ready(id)) return;
    const ReferenceGraph before = reference_;
    reference_.jobs[id].state =
        cancel ? ReferenceGraph::State::cancelled : ReferenceGraph::State::done;
    const auto effects = cancel ? graph_.cancel(id) : graph_.finish(id);
    expect_effects(before, id, effects);
  }

  void expect_effects(const ReferenceGraph& before, const std::string& ended,
                      const DependencyGraph::Effects& effects) {
    std::set<std::string> ready, cancelled;
    for (const auto& [id, job] : reference_.jobs) {
      if (id == ended || job.state != ReferenceGraph::State::open) continue;
      if (reference_.ready(id) && !before.ready(id)) ready.insert(id);
      if (reference_.cancelled(id) && !before.cancelled(id)) cancelled.insert(id);
    }
    EXPECT_EQ(std::set(effects.ready.begin(), effects.ready.end()), ready);
    EXPECT_EQ(std::set(effects.cancelled.begin(), effects.cancelled.end()), cancelled);
    EXPECT_EQ(effects.cancelled.size(), cancelled.size());
  }

  void expect_same_state() const {
    for (const auto& [id, job] : reference_.jobs) {
      const bool open = job.state == ReferenceGraph::State::open;
      EXPECT_EQ(graph_.ready(id), open && reference_.ready(id)) << id;
      if (!open) continue;
      EXPECT_EQ(graph_.cancelled(id), reference_.cancelled(id)) << id;
      if (reference_.cancelled(id)) continue;
      EXPECT_EQ(graph_.undecided(id), reference_.undecided(id)) << id;
      EXPECT_EQ(graph_.effective_priority(id), reference_.effective(id)) << id;
    }
  }

  std::mt19937 random_;
  std::map<std::string, ReferenceGraph::Job> submitted_;
  ReferenceGraph reference_;
  DependencyGraph graph_;
};

TEST(DependencyGraph, AgreesWithTheReferenceGraph) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    RandomGraphRun(seed).run();
    if (::testing::Test::HasFailure()) return;
  }
}

// The graph handles a chain of 50000 jobs and a job with 50000 dependents. The test guards against
// recursion, which overflows the stack, and against visiting a job more than once per query.
TEST(DependencyGraph, HandlesDeepChainsAndWideFans) {
  constexpr int kJobs = 50000;
  DependencyGraph chain;
  chain.add("wk-0", Priority::low, {});
  for (int i = 1; i < kJobs; ++i)
    chain.add("wk-" + std::to_string(i), Priority::low, {"wk-" + std::to_string(i - 1)});
  chain.add("wk-last", Priority::critical, {"wk-" + std::to_string(kJobs - 1)});
  EXPECT_EQ(chain.effective_priority("wk-0"), Priority::critical);
  EXPECT_EQ(chain.upstream("wk-last").size(), static_cast<std::size_t>(kJobs));
  EXPECT_EQ(chain.cancel("wk-0").cancelled.size(), static_cast<std::size_t>(kJobs));

  DependencyGraph fan;
  fan.add("wk-0", Priority::low, {});
  for (int i = 1; i < kJobs; ++i) fan.add("wk-" + std::to_string(i), Priority::high, {"wk-0"});
  EXPECT_EQ(fan.effective_priority("wk-0"), Priority::high);
  EXPECT_EQ(fan.finish("wk-0").ready.size(), static_cast<std::size_t>(kJobs - 1));
}

TEST(DependencyGraph, RemovesEndedJobs) {
  DependencyGraph graph;
  graph.add("wk-1", Priority::low, {});
  graph.add("wk-2", Priority::low, {"wk-1", "wk-9"});
  EXPECT_TRUE(graph.undecided("wk-2"));
  graph.finish("wk-1");
  EXPECT_EQ(graph.finish("wk-9").ready, std::vector<std::string>{"wk-2"});
  graph.finish("wk-2");
  for (const char* id : {"wk-1", "wk-2", "wk-9"}) EXPECT_FALSE(graph.contains(id));
  EXPECT_TRUE(graph.unknown().empty());
}

}  // namespace
}  // namespace seampass::sched
