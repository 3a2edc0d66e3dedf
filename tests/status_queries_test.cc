// Tests the answers to polls while the state service is busy with the work of the controllers. They
// run in simulated time against fakes of the state service, the cloud and the workers.
#include <gtest/gtest.h>

#include <string>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Users submit four one-task jobs a second and cancel a quarter of them.
class SmallJobs {
 public:
  explicit SmallJobs(SimulatedCluster& cluster) : cluster_(cluster) {}

  void run_for(Ms duration) {
    const Ms end = cluster_.time.now() + duration;
    while (cluster_.time.now() < end) {
      const std::string node = cluster_.runs("n0") ? "n0" : "n1";
      wire::Job job = array_job("wk-" + std::to_string(100000 + count_), 1, 2);
      job.cpus = 0.25;
      job.gpus = 0;
      job.memory_gb = 0.5;
      const std::string previous = "wk-" + std::to_string(100000 + count_ - 1);
      if (count_ % 4 == 1 && cluster_.checker.jobs[previous].accepted)
        cluster_.cancel_without_waiting(node, previous);
      submit(node, job);
      ++count_;
      cluster_.time.run_for(250);
    }
  }

 private:
  void submit(const std::string& node, const wire::Job& job) {
    cluster_.checker.jobs[job.id].spec = job;
    cluster_.net.call("user", alive_,
                      {node + ":8080", "POST", "/api/jobs", wire::to_json(job).dump(), 5000},
                      [this, id = job.id](const net::Reply& reply) {
                        cluster_.checker.jobs[id].accepted |= reply.is(200) || reply.is(201);
                      });
  }

  SimulatedCluster& cluster_;
  int count_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Guards against a job that is done and whose polls at the next leader's node all fail, because
// that node always has less urgent writes that wait.
TEST(StatusQueries, OfEndedJobsAreAnsweredAtTheNextLeaderUnderALoadOfSmallJobs) {
  SimulatedCluster cluster(1, 4, {{100, 25, 8, 20}, {80, 18, 2, 6}});
  cluster.state.request_limit = 100;
  cluster.state.write_limit = 25;
  ASSERT_TRUE(cluster.wait_for_leader());
  // Only the leader's node is asked, so no other node has the final status in its cache.
  const std::string former_leader = cluster.leader();
  ASSERT_EQ(cluster.submit(former_leader, array_job("wk-1", 1, 1)).status, 201);
  for (int i = 0; i < 20 && cluster.poll(former_leader, "wk-1").stage() != "done"; ++i)
    cluster.time.run_for(1000);
  ASSERT_EQ(cluster.poll(former_leader, "wk-1").stage(), "done");
  SmallJobs load(cluster);
  load.run_for(20000);
  cluster.kill(former_leader);
  while (cluster.leader().empty()) load.run_for(250);
  load.run_for(6000);

  int answered = 0;
  int polls = 0;
  for (; polls < 15; ++polls) {
    const std::string next = cluster.leader();
    ASSERT_FALSE(next.empty());
    const Ms asked_at = cluster.time.now();
    const JobAnswer answer = cluster.poll(next, "wk-1");
    EXPECT_LE(cluster.time.now() - asked_at, 2000);  // users wait for 2 s
    answered += answer.stage() == "done" ? 1 : 0;
    load.run_for(2000);
  }

  EXPECT_EQ(answered, polls);
  cluster.expect_no_violations();
}

// Takes every request and answers none.
class SilentCaller : public net::HttpCaller {
 public:
  void call(net::Call /*call*/, net::ReplyFn /*done*/) override {}
};

// Guards against submissions that are refused for as long as a new leader reads what became of the
// jobs that others depend on.
TEST(StatusQueries, ReadsOfDependenciesDelayNoSubmission) {
  SimTime time;
  SilentCaller http;
  state::Client client(time, http, "state:1", {50, 10, 4}, 500);
  jobs::JobStatusReader reader(time, client, 100, 500);
  for (int i = 0; i < 1000; ++i)
    reader.read_final_status_first("wk-" + std::to_string(i), [](const jobs::JobLookup&) {});

  EXPECT_GT(client.backlog(state::Urgency::assignment), 15000);
  EXPECT_EQ(client.backlog(state::Urgency::final_status), 0);
}

}  // namespace
}  // namespace seampass::fakes
