// Runs random sequences of overlapping faults, one sequence per seed. Once all faults have ended,
// status queries must find every accepted job, and every job must end. The tests run in simulated
// time, against the fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include <algorithm>

#include "fakes/randomized_cluster.h"

namespace seampass::fakes {
namespace {

class RandomizedFaults : public RandomizedCluster {
 protected:
  RandomizedFaults() : RandomizedCluster(6, GetParam() * 6007 + 5) { cluster_.cloud.capacity = 12; }

  void begin_faults() {
    cluster_.net.set_rule([this](const std::string& from, const net::Call& call) {
      return choose_delivery(from, call);
    });
    cluster_.net.set_peer_rule([this](const std::string& from, const std::string& to) {
      return from != isolated_node_ && to != isolated_node_;
    });
  }

  void run_step(int step) {
    const std::string node = pick_node();
    const std::string new_id = "wk-" + std::to_string(1000 + step);
    fault_percent_ = pick(4) == 0 ? 30 : 3;
    perform_action(pick(18), node, new_id);
    if (!killed_.contains(node) && !accepted_.empty()) cluster_.poll(node, pick_job());
    cluster_.time.run_for(pick_ms(7000));
    if (cluster_.state.down && pick(6) == 0) cluster_.state.end_outage();
    if (!node_refused_by_store_.empty() && pick(4) == 0) node_refused_by_store_.clear();
    if (!isolated_node_.empty() && pick(5) == 0) isolated_node_.clear();
    while (!killed_.empty() && pick(2) == 0) start_one_killed_node();
  }

  void end_faults() {
    fault_percent_ = late_write_percent_ = late_heartbeat_percent_ = 0;
    non_receiving_machine_ = non_sending_machine_ = node_refused_by_store_ = isolated_node_ = "";
    cluster_.state.end_outage();
    start_killed_nodes();
    faults_ended_at_ = cluster_.time.now();
  }

  // Polls and cancels through random nodes. Within 75 s after the faults end, some node must answer
  // with 200 to a status query for each accepted job and to each cancellation.
  void expect_all_jobs_and_cancellations_are_answered() {
    std::set<std::string> unknown(accepted_.begin(), accepted_.end());
    std::set<std::string> unconfirmed = cancelled_;
    while (cluster_.time.now() - faults_ended_at_ < 75000 &&
           !(unknown.empty() && unconfirmed.empty())) {
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

  // Expects that 90 s after the faults end every unfinished task is on a machine. The open jobs are
  // few enough for the cloud's machines to run all of them in turn. Jobs with dependencies are left
  // out: their tasks start later, once the dependencies are done.
  void expect_all_tasks_are_placed() {
    cluster_.time.run_until(std::max(cluster_.time.now(), faults_ended_at_ + 90000));
    for (const std::string& id : accepted_) {
      const JobHistory& job = cluster_.checker.jobs[id];
      if (job.cancelled || !job.spec.dependencies.empty()) continue;
      EXPECT_EQ(cluster_.unplaced_tasks(id), 0) << id << " has unplaced tasks\n"
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
  // Chooses the fault, if any, that a request meets. Requests of users meet none. Faults that last
  // for several steps take precedence over faults that are drawn for a single request.
  Delivery choose_delivery(const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == "user") return delivery;
    if (is_heartbeat(call) && from == non_receiving_machine_) delivery.lose_answer = true;
    if (is_to_machine(call, non_receiving_machine_)) delivery.drop = true;
    if (is_heartbeat(call) && from == non_sending_machine_) delivery.refuse = true;
    if (is_to_store(call) && from == node_refused_by_store_) delivery.status = 503;
    if (is_to_store(call) && from == isolated_node_) delivery.drop = true;
    const bool has_lasting_fault =
        delivery.drop || delivery.lose_answer || delivery.refuse || delivery.status != 0;
    if (has_lasting_fault) return delivery;
    if (is_transaction(call) && pick(100) < late_write_percent_)
      delivery.delay_without_answer = 2000 + pick_ms(10000);
    if (is_heartbeat(call) && pick(100) < late_heartbeat_percent_)
      delivery.repeat_after = 2000 + pick_ms(40000);
    if (delivery.delay_without_answer || pick(100) >= fault_percent_) return delivery;
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
        delivery.delay_without_answer = pick_ms(is_heartbeat(call) ? 15000 : 30000);
    }
    return delivery;
  }

  // Begins or ends a fault, or cancels or submits jobs. `action` is the number that was drawn.
  void perform_action(unsigned action, const std::string& node, const std::string& new_id) {
    switch (action) {
      case 0:
        late_write_percent_ = late_write_percent_ == 0 ? 40 : 0;
        break;
      case 1:
        late_heartbeat_percent_ = late_heartbeat_percent_ == 0 ? 30 : 0;
        break;
      case 2:
        non_receiving_machine_ = toggle_machine(non_receiving_machine_);
        break;
      case 3:
        non_sending_machine_ = toggle_machine(non_sending_machine_);
        break;
      case 4:
        node_refused_by_store_ = node_refused_by_store_.empty() ? cluster_.leader() : "";
        break;
      case 5:
        isolated_node_ = isolated_node_.empty() ? cluster_.leader() : "";
        break;
      case 6:
        cluster_.state.down = true;
        break;
      case 7:
        refuse_leader_then_all_nodes_during_cancellations();
        break;
      case 8:
        cancel_jobs_while_machines_hang();
        break;
      case 9:
        if (!accepted_.empty()) cancel_when_last_task_ends(node, pick_job());
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
        for (const char* name : kNodes) kill(name);
        break;
      default:
        submit(node, new_id);
    }
  }

  // Switches a machine's fault on or off: returns an empty name if `current` names a machine or no
  // machine is up, else picks one of the machines that are up.
  std::string toggle_machine(const std::string& current) {
    return current.empty() && !no_machine_is_up() ? pick_machine() : "";
  }
  void cancel(const std::string& id) {
    cancelled_.insert(id);
    cluster_.cancel_without_waiting(pick_node(), id);
  }
  void cancel_three_jobs() {
    for (int i = 0; i < 3 && !accepted_.empty(); ++i) cancel(pick_job());
  }
  // The state service refuses only the leader while jobs are cancelled, then every request.
  void refuse_leader_then_all_nodes_during_cancellations() {
    node_refused_by_store_ = cluster_.leader();
    cancel_three_jobs();
    cluster_.time.run_for(pick_ms(3000));
    cluster_.state.down = true;
  }
  void cancel_jobs_while_machines_hang() {
    for (int i = 0; i < 3 && !no_machine_is_up(); ++i) {
      pick_machine();  // result unused: this draw keeps each seed's random sequence the same
      Worker& hanging = worker(pick_machine());
      hanging.hang(pick_ms(30000));
    }
    cancel_three_jobs();
  }
  // Waits up to 15 s until the last task of the job ends, so that the cancellation races with the
  // final status `done`. Then submits the same job again.
  void cancel_when_last_task_ends(const std::string& node, const std::string& id) {
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
  // Makes the job depend on up to three of the six jobs that were accepted last, including finished
  // and cancelled ones. Over many steps the jobs form chains, fans and diamonds.
  void add_dependencies(wire::Job& job) {
    for (int i = 0; i < 3 && !accepted_.empty(); ++i) {
      const unsigned recent = std::min<unsigned>(6, static_cast<unsigned>(accepted_.size()));
      const std::string& dependency = accepted_[accepted_.size() - 1 - pick(recent)];
      auto& ids = job.dependencies;
      if (pick(3) == 0 && std::find(ids.begin(), ids.end(), dependency) == ids.end())
        ids.push_back(dependency);
    }
  }

  // The share of requests that meet a fault drawn for this request alone.
  unsigned fault_percent_ = 0;
  // The share of transactions that arrive 2 s to 12 s late.
  unsigned late_write_percent_ = 0;
  // The share of heartbeats of which a copy arrives 2 s to 42 s later.
  unsigned late_heartbeat_percent_ = 0;
  // This machine's heartbeats arrive, but no reply and no command reaches it.
  std::string non_receiving_machine_;
  // Commands reach this machine, but its heartbeats are not sent.
  std::string non_sending_machine_;
  // The state service refuses this node's requests. Messages between the node and its peers pass.
  std::string node_refused_by_store_;
  // This node reaches neither the state service nor its peers. It still reaches workers.
  std::string isolated_node_;
  std::set<std::string> cancelled_;
  Ms faults_ended_at_ = 0;
};

TEST_P(RandomizedFaults, InvariantsHoldAndAllJobsEnd) {
  ASSERT_TRUE(cluster_.wait_for_leader());
  begin_faults();
  for (int step = 0; step < 50; ++step) run_step(step);
  end_faults();
  expect_all_jobs_and_cancellations_are_answered();
  expect_all_tasks_are_placed();
  expect_all_jobs_end();
  cluster_.time.run_for(45000);
  cluster_.expect_no_violations();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomizedFaults, ::testing::Range(1u, 13u));

}  // namespace
}  // namespace seampass::fakes
