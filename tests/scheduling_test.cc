// The parts of scheduling and of the fleet that carry rules of their own, beside plain
// expectations.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "fakes/sim_net.h"
#include "leader/fleet/machine_reclaimer.h"
#include "leader/scheduling/headroom_estimator.h"
#include "leader/scheduling/snapshot_builder.h"

namespace seampass::leader {
namespace {

// Answers the catalog and every deletion at once; lists no machines.
class CloudFake : public net::HttpCaller {
 public:
  void call(net::Call call, net::ReplyFn done) override {
    if (call.path == "/rentals/delete") deletions.push_back(call.body);
    const std::string body =
        call.path == "/catalog"
            ? R"({"barrels": [{"name": "small", "cpus": 8, "memory_gb": 64, "price": 2,
                  "low_price": 1, "ready_s": 40, "cellars": ["a"]}]})"
            : "{}";
    done({net::Reply::Fate::answered, 200, body});
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

  JobRecord& add_job(const std::string& id, std::uint32_t tasks) {
    JobRecord job;
    job.spec.id = id;
    job.spec.job_class = "interactive";
    job.spec.tasks = tasks;
    job.spec.cpus = 1;
    job.spec.estimate_s = 60;
    job.ready_ms = job.created_ms = time.wall();
    job.claimed.assign(tasks, false);
    job.finished.assign(tasks, false);
    dependencies.add(id, job.spec.priority, {});
    return jobs.add(std::move(job));
  }
  // Up, and heard so long ago.
  static Machine& add_machine(MachineInventory::Map& machines, const std::string& name,
                              net::Ms heard_at) {
    Machine& machine = machines[name];
    machine.name = name;
    machine.type = "small";
    machine.zone = "a";
    machine.registered = true;
    machine.rented_at = machine.idle_since = heard_at;
    machine.note_heartbeat(heard_at);
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

TEST_F(SchedulingTest, HeadroomIsWhatArrivesWhileAMachineBootsAndItsSpread) {
  std::mt19937 random(3);
  HeadroomEstimator estimator(sources);
  std::vector<std::pair<net::Ms, std::uint32_t>> arrivals;  // all of them, looked through each time
  for (int round = 0; round < 200; ++round) {
    time.run_for(1 + static_cast<net::Ms>(random() % 20'000));
    const std::uint32_t tasks = 1 + random() % 9;
    estimator.record_arrival(add_job("j" + std::to_string(round), tasks));
    arrivals.emplace_back(time.now(), tasks);

    // Six boots of forty seconds, or less near the beginning.
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

TEST_F(SchedulingTest, SilentMachinesAreReturnedOneByOneButManyOnlyAfterTheLease) {
  // Of four machines that are up, so many are silent: whether those are returned, before and after
  // the lease.
  const std::vector<std::tuple<int, bool, bool>> cases = {
      {1, true, true}, {2, false, true}, {3, false, true}, {4, false, true}};
  for (const auto& [silent, returned_early, returned_late] : cases) {
    for (const bool late : {false, true}) {
      SCOPED_TRACE(std::to_string(silent) + (late ? " silent, late" : " silent, early"));
      MachineInventory inventory(time, catalog, settings);
      ZoneMonitor zones(time, settings, inventory);
      std::size_t gone = 0;
      MachineReclaimer reclaimer(time, cloud, settings, operator_settings, zones, inventory,
                                 [&](Machine& /*machine*/) { ++gone; });
      const net::Ms silent_since = time.now() - (late ? 21'000 : 13'000);
      for (int i = 0; i < 4; ++i)
        add_machine(inventory.machines(), "m" + std::to_string(i),
                    i < silent ? silent_since : time.now());

      reclaimer.reclaim_unwanted({});

      const bool returned = late ? returned_late : returned_early;
      EXPECT_EQ(gone, returned ? static_cast<std::size_t>(silent) : 0U);
      EXPECT_EQ(inventory.machines().size(), 4 - gone);
      EXPECT_EQ(inventory.deleted("m0"), returned);
      EXPECT_EQ(zones.is_cut("a"), silent == 4);
    }
  }
}

TEST_F(SchedulingTest, SnapshotIsInTheOrderOfNamesAndReusesThePlacesOfMachinesThatAreGone) {
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
    EXPECT_TRUE(builder.snapshot().jobs[i].urgent);
  }

  builder.remove(*fleet.find("m1"));
  fleet.machines().erase("m1");
  add_machine(fleet.machines(), "m9", time.now());
  builder.update();
  EXPECT_EQ(names(), (std::vector<std::string>{"m0", "m9", "m2"}));
}

}  // namespace
}  // namespace seampass::leader
