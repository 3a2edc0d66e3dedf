// The dependency graph compared with a slow plain model that goes over all edges for every query.
#include "sched/dependency_graph.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace seampass::sched {
namespace {

using wire::Priority;

// Every job that was ever named, and what is known of it.
class PlainGraph {
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

// Random graphs of jobs that are added in any order and end in any order that the rules allow.
class RandomDay {
 public:
  explicit RandomDay(unsigned seed) : random_(seed) {}

  void play() {
    std::vector<std::string> not_added;
    for (int i = 0; i < 30; ++i) {
      const std::string id = "wk-" + std::to_string(i);
      PlainGraph::Job job;
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
        end_one();
      }
      compare();
    }
  }

 private:
  void add(const std::string& id) {
    if (plain_.jobs[id].state != PlainGraph::State::unknown) return;
    PlainGraph::Job job = submitted_.at(id);
    job.state = PlainGraph::State::open;
    for (const std::string& name : job.dependencies) plain_.jobs[name];
    plain_.jobs[id] = job;
    const auto effects = graph_.add(id, job.priority, job.dependencies);
    EXPECT_TRUE(effects.ready.empty());
    for (const std::string& other : effects.cancelled) EXPECT_TRUE(plain_.cancelled(other));
    // A job that has ended has left the graph; the graph's owner reads its final status.
    for (const std::string& name : job.dependencies) {
      if (!graph_.unknown().contains(name)) continue;
      if (plain_.jobs[name].state == PlainGraph::State::done) graph_.finish(name);
      if (plain_.jobs[name].state == PlainGraph::State::cancelled) graph_.cancel(name);
    }
  }

  // Any job may be cancelled, also one that was never added; one that is ready may be done.
  void end_one() {
    if (plain_.jobs.empty()) return;
    auto at = plain_.jobs.begin();
    std::advance(at, static_cast<long>(random_() % plain_.jobs.size()));
    const auto& [id, job] = *at;
    const bool ended =
        job.state == PlainGraph::State::done || job.state == PlainGraph::State::cancelled;
    if (ended) return;
    const bool cancel = plain_.cancelled(id) || random_() % 8 == 0;
    if (!cancel && job.state == PlainGraph::State::open && !plain_.ready(id)) return;
    const PlainGraph before = plain_;
    plain_.jobs[id].state = cancel ? PlainGraph::State::cancelled : PlainGraph::State::done;
    const auto effects = cancel ? graph_.cancel(id) : graph_.finish(id);
    expect_effects(before, id, effects);
  }

  void expect_effects(const PlainGraph& before, const std::string& ended,
                      const DependencyGraph::Effects& effects) {
    std::set<std::string> ready, cancelled;
    for (const auto& [id, job] : plain_.jobs) {
      if (id == ended || job.state != PlainGraph::State::open) continue;
      if (plain_.ready(id) && !before.ready(id)) ready.insert(id);
      if (plain_.cancelled(id) && !before.cancelled(id)) cancelled.insert(id);
    }
    EXPECT_EQ(std::set(effects.ready.begin(), effects.ready.end()), ready);
    EXPECT_EQ(std::set(effects.cancelled.begin(), effects.cancelled.end()), cancelled);
    EXPECT_EQ(effects.cancelled.size(), cancelled.size());
  }

  void compare() const {
    for (const auto& [id, job] : plain_.jobs) {
      const bool open = job.state == PlainGraph::State::open;
      EXPECT_EQ(graph_.ready(id), open && plain_.ready(id)) << id;
      if (!open) continue;
      EXPECT_EQ(graph_.cancelled(id), plain_.cancelled(id)) << id;
      if (plain_.cancelled(id)) continue;
      EXPECT_EQ(graph_.undecided(id), plain_.undecided(id)) << id;
      EXPECT_EQ(graph_.effective_priority(id), plain_.effective(id)) << id;
    }
  }

  std::mt19937 random_;
  std::map<std::string, PlainGraph::Job> submitted_;
  PlainGraph plain_;
  DependencyGraph graph_;
};

TEST(DependencyGraph, AgreesWithAPlainModel) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    SCOPED_TRACE(seed);
    RandomDay(seed).play();
    if (::testing::Test::HasFailure()) return;
  }
}

// Chains and fans of thousands: no recursion, and each job visited once.
TEST(DependencyGraph, DepthAndWidthAreNotBounded) {
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

TEST(DependencyGraph, NothingStaysOfWhatHasEnded) {
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
