// Tests which dependencies of a submitted job are valid, and how each node answers the submission.
#include <gtest/gtest.h>

#include "dependent_jobs.h"
#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Returns the body of a submission of wk-7 with this value as its list of dependencies.
std::string submission_body(const wire::Json& dependencies) {
  wire::Json body = wire::Json::parse(wire::to_json(array_job("wk-7", 1)).dump());
  body["waits_on"] = dependencies;
  return body.dump();
}

TEST(Dependencies, AreValidatedWhenParsed) {
  const auto parse = [](const wire::Json& list) {
    return wire::job_from(wire::Json::parse(submission_body(list))).dependencies;
  };
  using Ids = std::vector<std::string>;
  EXPECT_EQ(parse({"wk-2", "wk-1", "wk-2"}), (Ids{"wk-2", "wk-1"}));
  EXPECT_EQ(parse(nullptr), Ids{});
  EXPECT_EQ(parse(wire::Json::array()), Ids{});
  EXPECT_THROW(parse("wk-1"), wire::Malformed);
  EXPECT_THROW(parse({"wk-1", 2}), wire::Malformed);
  EXPECT_THROW(parse({"job-1"}), wire::Malformed);
  EXPECT_FALSE(wire::to_json(array_job("wk-1", 1)).contains("waits_on"));
}

TEST(Dependencies, InvalidOnesAreRefused) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  for (const char* node : {"n0", "n1", "n2"}) {
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", submission_body("wk-1")).status, 400);
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", submission_body({"wk-7"})).status, 422);
    EXPECT_EQ(cluster.request(node, "POST", "/api/jobs", submission_body({"wk-404"})).status, 422);
  }
  EXPECT_EQ(cluster.state.count("open/"), 0u);
  // A job with more dependencies than fit into one record cannot be stored.
  wire::Json too_many = wire::Json::array();
  for (int i = 0; i < 5000; ++i) too_many.push_back("wk-" + std::to_string(1000 + i));
  EXPECT_EQ(cluster.request("n0", "POST", "/api/jobs", submission_body(too_many)).status, 422);
}

// During an outage of the state service a node cannot check whether a dependency exists. It refuses
// the submission within 3 s, instead of waiting for the state service.
TEST(Dependencies, SubmissionIsRefusedAtOnceWhileTheyCannotBeChecked) {
  SimulatedCluster cluster;
  ASSERT_TRUE(cluster.wait_for_leader());
  ASSERT_EQ(cluster.submit("n0", array_job("wk-1", 1, 60)).status, 201);
  cluster.state.down = true;
  cluster.time.run_for(10000);
  const Ms submitted_at = cluster.time.now();
  const auto answer = cluster.request("n1", "POST", "/api/jobs", submission_body({"wk-404"}));
  EXPECT_EQ(answer.status, 503);
  EXPECT_LT(cluster.time.now() - submitted_at, 3000);
}

}  // namespace
}  // namespace seampass::fakes
