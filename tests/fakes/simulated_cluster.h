// A whole deployment in simulated time: three nodes of the service, the state service, the cloud
// and its workers, and a user who remembers each answer.
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

// An answer to a user. Status 0: none came.
struct JobAnswer {
  int status = 0;
  wire::Json body;

  [[nodiscard]] std::string stage() const {
    return body.is_object() ? body.value("stage", "") : "";
  }
  [[nodiscard]] bool accepted() const { return status == 200 || status == 201; }
};

// The test plays the part of time: a call that waits for an answer or a state runs the simulation
// on until then. LOG_LEVEL=debug in the environment shows what the nodes log.
class SimulatedCluster {
 public:
  // `production` are the nodes that run the version in production to begin with.
  explicit SimulatedCluster(unsigned seed = 1, int machines = 4, const StoreLimits& limits = {},
                            const std::set<std::string>& production = {});
  ~SimulatedCluster();
  SimulatedCluster(const SimulatedCluster&) = delete;
  SimulatedCluster& operator=(const SimulatedCluster&) = delete;

  // Nodes.
  void start(const std::string& node);
  void start_all();
  void kill(const std::string& node);
  void kill_all();
  // The node runs the new version from now on.
  void upgrade(const std::string& node);
  // Every timer of the node comes so late.
  void slow_down(const std::string& node, Ms lag);
  [[nodiscard]] bool runs(const std::string& node) const;
  // Empty if none may act.
  [[nodiscard]] std::string leader() const;
  [[nodiscard]] int leader_count() const;
  // Some node that runs and does not lead; empty if there is none.
  [[nodiscard]] std::string follower() const;
  // Until a node leads and says that it is ready; false if none does within half a minute.
  [[nodiscard]] bool wait_for_leader();
  // Until a node leads, however long it takes.
  void wait_for_election();
  // No message between nodes passes.
  void separate_peers();
  // No message between this node and its peers passes.
  void separate_from_peers(const std::string& node);
  // All requests and messages pass again.
  void end_network_faults();

  // The state service.
  void apply_limits(const config::StateLimits& limits);
  // Writes or deletes a key, as another version of the program did.
  void put(const std::string& key, const wire::Json& value);
  void remove(const std::string& key);

  // Users. Every answer is given to the checker.
  JobAnswer request(const std::string& node, const char* method, const std::string& path,
                    const std::string& body = "");
  JobAnswer submit(const std::string& node, const wire::Job& job);
  // Again and again, as users do; false if it was not accepted in time.
  bool submit_until_accepted(const std::string& node, const wire::Job& job, Ms within = 60000);
  // Submits through n0; false unless the job runs within that time.
  [[nodiscard]] bool submit_and_run(const wire::Job& job, Ms within = 30000);
  JobAnswer poll(const std::string& node, const std::string& id);
  JobAnswer cancel(const std::string& node, const std::string& id);
  // Again and again, as users do, until the answer is final. Each refusal must come at once. Empty
  // if none was final in time.
  JobAnswer cancel_until_final(const std::string& node, const std::string& id, Ms within);
  // Does not wait: the answer counts when it comes.
  void cancel_without_waiting(const std::string& node, const std::string& id);
  // Polls through all nodes that run; true once one of them says this stage.
  [[nodiscard]] bool reaches(const std::string& id, const std::string& stage, Ms within);

  // Tasks of a job: on a machine now; not finished; not finished, and on no machine now.
  [[nodiscard]] int running_tasks(const std::string& id) const;
  [[nodiscard]] int unfinished_tasks(const std::string& id) const;
  [[nodiscard]] int unplaced_tasks(const std::string& id) const;
  // Of all tasks so far, repeated ones included.
  [[nodiscard]] int start_count() const;

  // Late and repeated messages.
  void deliver(const std::string& from, const std::string& node, const rpc::Message& message) {
    SimPeers::deliver(registry_, from, node, message);
  }
  // The requests with this path that are sent from now on, of which more are added as time goes on.
  // Takes the place of the network's rule.
  const std::vector<net::Call>& record_calls(const char* path);
  void resend(const std::vector<net::Call>& calls);

  // No task was started more than once, however it went.
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
  JobAnswer note_answer(const std::string& id, const JobAnswer& answer);

  StoreLimits limits_;
  std::set<std::string> production_;
  SimPeers::Registry registry_;
  std::map<std::string, std::unique_ptr<SimNode>> nodes_;
  std::vector<net::Call> recorded_;
  std::shared_ptr<bool> user_alive_ = std::make_shared<bool>(true);
};

}  // namespace seampass::fakes
