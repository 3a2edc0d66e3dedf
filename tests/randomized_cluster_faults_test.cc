// Runs random sequences of faults, one sequence per seed: lost, late and repeated requests, killed
// nodes and machines, outages of the state service. No invariant may be violated, and every
// accepted job must end. The tests run in simulated time, against the fakes of the state service,
// the cloud and the workers.
#include <gtest/gtest.h>

#include "fakes/randomized_cluster.h"

namespace seampass::fakes {
namespace {

class RandomizedClusterFaults : public RandomizedCluster {
 protected:
  RandomizedClusterFaults() : RandomizedCluster(5, GetParam() * 7919 + 1) {}

  // Chooses the fault, if any, that a request meets.
  Delivery choose_delivery(const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == non_receiving_machine_ && is_heartbeat(call)) delivery.lose_answer = true;
    if (is_to_machine(call, non_receiving_machine_)) delivery.drop = true;
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
        // Repeats any request, also heartbeats, commands and requests that were already executed.
        delivery.repeat_after = pick_ms(40000);
        break;
      default:
        delivery.delay_without_answer = pick_ms(30000);
    }
    // Heartbeats arrive at most 15 s late, since a worker ignores the answer to a heartbeat that is
    // later than that. All other requests may arrive up to 30 s late.
    if (is_heartbeat(call) && delivery.delay_without_answer)
      delivery.delay_without_answer = std::min<Ms>(*delivery.delay_without_answer, 15000);
    return delivery;
  }

  void run_step(int step) {
    fault_percent_ = pick(4) == 0 ? 30 : 5;
    const std::string node = pick_node();
    perform_action(pick(9), node, "wk-" + std::to_string(1000 + step));
    cluster_.time.run_for(pick_ms(9000));
    if (cluster_.state.down && pick(2) == 0) cluster_.state.end_outage();
    if (!killed_.empty() && pick(2) == 0) start_one_killed_node();
  }

  void end_faults() {
    fault_percent_ = 0;
    non_receiving_machine_.clear();
    cluster_.state.end_outage();
    start_killed_nodes();
  }

  // Repeats the cancellation of a job, as users do when they get no answer, until a node answers
  // with 200, at most 100 times. Does nothing if the test has not cancelled the job.
  void repeat_cancellation(const std::string& id) {
    for (int i = 0; i < 100 && cancelled_.contains(id); ++i)
      if (cluster_.cancel(kNodes.at(i % 3), id).status == 200) break;
  }

 private:
  // Begins or ends a fault, or submits, cancels or polls a job. `action` is the number that was
  // drawn.
  void perform_action(unsigned action, const std::string& node, const std::string& new_id) {
    switch (action) {
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
        non_receiving_machine_ = non_receiving_machine_.empty() && !no_machine_is_up()
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
  // This machine's heartbeats arrive, but no reply and no command reaches it.
  std::string non_receiving_machine_;
  std::set<std::string> cancelled_;
};

TEST_P(RandomizedClusterFaults, InvariantsHoldAndAllJobsEnd) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  cluster_.net.set_rule([this](const std::string& from, const net::Call& call) {
    return choose_delivery(from, call);
  });
  for (int step = 0; step < 60; ++step) run_step(step);
  end_faults();
  for (const std::string& id : accepted_) {
    repeat_cancellation(id);
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
