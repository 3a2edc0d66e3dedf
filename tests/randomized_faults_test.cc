// Many days on which faults meet, each from its seed; then all faults end, and nothing may be
// forgotten or left waiting. In simulated time, against our own fakes.
#include <gtest/gtest.h>

#include <algorithm>

#include "fakes/randomized_cluster.h"

namespace seampass::fakes {
namespace {

class RandomizedFaults : public RandomizedCluster {
 protected:
  RandomizedFaults() : RandomizedCluster(6, GetParam() * 6007 + 5) { cluster_.cloud.capacity = 12; }

  void begin_faults() {
    cluster_.net.set_rule(
        [this](const std::string& from, const net::Call& call) { return deliver(from, call); });
    cluster_.net.set_peer_rule([this](const std::string& from, const std::string& to) {
      return from != isolated_node_ && to != isolated_node_;
    });
  }

  void play_step(int step) {
    const std::string node = pick_node();
    const std::string new_id = "wk-" + std::to_string(1000 + step);
    fault_percent_ = pick(4) == 0 ? 30 : 3;
    act(pick(18), node, new_id);
    if (!killed_.contains(node) && !accepted_.empty()) cluster_.poll(node, pick_job());
    cluster_.time.run_for(pick_ms(7000));
    if (cluster_.state.down && pick(6) == 0) cluster_.state.come_back();
    if (!refused_node_.empty() && pick(4) == 0) refused_node_.clear();
    if (!isolated_node_.empty() && pick(5) == 0) isolated_node_.clear();
    while (!killed_.empty() && pick(2) == 0) start_one_killed_node();
  }

  void end_faults() {
    fault_percent_ = late_write_percent_ = late_heartbeat_percent_ = 0;
    receives_nothing_ = sends_nothing_ = refused_node_ = isolated_node_ = "";
    cluster_.state.come_back();
    start_killed_nodes();
    over_at_ = cluster_.time.now();
  }

  // Every accepted job is known and every cancellation answered, by any node, within 75 s.
  void expect_answers_about_all_jobs() {
    std::set<std::string> unknown(accepted_.begin(), accepted_.end());
    std::set<std::string> unconfirmed = cancelled_;
    while (cluster_.time.now() - over_at_ < 75000 && !(unknown.empty() && unconfirmed.empty())) {
      for (auto it = unconfirmed.begin(); it != unconfirmed.end();)
        it =
            cluster_.cancel(pick_node(), *it).status == 200 ? unconfirmed.erase(it) : std::next(it);
      for (auto it = unknown.begin(); it != unknown.end();)
        it = cluster_.poll(pick_node(), *it).status == 200 ? unknown.erase(it) : std::next(it);
      cluster_.time.run_for(500);
    }
    EXPECT_TRUE(unknown.empty()) << *unknown.begin();
    EXPECT_TRUE(unconfirmed.empty()) << *unconfirmed.begin();
  }

  // Little enough is open that all of it fits, one after another. (A job with dependencies has its
  // time later, from when those are done.)
  void expect_no_job_waits() {
    cluster_.time.run_until(std::max(cluster_.time.now(), over_at_ + 90000));
    for (const std::string& id : accepted_) {
      const JobHistory& job = cluster_.checker.jobs[id];
      if (job.cancelled || !job.spec.dependencies.empty()) continue;
      EXPECT_EQ(cluster_.unplaced_tasks(id), 0) << id << " waits\n"
                                                << cluster_.state.dump("work/" + id);
    }
  }

  void expect_all_jobs_end() {
    for (const std::string& id : accepted_) {
      const bool cancelled = cluster_.checker.cancelled_since(id).has_value();
      EXPECT_TRUE(cluster_.reaches(id, cancelled ? "withdrawn" : "done", 90000)) << id;
    }
  }

 private:
  Delivery deliver(const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == "user") return delivery;
    if (is_heartbeat(call) && from == receives_nothing_) delivery.lose_answer = true;
    if (is_to_machine(call, receives_nothing_)) delivery.drop = true;
    if (is_heartbeat(call) && from == sends_nothing_) delivery.refuse = true;
    if (is_to_store(call) && from == refused_node_) delivery.status = 503;
    if (is_to_store(call) && from == isolated_node_) delivery.drop = true;
    const bool decided =
        delivery.drop || delivery.lose_answer || delivery.refuse || delivery.status != 0;
    if (decided) return delivery;
    if (is_transaction(call) && pick(100) < late_write_percent_)
      delivery.late = 2000 + pick_ms(10000);
    if (is_heartbeat(call) && pick(100) < late_heartbeat_percent_)
      delivery.repeat_after = 2000 + pick_ms(40000);
    if (delivery.late || pick(100) >= fault_percent_) return delivery;
    switch (pick(4)) {
      case 0:
        delivery.refuse = true;
        break;
      case 1:
        delivery.lose_answer = true;
        break;
      case 2:
        delivery.repeat_after = pick_ms(40000);
        break;
      default:
        delivery.late = pick_ms(is_heartbeat(call) ? 15000 : 30000);
    }
    return delivery;
  }

  void act(unsigned kind, const std::string& node, const std::string& new_id) {
    switch (kind) {
      case 0:
        late_write_percent_ = late_write_percent_ == 0 ? 40 : 0;
        break;
      case 1:
        late_heartbeat_percent_ = late_heartbeat_percent_ == 0 ? 30 : 0;
        break;
      case 2:
        receives_nothing_ = machine_unless(receives_nothing_);
        break;
      case 3:
        sends_nothing_ = machine_unless(sends_nothing_);
        break;
      case 4:
        refused_node_ = refused_node_.empty() ? cluster_.leader() : "";
        break;
      case 5:
        isolated_node_ = isolated_node_.empty() ? cluster_.leader() : "";
        break;
      case 6:
        cluster_.state.down = true;
        break;
      case 7:
        refuse_leader_then_all_during_cancellations();
        break;
      case 8:
        cancel_jobs_while_machines_hang();
        break;
      case 9:
        if (!accepted_.empty()) cancel_as_last_task_ends(node, pick_job());
        break;
      case 10:
        if (!no_machine_is_up()) worker(pick_machine()).crash();
        break;
      case 11:
        if (!no_machine_is_up()) cluster_.cloud.restart(pick_machine());
        break;
      case 12:
        kill_or_restart_leader();
        break;
      case 13:
        for (const char* each : kNodes) kill(each);
        break;
      default:
        submit(node, new_id);
    }
  }

  // None if there was one, else one that is up.
  std::string machine_unless(const std::string& present) {
    return present.empty() && !no_machine_is_up() ? pick_machine() : "";
  }
  void cancel(const std::string& id) {
    cancelled_.insert(id);
    cluster_.cancel_without_waiting(pick_node(), id);
  }
  void cancel_three_jobs() {
    for (int i = 0; i < 3 && !accepted_.empty(); ++i) cancel(pick_job());
  }
  void refuse_leader_then_all_during_cancellations() {
    refused_node_ = cluster_.leader();
    cancel_three_jobs();
    cluster_.time.run_for(pick_ms(3000));
    cluster_.state.down = true;
  }
  void cancel_jobs_while_machines_hang() {
    for (int i = 0; i < 3 && !no_machine_is_up(); ++i) {
      pick_machine();  // not used: keeps each seed's sequence
      Worker& hanging = worker(pick_machine());
      hanging.hang(pick_ms(30000));
    }
    cancel_three_jobs();
  }
  void cancel_as_last_task_ends(const std::string& node, const std::string& id) {
    for (int i = 0; i < 300 && cluster_.unfinished_tasks(id) > 0; ++i) cluster_.time.run_for(50);
    cancel(id);
    cluster_.poll(node, id);
    cluster_.submit(node, cluster_.checker.jobs[id].spec);
  }
  void kill_or_restart_leader() {
    const std::string leader = cluster_.leader();
    if (leader.empty()) return;
    cluster_.kill(leader);
    if (pick(2) == 0) {
      cluster_.time.run_for(pick_ms(900));
      cluster_.start(leader);
    } else {
      killed_.insert(leader);
    }
  }

  void submit(const std::string& node, const std::string& id) {
    auto job =
        pick(3) == 0 ? gang_job(id, 1 + pick(3), 9) : array_job(id, 1 + pick(6), 4 + pick(20));
    if (pick(4) == 0) job.zone = pick(2) == 0 ? "a" : "b";
    if (job.kind == wire::JobKind::gang && pick(2) == 0) make_urgent(job);
    job.team = pick(3) == 0 ? "red" : "blue";
    make_preemptible(job);
    add_dependencies(job);
    const JobAnswer answer = cluster_.submit(node, job);
    if (answer.accepted()) accepted_.push_back(id);
    EXPECT_TRUE(answer.accepted() || answer.status == 503 || answer.status == 0) << answer.status;
  }
  // Chains, fans and diamonds, also behind jobs that are finished or cancelled.
  void add_dependencies(wire::Job& job) {
    for (int i = 0; i < 3 && !accepted_.empty(); ++i) {
      const unsigned recent = std::min<unsigned>(6, static_cast<unsigned>(accepted_.size()));
      const std::string& other = accepted_[accepted_.size() - 1 - pick(recent)];
      auto& ids = job.dependencies;
      if (pick(3) == 0 && std::find(ids.begin(), ids.end(), other) == ids.end())
        ids.push_back(other);
    }
  }

  unsigned fault_percent_ = 0;
  unsigned late_write_percent_ = 0;
  unsigned late_heartbeat_percent_ = 0;
  std::string receives_nothing_;  // a machine whose heartbeats arrive
  std::string sends_nothing_;     // a machine that commands reach
  std::string refused_node_;      // by the store alone
  std::string isolated_node_;     // from the store and its peers, not from workers
  std::set<std::string> cancelled_;
  Ms over_at_ = 0;
};

TEST_P(RandomizedFaults, ViolateNothingAndLeaveNothingWaiting) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  begin_faults();
  for (int step = 0; step < 50; ++step) play_step(step);
  end_faults();
  expect_answers_about_all_jobs();
  expect_no_job_waits();
  expect_all_jobs_end();
  cluster_.time.run_for(45000);
  cluster_.expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomizedFaults, ::testing::Range(1u, 13u));

}  // namespace
}  // namespace seampass::fakes
