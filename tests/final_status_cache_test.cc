// The bounded cache of final statuses.
#include "jobs/final_status_cache.h"

#include <gtest/gtest.h>

namespace seampass::jobs {
namespace {

using Source = FinalStatusCache::Source;

wire::JobStatus done(const std::string& job) { return {job, wire::Stage::done, 1, 0}; }

TEST(FinalStatusCache, DropsTheLeastRecentlyUsed) {
  FinalStatusCache cache(2);
  cache.remember(done("wk-1"), Source::written);
  cache.remember(done("wk-2"), Source::written);
  ASSERT_TRUE(cache.find("wk-1"));

  cache.remember(done("wk-3"), Source::written);

  EXPECT_TRUE(cache.find("wk-1"));
  EXPECT_FALSE(cache.find("wk-2"));
  EXPECT_TRUE(cache.find("wk-3"));
}

TEST(FinalStatusCache, ADerivedStatusBecomesWrittenAndNeverTheReverse) {
  FinalStatusCache cache(2);
  cache.remember(done("wk-1"), Source::derived);
  EXPECT_FALSE(cache.written("wk-1"));
  cache.remember(done("wk-1"), Source::written);
  EXPECT_TRUE(cache.written("wk-1"));
  cache.remember(done("wk-1"), Source::derived);
  EXPECT_TRUE(cache.written("wk-1"));
  EXPECT_FALSE(cache.written("wk-2"));
}

}  // namespace
}  // namespace seampass::jobs
