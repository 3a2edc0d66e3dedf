// Tests of the structured log lines (leader/audit_log.h): an operator can follow a job and the
// changes of leadership from these lines alone.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Captures all log output at level debug and above during its lifetime, and restores the
// previous logger afterwards.
class LogCapture {
 public:
  LogCapture() : previous_logger_(spdlog::default_logger()) {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(output_);
    auto logger = std::make_shared<spdlog::logger>("capture", sink);
    logger->set_level(spdlog::level::debug);
    logger->set_pattern("%l %v");
    spdlog::set_default_logger(std::move(logger));
  }
  ~LogCapture() { spdlog::set_default_logger(previous_logger_); }
  LogCapture(const LogCapture&) = delete;

  // Returns the position of the first occurrence of `text` at or after position `from`, or npos if
  // there is none.
  std::size_t find(const std::string& text, std::size_t from = 0) const {
    return output_.str().find(text, from);
  }
  std::string text() const { return output_.str(); }

 private:
  std::shared_ptr<spdlog::logger> previous_logger_;
  std::ostringstream output_;
};

// Checks that the log contains all these texts in the given order.
void expect_in_order(const LogCapture& log, const std::vector<std::string>& lines) {
  std::size_t search_from = 0;
  for (const std::string& line : lines) {
    const std::size_t position = log.find(line, search_from);
    ASSERT_NE(position, std::string::npos) << "no line with: " << line << "\n" << log.text();
    search_from = position + 1;
  }
}

// Guards against missing log lines in the history of a job: it waits for a dependency, runs, stays
// open while another node becomes leader, and is then cancelled.
TEST(AuditLog, JobIsLoggedInOrderAcrossFailover) {
  SimulatedCluster cluster;
  const LogCapture log;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.submit("n0", array_job("wk-1", 1, 10));
  wire::Job dependent = array_job("wk-2", 1, 300);
  dependent.dependencies = {"wk-1"};
  cluster.submit("n0", dependent);
  ASSERT_TRUE(cluster.reaches("wk-2", "running", 60000));
  const std::string first_leader = cluster.leader();
  cluster.kill(first_leader);
  while (cluster.leader().empty()) cluster.time.run_for(10);
  cluster.time.run_for(8000);
  cluster.start(first_leader);
  ASSERT_EQ(cluster.cancel_until_final(cluster.leader(), "wk-2", 60000).stage(), "withdrawn");
  cluster.time.run_for(5000);
  expect_in_order(
      log, {"info elected epoch=", "info recovered open_jobs=0 ended_jobs=0 attempts=0 epoch=",
            "debug queued job=wk-2 ", "debug final_status job=wk-1 stage=done revision=",
            "debug ready job=wk-2 last_dependency=wk-1", "debug record_durable key=work/wk-2/",
            "debug start job=wk-2 task=0 attempt=1 machine=m-",
            "debug answer job=wk-2 stage=running basis=leader",
            "info elected epoch=", "debug recovered_job job=wk-2 ended=false records=1 attempts=1",
            "info recovered open_jobs=1 ended_jobs=0 attempts=1 epoch=",
            "debug stop job=wk-2 task=0 attempt=1 machine=m-",
            "debug absent job=wk-2 task=0 attempt=1 machine=m-",
            "debug final_status job=wk-2 stage=withdrawn revision=",
            "debug answer job=wk-2 stage=withdrawn basis=leader",
            "debug record_deleted key=work/wk-2/"});
  cluster.expect_no_violations();
}

// Guards against a change of leadership that can't be explained from the log. The state service
// refuses all requests of the leader, so that another node is elected and the leader steps down.
// The log must then show the reason and the time since the last successful renewal.
TEST(AuditLog, StepDownIsLoggedWithReasonAndTimeSinceRenewal) {
  SimulatedCluster cluster;
  const LogCapture log;
  ASSERT_TRUE(cluster.wait_for_leader());
  const std::string first_leader = cluster.leader();
  cluster.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery delivery;
    if (from == first_leader && call.endpoint == "state:1") delivery.status = 503;
    return delivery;
  });
  cluster.time.run_for(30000);
  expect_in_order(log, {"info renewal_failed epoch=", "info stepped_down epoch="});
  EXPECT_NE(log.find("reason=peer_shows_higher_epoch since_grant_ms="), std::string::npos);
}

// The simulated 45 s contain two lease times, so the leader must log exactly two load lines.
TEST(AuditLog, LoadIsLoggedOncePerLeaseTime) {
  SimulatedCluster cluster;
  const LogCapture log;
  ASSERT_TRUE(cluster.wait_for_leader());
  cluster.time.run_for(45000);
  const std::size_t first_line = log.find("info load ");
  ASSERT_NE(first_line, std::string::npos);
  const std::size_t second_line = log.find("info load ", first_line + 1);
  ASSERT_NE(second_line, std::string::npos);
  EXPECT_EQ(log.find("info load ", second_line + 1), std::string::npos);
}

}  // namespace
}  // namespace seampass::fakes
