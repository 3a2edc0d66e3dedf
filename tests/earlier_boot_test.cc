// Tests of a machine that restarts under its name with a lower incarnation than it had before.
// Messages and task records from the earlier boot must prove nothing about the present one. The
// tests run in simulated time against fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

constexpr const char* kMachine = "m-000001";

// A cluster of two machines. The lease of the first one has expired twice, which has raised its
// incarnation, and `old_heartbeat_` holds its last heartbeat of that boot.
class EarlierBoot : public ::testing::Test {
 protected:
  EarlierBoot() {
    cluster_.cloud.capacity = 2;
    EXPECT_TRUE(cluster_.wait_for_leader());
    cluster_.cloud.refuses_deletion = true;
    bool cut_off = true;
    cluster_.net.set_rule([this, &cut_off](const std::string& from, const net::Call& call) {
      Delivery delivery;
      if (from != kMachine || !is_heartbeat(call)) return delivery;
      delivery.refuse = cut_off;
      if (!cut_off) old_heartbeat_ = call;
      return delivery;
    });
    cluster_.time.run_for(45000);  // longer than two leases
    cut_off = false;
    // The new leader does not know that the former one wanted to return the machine.
    change_leader();
    cluster_.time.run_for(9000);
    cluster_.net.set_rule({});
  }

  void change_leader() {
    const std::string first_leader = cluster_.leader();
    cluster_.kill(first_leader);
    cluster_.wait_for_election();
    cluster_.start(first_leader);
  }
  void restart_machine() {
    cluster_.cloud.restart(kMachine);
    change_leader();
  }

  SimulatedCluster cluster_{1, 2};
  net::Call old_heartbeat_;
};

// Copies of the old heartbeat reach the next leader and show a higher incarnation than the present
// one. The leader must not conclude that the present incarnation, in which the machine runs tasks,
// has ended.
TEST_F(EarlierBoot, HeartbeatDoesNotEndThePresentIncarnation) {
  restart_machine();
  cluster_.time.run_for(4000);
  ASSERT_TRUE(cluster_.submit_and_run(array_job("wk-1", 3, 60)));
  cluster_.time.run_for(4000);
  ASSERT_EQ(cluster_.running_tasks("wk-1"), 3);
  const std::string first_leader = cluster_.leader();
  cluster_.kill(first_leader);
  cluster_.wait_for_election();
  old_heartbeat_.endpoint = cluster_.leader() + ":8080";
  for (int i = 0; i < 20; ++i) {
    cluster_.resend({old_heartbeat_});
    cluster_.time.run_for(50);
  }
  cluster_.time.run_for(30000);
  cluster_.start(first_leader);
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 120000));
  cluster_.expect_no_violations();
}

// The task records name an incarnation that the machine has not reached again since its restart.
// The leader must not wait for that incarnation before it starts the tasks again.
TEST_F(EarlierBoot, LeaderDoesNotWaitForTheIncarnationInTaskRecords) {
  // The former leader was about to return the idle machines; the new one uses them.
  change_leader();
  cluster_.submit(cluster_.leader(), array_job("wk-1", 4, 30));
  ASSERT_TRUE(cluster_.reaches("wk-1", "running", 30000));
  cluster_.time.run_for(4000);
  ASSERT_EQ(cluster_.running_tasks("wk-1"), 4);
  restart_machine();
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 60000));
  cluster_.expect_no_violations();
}

}  // namespace
}  // namespace seampass::fakes
