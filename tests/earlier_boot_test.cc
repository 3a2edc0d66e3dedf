// A machine ends and is back under its name, with fewer incarnations behind it than in its earlier
// boot: what is left of that boot, in messages and records, says nothing of the present one. In
// simulated time, against our own fakes.
#include <gtest/gtest.h>

#include "fakes/calls.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

constexpr const char* kMachine = "m-000001";

// Two machines, of which the first has lost its lease twice, and one of its heartbeats is kept.
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
    cluster_.time.run_for(45000);  // two leases
    cut_off = false;
    change_leader();  // the next one does not know that the machine was to be returned
    cluster_.time.run_for(9000);
    cluster_.net.set_rule({});
  }

  void change_leader() {
    const std::string first = cluster_.leader();
    cluster_.kill(first);
    cluster_.wait_for_election();
    cluster_.start(first);
  }
  void restart_machine() {
    cluster_.cloud.restart(kMachine);
    change_leader();
  }

  SimulatedCluster cluster_{1, 2};
  net::Call old_heartbeat_;
};

// A copy of the heartbeat reaches the next leader: it names a higher incarnation than the present
// one, and does not end that, in which the machine runs its tasks.
TEST_F(EarlierBoot, HeartbeatEndsNoIncarnation) {
  restart_machine();
  cluster_.time.run_for(4000);
  ASSERT_TRUE(cluster_.submit_and_run(array_job("wk-1", 3, 60)));
  cluster_.time.run_for(4000);
  ASSERT_EQ(cluster_.running_tasks("wk-1"), 3);
  const std::string first = cluster_.leader();
  cluster_.kill(first);
  cluster_.wait_for_election();
  old_heartbeat_.endpoint = cluster_.leader() + ":8080";
  for (int i = 0; i < 20; ++i) {
    cluster_.resend({old_heartbeat_});
    cluster_.time.run_for(50);
  }
  cluster_.time.run_for(30000);
  cluster_.start(first);
  EXPECT_TRUE(cluster_.reaches("wk-1", "done", 120000));
  cluster_.expect_no_violations();
}

// The task records name an incarnation that the machine has not reached again.
TEST_F(EarlierBoot, IncarnationInRecordsIsNotWaitedFor) {
  change_leader();  // by now the idle machines were to be returned
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
