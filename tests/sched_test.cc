#include <gtest/gtest.h>

#include <random>

#include "model/plain_scheduler.h"
#include "sched/snapshot.h"

namespace seampass::sched {
namespace {

const std::optional<std::vector<std::string>> kAny;
const std::optional<std::vector<std::string>> kOnlyBig = std::vector<std::string>{"big"};

JobView waiting(const std::string& id, wire::JobKind kind, std::uint32_t tasks, Resources need) {
  JobView j;
  j.id = id;
  j.team = "red";
  j.kind = kind;
  j.request = need;
  j.types = &kAny;
  j.tasks = tasks;
  j.spot = true;
  for (std::uint32_t t = 0; t < tasks; ++t) j.pending.push_back(t);
  return j;
}

ClusterSnapshot random_picture(std::mt19937& random, MachineChoice choice) {
  const auto pick = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  ClusterSnapshot p;
  p.choice = choice;
  for (const char* t : {"red", "blue"}) {
    TeamView& v = p.teams[t];
    if (pick(2)) v.gpus_max = 2.0 + pick(12);
    if (pick(3) == 0) v.cpus_max = 8.0 + pick(40);
    v.gpus = pick(2);
  }
  const unsigned machines = 1 + pick(9);
  for (unsigned i = 0; i < machines; ++i) {
    MachineView m;
    m.name = "m" + std::to_string(i);
    m.type = pick(2) ? "big" : "small";
    m.zone = std::string(1, static_cast<char>('a' + pick(3)));
    m.spot = pick(3) == 0;
    m.schedulable = pick(6) != 0;
    m.total = {m.type == "big" ? 16.0 : 4.0, m.type == "big" ? 4.0 : 0.0, 64};
    m.free = m.total;
    m.free.cpus -= pick(4);
    m.price = 1 + pick(5);
    if (pick(2)) m.images.insert("i" + std::to_string(pick(2)));
    p.machines.push_back(m);
  }
  const unsigned jobs = 1 + pick(10);
  for (unsigned i = 0; i < jobs; ++i) {
    JobView j;
    j.id = "wk-" + std::to_string(100 + i);
    j.team = pick(2) ? "red" : "blue";
    j.kind = pick(2) ? wire::JobKind::gang : wire::JobKind::array;
    j.priority = static_cast<wire::Priority>(pick(4));
    j.fair_share_rank = pick(4) == 0 ? 1 + pick(2) : 0;
    j.created_ms = pick(4);
    j.request = {1.0 + pick(5), pick(2) * 1.0, 8.0 * pick(4)};
    j.types = pick(3) == 0 ? &kOnlyBig : &kAny;
    if (pick(5) == 0) j.zone = "b";
    j.one_zone = pick(2);
    j.spread = !j.one_zone && pick(3) == 0;
    j.spot = pick(2);
    j.image = "i" + std::to_string(pick(2));
    j.tasks = 1 + pick(6);
    for (std::uint32_t t = 0; t < j.tasks; ++t) j.pending.push_back(t);
    if (j.kind == wire::JobKind::array && pick(2) && j.tasks > 1) {
      j.pending.erase(j.pending.begin());
      j.placed[std::string(1, static_cast<char>('a' + pick(3)))] = 1;
    }
    for (int k = pick(3) == 0 ? 4 : 0; k > 0; --k)
      j.anti_affinity.insert({static_cast<std::uint32_t>(pick(6)), pick(machines)});
    j.blocked = pick(8) == 0;
    j.all_or_nothing = pick(4) == 0;
    if (j.one_zone && pick(6) == 0) j.reserved_zone = "c";
    p.jobs.push_back(j);
  }
  return p;
}

std::vector<model::Placed> placements(const Decisions& d) {
  std::vector<model::Placed> list;
  for (const JobPlacements& b : d.starts)
    for (const Placement& x : b.tasks) list.push_back({b.job, x.task, x.machine, false});
  for (const JobPlacements& b : d.reservations)
    for (const Placement& x : b.tasks) list.push_back({b.job, x.task, x.machine, true});
  std::sort(list.begin(), list.end());
  return list;
}

TEST(Sched, AgreesWithThePlainModel) {
  std::mt19937 random(4711);
  int placed = 0, held = 0;
  for (int round = 0; round < 3000; ++round) {
    ClusterSnapshot p = random_picture(random, MachineChoice::first_fit);
    const ClusterSnapshot before = p;
    const Decisions d = run_pass(p);
    const std::vector<model::Placed> real = placements(d);
    ASSERT_EQ(real, model::PlainScheduler(before).run()) << "round " << round;
    for (const auto& x : real) (x.held ? held : placed) += 1;
  }
  EXPECT_GT(placed, 5000);
  EXPECT_GT(held, 300);
}

// At the size of a large deployment: the same decisions as the plain model's, at a cost that goes
// by machines and jobs, not by machines times tasks.
TEST(Sched, LooksAtFewMachinesInALargeCluster) {
  std::mt19937 random(8);
  const auto pick = [&](unsigned n) { return static_cast<unsigned>(random() % n); };
  ClusterSnapshot p;
  p.choice = MachineChoice::first_fit;
  p.teams["red"];
  for (int i = 0; i < 1300; ++i) {
    MachineView m;
    m.name = "m" + std::to_string(i);
    m.type = pick(2) ? "big" : "small";
    m.zone = std::string(1, static_cast<char>('a' + pick(3)));
    m.schedulable = true;
    m.total = {16, 4, 64};
    // Nearly all are full, as machines of a busy cluster are; some room is left over on each.
    m.free = pick(40) == 0 ? m.total : Resources{pick(3) * 1.0, 0, 8};
    p.machines.push_back(m);
  }
  std::size_t tasks = 0;
  for (int i = 0; i < 60; ++i) {
    JobView j = waiting("wk-" + std::to_string(100 + i),
                        pick(2) ? wire::JobKind::gang : wire::JobKind::array, 1 + pick(12),
                        {4.0 + pick(4), 1, 8});
    j.one_zone = j.kind == wire::JobKind::gang;
    j.created_ms = pick(50);
    tasks += j.tasks;
    p.jobs.push_back(j);
  }
  const ClusterSnapshot before = p;
  const Decisions d = run_pass(p);
  const std::vector<model::Placed> real = placements(d);
  EXPECT_EQ(real, model::PlainScheduler(before).run());
  EXPECT_GT(real.size(), 30u);
  EXPECT_LT(d.machines_examined,
            p.machines.size() * 16);  // a look at each machine for each task is 300 times
  EXPECT_GT(tasks, 300u);
}

// Scored choice puts tasks elsewhere, but under the same limits.
TEST(Sched, ScoredChoiceKeepsEveryLimit) {
  std::mt19937 random(99);
  for (int round = 0; round < 3000; ++round) {
    ClusterSnapshot p = random_picture(random, MachineChoice::scored);
    const ClusterSnapshot before = p;
    const Decisions d = run_pass(p);
    std::vector<Resources> free;
    for (const auto& m : before.machines) free.push_back(m.free);
    auto teams = before.teams;
    const auto count = [&](const JobPlacements& b, bool start) {
      const JobView& job = before.jobs[b.job];
      auto zones = job.placed;
      ASSERT_FALSE(job.blocked);
      for (const Placement& x : b.tasks) {
        const MachineView& m = before.machines[x.machine];
        ASSERT_EQ(job.anti_affinity.count({x.task, x.machine}), 0u);
        ASSERT_TRUE(m.schedulable && allowed(job, m.type, m.zone, m.spot));
        ASSERT_TRUE(job.request.fits_in(free[x.machine]));
        free[x.machine] -= job.request;
        TeamView& t = teams[job.team];
        ASSERT_GE(t.allows(job.request), 1u);
        t.cpus += job.request.cpus;
        t.gpus += job.request.gpus;
        ++zones[m.zone];
      }
      std::uint32_t used = 0;
      for (const auto& [z, n] : zones) {
        used += n > 0 ? 1 : 0;
        ASSERT_TRUE(!job.spread || n <= (job.tasks + 1) / 2);
      }
      ASSERT_TRUE(!job.one_zone || used <= 1);
      if (job.kind == wire::JobKind::gang) {
        // A gang starts whole or holds; one that timed out holds nothing.
        ASSERT_EQ(b.tasks.size() == job.pending.size(), start);
        ASSERT_TRUE(start || !job.all_or_nothing);
      }
    };
    for (const JobPlacements& b : d.starts) count(b, true);
    for (const JobPlacements& b : d.reservations) count(b, false);
  }
}

TEST(Sched, QueueIsPriorityThenCreationThenId) {
  std::vector<JobView> jobs(4);
  jobs[0].id = "wk-2";
  jobs[1].id = "wk-1";
  jobs[2].id = "wk-3";
  jobs[2].priority = wire::Priority::critical;
  jobs[2].created_ms = 50;
  jobs[3].id = "wk-0";
  jobs[3].created_ms = 7;
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{2, 1, 0, 3}));
}

TEST(Sched, RentsTheCheapestThatFitsAndCountsWhatIsBooting) {
  const std::vector<ScaleOutOption> options = {{"big", "a", false, 4, {16, 4, 64}},
                                               {"big", "b", true, 1.5, {16, 4, 64}},
                                               {"small", "a", false, 1, {4, 0, 16}}};
  ClusterSnapshot p;
  p.jobs.push_back(waiting("wk-1", wire::JobKind::array, 6, {4, 1, 8}));
  auto wishes = plan_scaling(p, options, {}).scale_out;
  ASSERT_EQ(wishes.size(), 1u);
  EXPECT_EQ(wishes[0].option, 1u);
  EXPECT_EQ(wishes[0].count, 2);
  MachineView m;
  m.type = "big";
  m.zone = "a";
  m.booting = true;
  m.total = m.free = {16, 4, 64};
  p.machines.push_back(m);
  wishes = plan_scaling(p, options, {}).scale_out;
  ASSERT_EQ(wishes.size(), 1u);
  EXPECT_EQ(wishes[0].count, 1);
  p.jobs[0].spot = false;
  EXPECT_EQ(plan_scaling(p, options, {}).scale_out[0].option, 0u);
  p.teams["red"].gpus_max = 4;  // no more than the limit lets run
  EXPECT_TRUE(plan_scaling(p, options, {}).scale_out.empty());
}

TEST(Sched, RentsAGangsMachinesInOneZone) {
  const std::vector<ScaleOutOption> options = {{"small", "a", false, 1, {4, 0, 16}},
                                               {"small", "b", true, 0.5, {4, 0, 16}}};
  ClusterSnapshot p;
  p.jobs.push_back(waiting("wk-1", wire::JobKind::gang, 3, {4, 0, 8}));
  p.jobs[0].one_zone = true;
  p.jobs[0].spot = false;
  const auto wishes = plan_scaling(p, options, {}).scale_out;
  ASSERT_EQ(wishes.size(), 1u);
  EXPECT_EQ(wishes[0].option, 0u);
  EXPECT_EQ(wishes[0].count, 3);
}

TEST(Sched, ClearsRoomOnlyForUrgentWorkOfHigherPriority) {
  ClusterSnapshot p;
  MachineView m;
  m.type = "big";
  m.zone = "a";
  m.schedulable = true;
  m.total = {8, 4, 64};
  m.free = {0, 2, 32};
  m.preemptible_tasks = {{"wk-8", 0, wire::Priority::normal, {4, 1, 16}},
                         {"wk-8", 1, wire::Priority::normal, {4, 1, 16}}};
  p.machines = {m, m};
  p.machines[1].preemptible_tasks.pop_back();
  p.machines[1].free.cpus = 4;
  JobView job = waiting("wk-1", wire::JobKind::gang, 1, {8, 0, 16});
  job.urgent = true;
  p.jobs = {job};
  ClusterSnapshot same = p;
  EXPECT_TRUE(run_pass(same).preemptions.empty());  // equal priority stops nothing
  p.jobs[0].priority = wire::Priority::high;
  same = p;
  const Decisions d = run_pass(same);
  ASSERT_EQ(d.preemptions.size(), 1u);
  EXPECT_EQ(d.preemptions[0].machine, 1u);  // one task there, two on the other
  EXPECT_EQ(d.preemptions[0].tasks.size(), 1u);
  // Once cleared, the room is for that job alone, and it clears no more.
  p.machines[1].nominated_job = "wk-1";
  p.machines[1].free = {8, 4, 64};
  p.machines[1].preemptible_tasks.clear();
  JobView other = waiting("wk-0", wire::JobKind::array, 1, {4, 0, 8});
  other.priority = wire::Priority::critical;
  p.jobs = {other, p.jobs[0]};
  const Decisions after = run_pass(p);
  ASSERT_EQ(after.starts.size(), 1u);
  EXPECT_EQ(after.starts[0].job, 1u);
  EXPECT_TRUE(after.preemptions.empty());
}

TEST(Sched, EmptiesMachinesOnlyWhereTheirTasksFitOnFullerOnes) {
  ClusterSnapshot p;
  MachineView m;
  m.type = "big";
  m.zone = "a";
  m.schedulable = true;
  m.total = {8, 4, 64};
  m.images = {"i0"};
  const PreemptibleTask task{"wk-8", 0, wire::Priority::normal, {2, 1, 16}, "i0", false, true,
                             100,    3};
  for (std::size_t tasks : {1u, 3u, 2u}) {
    m.free = m.total;
    m.tasks = tasks;
    m.preemptible_tasks.assign(tasks, task);
    for (std::size_t i = 0; i < tasks; ++i) m.free -= task.request;
    p.machines.push_back(m);
  }
  using Indices = std::vector<std::size_t>;
  EXPECT_EQ(consolidation_candidates(p, 1, 3, 9),
            Indices{0});  // the one task goes to the machine of three
  ClusterSnapshot other = p;
  other.machines[0].preemptible_tasks[0].remaining_s = 11;  // hardly longer than its stop and start
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = p;
  other.machines[1].images.clear();  // the machine of two has the image, and room
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{0});
  other.machines[2].images.clear();
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = p;
  other.machines[1].spot = other.machines[2].spot = true;  // the task may not use those
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  other = p;
  other.machines[0].tasks = 2;  // one more on it that can't be moved
  EXPECT_EQ(consolidation_candidates(other, 1, 3, 9), Indices{});
  p.jobs.push_back(waiting("wk-1", wire::JobKind::array, 1, {9, 1, 8}));  // somebody waits
  EXPECT_EQ(consolidation_candidates(p, 1, 3, 9), Indices{});
}

TEST(Sched, TeamsAreServedInTurnByShares) {
  std::vector<JobView> jobs;
  for (int i = 0; i < 4; ++i) {  // red asks for much, and first
    jobs.push_back(waiting("wk-" + std::to_string(i), wire::JobKind::array, 4, {1, 1, 1}));
    jobs.back().created_ms = i;
  }
  jobs.push_back(waiting("wk-8", wire::JobKind::array, 4, {1, 1, 1}));
  jobs.back().team = "blue";
  jobs.back().created_ms = 9;
  jobs.push_back(jobs.back());
  jobs.back().id = "wk-9";
  set_fair_share_ranks(jobs, {}, {{"red", 4}, {"blue", 4}});
  // Each team's first job is within its guarantee; then they alternate.
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{0, 4, 1, 5, 2, 3}));
  for (JobView& j : jobs) j.fair_share_rank = 0;  // nothing is short: by creation time
  EXPECT_EQ(queue_order(jobs), (std::vector<std::size_t>{0, 1, 2, 3, 4, 5}));
}

TEST(Sched, KeepsHeadroomWithinItsBudget) {
  const std::vector<ScaleOutOption> options = {{"small", "a", false, 1, {4, 0, 16}}};
  ClusterSnapshot p;
  MachineView m;
  m.type = "small";
  m.zone = "a";
  m.schedulable = true;
  m.price = 1;
  m.total = m.free = {4, 0, 16};
  p.machines = {m, m};
  Headroom spare{waiting("", wire::JobKind::array, 4, {4, 0, 8}), 3, 2};
  ScalingPlan plan = plan_scaling(p, options, {spare});
  EXPECT_EQ(plan.headroom_machines.size(), 2u);  // two are there, and the budget pays for one more
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].count, 1);
  spare.max_price = 0.5;
  EXPECT_TRUE(plan_scaling(p, options, {spare}).headroom_machines.empty());
  spare.max_price = 2;
  spare.budget = 1;
  plan = plan_scaling(p, options, {spare});
  EXPECT_EQ(plan.headroom_machines.size(), 1u);
  EXPECT_TRUE(plan.scale_out.empty());
}

}  // namespace
}  // namespace seampass::sched
