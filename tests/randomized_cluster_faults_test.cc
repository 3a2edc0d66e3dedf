// Many days of mixed faults, each from its seed: lost, late and repeated requests, killed nodes and
// machines, outages of the store. In simulated time, against our own fakes.
#include <gtest/gtest.h>

#include "fakes/randomized_cluster.h"

namespace seampass::fakes {
namespace {

class RandomizedClusterFaults : public RandomizedCluster {
 protected:
  RandomizedClusterFaults() : RandomizedCluster(5, GetParam() * 7919 + 1) {}

  Delivery deliver(const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == receives_nothing_ && is_heartbeat(call)) delivery.lose_answer = true;
    if (is_to_machine(call, receives_nothing_)) delivery.drop = true;
    if (delivery.drop || delivery.lose_answer) return delivery;
    if (from == "user" || pick(100) >= fault_percent_) return delivery;
    switch (pick(4)) {
      case 0:
        delivery.refuse = true;
        break;
      case 1:
        delivery.lose_answer = true;
        break;
      case 2:
        // Of heartbeats, of commands, and of requests that were carried out.
        delivery.repeat_after = pick_ms(40000);
        break;
      default:
        delivery.late = pick_ms(30000);
    }
    // A worker drops the answer to a heartbeat that comes later; the rest may be anything.
    if (is_heartbeat(call) && delivery.late) delivery.late = std::min<Ms>(*delivery.late, 15000);
    return delivery;
  }

  void play_step(int step) {
    fault_percent_ = pick(4) == 0 ? 30 : 5;
    const std::string node = pick_node();
    act(pick(9), node, "wk-" + std::to_string(1000 + step));
    cluster_.time.run_for(pick_ms(9000));
    if (cluster_.state.down && pick(2) == 0) cluster_.state.come_back();
    if (!killed_.empty() && pick(2) == 0) start_one_killed_node();
  }

  void end_faults() {
    fault_percent_ = 0;
    receives_nothing_.clear();
    cluster_.state.come_back();
    start_killed_nodes();
  }

  // A cancellation whose answer did not come is asked for again, as users do.
  void cancel_again(const std::string& id) {
    for (int i = 0; i < 100 && cancelled_.contains(id); ++i)
      if (cluster_.cancel(kNodes.at(i % 3), id).status == 200) break;
  }

 private:
  void act(unsigned kind, const std::string& node, const std::string& new_id) {
    switch (kind) {
      case 0:
      case 1:
      case 2:
        submit(node, new_id);
        break;
      case 3:
        if (!accepted_.empty()) cancel(node, pick_job());
        break;
      case 4:
        if (!killed_.contains(node)) kill(node);
        break;
      case 5:
        cluster_.state.down = true;
        break;
      case 6:
        if (!no_machine_is_up()) worker(pick_machine()).crash();
        break;
      case 8:
        receives_nothing_ = receives_nothing_.empty() && !no_machine_is_up()
                                ? cluster_.cloud.machines.begin()->first
                                : "";
        break;
      default:
        if (!accepted_.empty()) cluster_.poll(node, pick_job());
    }
  }
  void submit(const std::string& node, const std::string& id) {
    auto job = pick(3) == 0 ? gang_job(id, 1 + pick(3), 8) : array_job(id, 1 + pick(6), 8);
    if (job.kind == wire::JobKind::gang && pick(2) == 0) make_urgent(job);
    make_preemptible(job);
    if (cluster_.submit(node, job).accepted()) accepted_.push_back(id);
  }
  void cancel(const std::string& node, const std::string& id) {
    cancelled_.insert(id);
    cluster_.cancel(node, id);
  }

  unsigned fault_percent_ = 0;
  std::string receives_nothing_;  // a machine whose heartbeats arrive
  std::set<std::string> cancelled_;
};

TEST_P(RandomizedClusterFaults, ViolateNothing) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  cluster_.net.set_rule(
      [this](const std::string& from, const net::Call& call) { return deliver(from, call); });
  for (int step = 0; step < 60; ++step) play_step(step);
  end_faults();
  for (const std::string& id : accepted_) {
    cancel_again(id);
    const bool cancelled = cluster_.checker.jobs[id].cancelled;
    EXPECT_TRUE(cluster_.reaches(id, cancelled ? "withdrawn" : "done", 400000))
        << id << "\n"
        << cluster_.state.dump("work/" + id) << cluster_.state.dump("open/" + id);
  }
  cluster_.expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomizedClusterFaults, ::testing::Range(1u, 13u));

}  // namespace
}  // namespace seampass::fakes
