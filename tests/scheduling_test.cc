// Unit tests of the HeadroomEstimator, the MachineReclaimer with the ZoneMonitor, and the
// SnapshotBuilder. The expected values are literals or are computed in the test by a simpler
// algorithm.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "fakes/sim_net.h"
#include "leader/fleet/machine_reclaimer.h"
#include "leader/scheduling/headroom_estimator.h"
#include "leader/scheduling/snapshot_builder.h"

namespace seampass::leader {
namespace {

// Answers every request at once: a request for the catalog with one machine type, a deletion (which
// it records) and every other request with an empty object, which lists no machines.
class CloudFake : public net::HttpCaller {
 public:
  void call(net::Call call, net::ReplyFn done) override {
    if (call.path == "/rentals/delete") deletions.push_back(call.body);
    const std::string body =
        call.path == "/catalog"
            ? R"({"barrels": [{"name": "small", "cpus": 8, "memory_gb": 64, "price": 2,
                  "low_price": 1, "ready_s": 40, "cellars": ["a"]}]})"
            : "{}";
    done({net::Reply::Result::answered, 200, body});
  }
  std::vector<std::string> deletions;
};

class SchedulingTest : public ::testing::Test {
 protected:
  SchedulingTest() {
    settings.heartbeat_interval_s = 2;
    settings.lease_s = 20;
    settings.cloud_rps = 10;
    settings.objectives = {{"wait", "interactive", 10, 1}};
    catalog.start();
    time.run_for(1'000'000);
  }

  JobRecord& add_job(const std::string& id, std::uint32_t tasks,
                     wire::JobKind kind = wire::JobKind::array) {
    JobRecord job;
    job.spec.kind = kind;
    job.spec.id = id;
    job.spec.job_class = "interactive";
    job.spec.tasks = tasks;
    job.spec.cpus = 1;
    job.spec.estimate_s = 60;
    job.ready_ms = job.created_ms = time.unix_time_ms();
    job.claimed.assign(tasks, false);
    job.finished.assign(tasks, false);
    dependencies.add(id, job.spec.priority, {});
    return jobs.add(std::move(job));
  }
  // Adds a registered machine whose last heartbeat arrived at `heartbeat_at`.
  static Machine& add_machine(MachineInventory::Map& machines, const std::string& name,
                              net::Ms heartbeat_at) {
    Machine& machine = machines[name];
    machine.name = name;
    machine.type = "small";
    machine.zone = "a";
    machine.registered = true;
    machine.rented_at = machine.idle_since = heartbeat_at;
    machine.note_heartbeat(heartbeat_at);
    return machine;
  }

  fakes::SimTime time;
  config::Settings settings;
  config::OperatorSettings operator_settings;
  CloudFake http;
  cloud::Client cloud{time, http, "cloud", 1000, 1000};
  cloud::MachineCatalog catalog{time, cloud, 1'000'000'000, 1000};
  JobTable jobs;
  AttemptTracker attempts{time};
  sched::DependencyGraph dependencies;
  SchedulingSources sources{time,    jobs,     attempts,         dependencies,
                            catalog, settings, operator_settings};
};

TEST_F(SchedulingTest, HeadroomEqualsExpectedArrivalsDuringBootPlusStandardDeviation) {
  std::mt19937 random(3);
  HeadroomEstimator estimator(sources);
  std::vector<std::pair<net::Ms, std::uint32_t>> arrivals;  // all arrivals, searched in every round
  for (int round = 0; round < 200; ++round) {
    time.run_for(1 + static_cast<net::Ms>(random() % 20'000));
    const std::uint32_t tasks = 1 + random() % 9;
    estimator.record_arrival(add_job("j" + std::to_string(round), tasks));
    arrivals.emplace_back(time.now(), tasks);

    // The window covers six boot times of 40 s, or the time since the first arrival if that is
    // shorter.
    const net::Ms window = std::min<net::Ms>(240'000, time.now() - arrivals.front().first);
    double sum = 0;
    double squares = 0;
    for (const auto& [when, count] : arrivals) {
      if (time.now() - when > window) continue;
      sum += count;
      squares += static_cast<double>(count) * count;
    }
    const double share = 40 / std::max(static_cast<double>(window) / 1000, 40.0);
    const auto list = estimator.estimate({});
    ASSERT_EQ(list.size(), 1U);
    EXPECT_EQ(list.front().job.pending.size(),
              static_cast<std::size_t>(std::ceil(sum * share + std::sqrt(squares * share))));
    EXPECT_EQ(list.front().max_price, 6);
  }
  estimator.end_term();
  EXPECT_TRUE(estimator.estimate({}).empty());
}

TEST_F(SchedulingTest, SingleTimedOutMachineIsReturnedAtOnceButSeveralOnlyAfterTheLease) {
  // A zone has four registered machines. Each case gives the number of machines whose heartbeats
  // have timed out, and whether they are returned before and after their lease has expired. A
  // single machine is returned at once. Several machines with overdue heartbeats suggest a network
  // failure, so they are returned only after the lease.
  const std::vector<std::tuple<int, bool, bool>> cases = {
      {1, true, true}, {2, false, true}, {3, false, true}, {4, false, true}};
  for (const auto& [timed_out_count, returned_before_lease, returned_after_lease] : cases) {
    for (const bool after_lease : {false, true}) {
      SCOPED_TRACE(std::to_string(timed_out_count) +
                   (after_lease ? " timed out, after the lease" : " timed out, before the lease"));
      MachineInventory inventory(time, catalog, settings);
      ZoneMonitor zones(time, settings, inventory);
      std::size_t deleted_count = 0;
      MachineReclaimer reclaimer(time, cloud, settings, operator_settings, zones, inventory,
                                 [&](Machine& /*machine*/) { ++deleted_count; });
      const net::Ms last_heartbeat_at = time.now() - (after_lease ? 21'000 : 13'000);
      for (int i = 0; i < 4; ++i)
        add_machine(inventory.machines(), "m" + std::to_string(i),
                    i < timed_out_count ? last_heartbeat_at : time.now());

      reclaimer.reclaim_unwanted({});

      const bool returned = after_lease ? returned_after_lease : returned_before_lease;
      EXPECT_EQ(deleted_count, returned ? static_cast<std::size_t>(timed_out_count) : 0U);
      EXPECT_EQ(inventory.machines().size(), 4 - deleted_count);
      EXPECT_EQ(inventory.is_deleted("m0"), returned);
      EXPECT_EQ(zones.is_unreachable("a"), timed_out_count == 4);
    }
  }
}

// Guards against snapshots and headroom that list every task of a job, so that a controller runs
// out of memory.
TEST_F(SchedulingTest, ViewsOfJobsOfTheLargestSizeListNoSingleTasks) {
  Fleet fleet(time, cloud, catalog, settings, operator_settings, [](Machine& /*machine*/) {});
  SnapshotBuilder builder(sources, fleet);
  HeadroomEstimator headroom(sources);
  for (const std::string id : {"a", "b", "c"})
    headroom.record_arrival(add_job(id, wire::kMaxTasks, wire::JobKind::gang));

  builder.update();

  ASSERT_EQ(builder.snapshot().jobs.size(), 3U);
  for (const sched::JobView& view : builder.snapshot().jobs) {
    EXPECT_EQ(view.pending.size(), wire::kMaxTasks);
    EXPECT_EQ(view.pending.range_count(), 1U);
  }
  const auto expected = headroom.estimate(builder.snapshot());
  ASSERT_EQ(expected.size(), 1U);
  EXPECT_GT(expected.front().job.pending.size(), std::size_t{3} * wire::kMaxTasks);
  EXPECT_EQ(expected.front().job.pending.range_count(), 1U);
}

TEST_F(SchedulingTest, SnapshotOrdersMachinesByNameAndReusesSlotsOfDeletedMachines) {
  Fleet fleet(time, cloud, catalog, settings, operator_settings, [](Machine& /*machine*/) {});
  SnapshotBuilder builder(sources, fleet);
  for (const std::string name : {"m2", "m0", "m1"}) add_machine(fleet.machines(), name, time.now());
  for (const std::string id : {"b", "c", "a"}) add_job(id, 300);
  const auto names = [&] {
    std::vector<std::string> result;
    for (const sched::MachineView& view : builder.snapshot().machines) result.push_back(view.name);
    return result;
  };

  const std::vector<JobRecord*> records = builder.update();

  EXPECT_EQ(names(), (std::vector<std::string>{"m0", "m1", "m2"}));
  ASSERT_EQ(records.size(), 3U);
  for (std::size_t i = 0; i < records.size(); ++i) {
    EXPECT_EQ(records[i]->spec.id, std::string(1, static_cast<char>('a' + i)));
    EXPECT_EQ(builder.snapshot().jobs[i].id, records[i]->spec.id);
    EXPECT_EQ(builder.snapshot().jobs[i].pending.size(), 256U);
    EXPECT_TRUE(builder.snapshot().jobs[i].has_start_objective);
  }

  builder.remove(*fleet.find("m1"));
  fleet.machines().erase("m1");
  add_machine(fleet.machines(), "m9", time.now());
  builder.update();
  EXPECT_EQ(names(), (std::vector<std::string>{"m0", "m9", "m2"}));
}

}  // namespace
}  // namespace seampass::leader
