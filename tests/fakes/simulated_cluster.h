// A whole deployment in simulated time: three nodes of the service, the state service, the cloud
// with its workers, and users. Tests own it. Every answer that a user receives and every task that
// a worker starts or stops is passed to the invariant checker. Times are in simulated milliseconds.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "app/node.h"
#include "fakes/cloud_service.h"
#include "fakes/invariant_checker.h"
#include "fakes/jobs.h"
#include "fakes/settings.h"
#include "fakes/sim_net.h"
#include "fakes/sim_peers.h"
#include "fakes/sim_time.h"
#include "fakes/state_service.h"

namespace seampass::fakes {

// An answer to a user. `status` is 0 if no answer arrived within the user's timeout.
struct JobAnswer {
  int status = 0;
  wire::Json body;

  [[nodiscard]] std::string stage() const {
    return body.is_object() ? body.value("stage", "") : "";
  }
  [[nodiscard]] bool accepted() const { return status == 200 || status == 201; }
};

// Simulated time advances only while the test calls this class or `time`: a call that waits for an
// answer or a state runs the simulation until then. With LOG_LEVEL=debug in the environment, the
// nodes' log lines are printed.
class SimulatedCluster {
 public:
  // `production` names the nodes that run the version in production until upgrade() is called for
  // them.
  explicit SimulatedCluster(unsigned seed = 1, int machines = 4, const StoreLimits& limits = {},
                            const std::set<std::string>& production = {});
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Control of the nodes.
  void start(const std::string& node);
  void start_all();
  void kill(const std::string& node);
  void kill_all();
  // Restarts the node with the new version.
  void upgrade(const std::string& node);
  // From now on, every timer that the node creates runs `lag` later than requested.
  void slow_down(const std::string& node, Ms lag);
  [[nodiscard]] bool runs(const std::string& node) const;
  // The name of the node that leads and whose lease still holds; empty if there is none.
  [[nodiscard]] std::string leader() const;
  [[nodiscard]] int leader_count() const;
  // The name of a node that runs and does not lead; empty if there is none.
  [[nodiscard]] std::string follower() const;
  // Waits until a node leads and answers 200 to /up. Gives up after 300 tries, 100 ms apart.
  // Returns whether a node leads at the end.
  [[nodiscard]] bool wait_for_leader();
  // Waits until a node leads, without a timeout.
  void wait_for_election();
  // Drops all messages between nodes from now on.
  void separate_peers();
  // Drops all messages between this node and its peers from now on.
  void separate_from_peers(const std::string& node);
  // Removes the rules for requests and for peer messages, so that all are delivered again.
  void end_network_faults();

  // Limits and records of the state service. From now on it enforces `limits`, except for the rate
  // of requests.
  void apply_limits(const config::StateLimits& limits);
  // Writes or deletes a key unconditionally, as another version of the program may have done.
  void put(const std::string& key, const wire::Json& value);
  void remove(const std::string& key);

  // Requests of users. Every answer about a job is passed to the checker.
  JobAnswer request(const std::string& node, const char* method, const std::string& path,
                    const std::string& body = "");
  JobAnswer submit(const std::string& node, const wire::Job& job);
  // Repeats the submission every second, as users do, until it is accepted. Returns false if it was
  // not accepted within `timeout`.
  bool submit_until_accepted(const std::string& node, const wire::Job& job, Ms timeout = 60000);
  // Submits the job through n0. Returns whether it runs within `timeout`.
  [[nodiscard]] bool submit_and_run(const wire::Job& job, Ms timeout = 30000);
  JobAnswer poll(const std::string& node, const std::string& id);
  JobAnswer cancel(const std::string& node, const std::string& id);
  // Repeats the cancellation every second, as users do, until it is answered with 200. Expects
  // every other answer to be a 503 that arrives within 2 seconds. Returns an answer with status 0
  // if there was no 200 within `timeout`.
  JobAnswer cancel_until_final(const std::string& node, const std::string& id, Ms timeout);
  // Sends the cancellation and returns immediately. The answer is passed to the checker when it
  // arrives.
  void cancel_without_waiting(const std::string& node, const std::string& id);
  // Polls all nodes that run until one of them answers with this stage. Returns false if none did
  // within `timeout`.
  [[nodiscard]] bool reaches(const std::string& id, const std::string& stage, Ms timeout);

  // How many tasks of a job currently run on a machine.
  [[nodiscard]] int running_tasks(const std::string& id) const;
  // How many tasks of a job have not finished.
  [[nodiscard]] int unfinished_tasks(const std::string& id) const;
  // How many tasks of a job have not finished and run on no machine.
  [[nodiscard]] int unplaced_tasks(const std::string& id) const;
  // How many starts of tasks there were so far, over all jobs. Each repeated start counts.
  [[nodiscard]] int start_count() const;

  // Delivers a peer message immediately, to simulate late and repeated messages.
  void deliver(const std::string& from, const std::string& node, const rpc::Message& message) {
    SimPeers::deliver(registry_, from, node, message);
  }
  // Records the requests with this path that are sent from now on. Later requests are added to the
  // returned list. The recording replaces the network's current rule.
  const std::vector<net::Call>& record_calls(const char* path);
  // Sends copies of the requests and ignores the answers.
  void resend(const std::vector<net::Call>& calls);

  // Expects that no task was started more than once, even after a failed attempt.
  void expect_no_task_started_twice() const;
  void expect_no_violations() const;

  SimTime time;
  SimNet net;
  InvariantChecker checker;
  StateService state;
  CloudService cloud;

 private:
  struct SimNode;

  void check_regularly();
  JobAnswer record_answer(const std::string& id, const JobAnswer& answer);

  StoreLimits limits_;
  std::set<std::string> production_;
  SimPeers::Registry registry_;
  std::map<std::string, std::unique_ptr<SimNode>> nodes_;
  std::vector<net::Call> recorded_calls_;
  std::shared_ptr<bool> user_alive_ = std::make_shared<bool>(true);
};

}  // namespace seampass::fakes
