// What the log says: from the lines alone a job can be followed through the cluster.
#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

// Takes all that is logged, at the level of `debug`, for as long as it lives.
class LogCapture {
 public:
  LogCapture() : former_(spdlog::default_logger()) {
    const auto sink = std::make_shared<spdlog::sinks::ostream_sink_st>(lines_);
    auto logger = std::make_shared<spdlog::logger>("capture", sink);
    logger->set_level(spdlog::level::debug);
    logger->set_pattern("%l %v");
    spdlog::set_default_logger(std::move(logger));
  }
  ~LogCapture() { spdlog::set_default_logger(former_); }
  LogCapture(const LogCapture&) = delete;

  // Where a line that contains this stands, from `from` on; npos if there is none.
  std::size_t find(const std::string& text, std::size_t from = 0) const {
    return lines_.str().find(text, from);
  }
  std::string text() const { return lines_.str(); }

 private:
  std::shared_ptr<spdlog::logger> former_;
  std::ostringstream lines_;
};

// Each line stands after the one before it.
void expect_in_order(const LogCapture& log, const std::vector<std::string>& lines) {
  std::size_t at = 0;
  for (const std::string& line : lines) {
    const std::size_t found = log.find(line, at);
    ASSERT_NE(found, std::string::npos) << "no line with: " << line << "\n" << log.text();
    at = found + 1;
  }
}

TEST(AuditLog, OneJobCanBeFollowed) {
  SimulatedCluster w;
  const LogCapture log;
  ASSERT_TRUE(w.wait_for_leader());
  w.submit("n0", array_job("wk-1", 1, 10));
  wire::Job second = array_job("wk-2", 1, 300);
  second.dependencies = {"wk-1"};
  w.submit("n0", second);
  ASSERT_TRUE(w.reaches("wk-2", "running", 60000));
  const std::string old = w.leader();
  w.kill(old);
  while (w.leader().empty()) w.time.run_for(10);
  w.time.run_for(8000);
  w.start(old);
  ASSERT_EQ(w.cancel_until_final(w.leader(), "wk-2", 60000).stage(), "withdrawn");
  w.time.run_for(5000);
  expect_in_order(
      log, {"info elected epoch=", "info recovered open_jobs=0 ended_jobs=0 attempts=0 epoch=",
            "debug queued job=wk-2 ", "debug final_status job=wk-1 stage=done revision=",
            "debug ready job=wk-2 last_dependency=wk-1", "debug record_durable key=work/wk-2/",
            "debug start job=wk-2 task=0 attempt=1 machine=m-",
            "debug answer job=wk-2 stage=running basis=leader",
            "info elected epoch=", "info recovered open_jobs=1 ended_jobs=0 attempts=1 epoch=",
            "debug stop job=wk-2 task=0 attempt=1 machine=m-",
            "debug absent job=wk-2 task=0 attempt=1 machine=m-",
            "debug final_status job=wk-2 stage=withdrawn revision=",
            "debug answer job=wk-2 stage=withdrawn basis=leader"});
  w.expect_no_violations();
}

// Why a controller led no more, and how long it had gone without a renewal.
TEST(AuditLog, AnEndOfLeadershipHasItsReason) {
  SimulatedCluster w;
  const LogCapture log;
  ASSERT_TRUE(w.wait_for_leader());
  const std::string old = w.leader();
  w.net.set_rule([&](const std::string& from, const net::Call& call) {
    Delivery fate;
    if (from == old && call.endpoint == "state:1") fate.status = 503;
    return fate;
  });
  w.time.run_for(30000);
  expect_in_order(log, {"info renewal_failed epoch=", "info stepped_down epoch="});
  EXPECT_NE(log.find("reason=peer_shows_higher_epoch since_grant_ms="), std::string::npos);
}

TEST(AuditLog, TheLoadIsSaidOnceInALease) {
  SimulatedCluster w;
  const LogCapture log;
  ASSERT_TRUE(w.wait_for_leader());
  w.time.run_for(45000);
  const std::size_t first = log.find("info load ");
  ASSERT_NE(first, std::string::npos);
  const std::size_t second = log.find("info load ", first + 1);
  ASSERT_NE(second, std::string::npos);
  EXPECT_EQ(log.find("info load ", second + 1), std::string::npos);
}

}  // namespace
}  // namespace seampass::fakes
