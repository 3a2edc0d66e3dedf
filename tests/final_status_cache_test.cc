// Tests the bounded cache of final statuses: which entry it evicts, and how an entry's source
// changes.
#include "jobs/final_status_cache.h"

#include <gtest/gtest.h>

namespace seampass::jobs {
namespace {

using Source = FinalStatusCache::Source;

wire::JobStatus done_status(const std::string& job) { return {job, wire::Stage::done, 1, 0}; }

TEST(FinalStatusCache, EvictsTheLeastRecentlyUsedEntry) {
  FinalStatusCache cache(2);
  cache.remember(done_status("wk-1"), Source::written);
  cache.remember(done_status("wk-2"), Source::written);
  ASSERT_TRUE(cache.find("wk-1"));

  cache.remember(done_status("wk-3"), Source::written);

  EXPECT_TRUE(cache.find("wk-1"));
  EXPECT_FALSE(cache.find("wk-2"));
  EXPECT_TRUE(cache.find("wk-3"));
}

TEST(FinalStatusCache, ADerivedStatusBecomesWrittenButNeverTheReverse) {
  FinalStatusCache cache(2);
  cache.remember(done_status("wk-1"), Source::derived);
  EXPECT_FALSE(cache.known_written("wk-1"));
  cache.remember(done_status("wk-1"), Source::written);
  EXPECT_TRUE(cache.known_written("wk-1"));
  cache.remember(done_status("wk-1"), Source::derived);
  EXPECT_TRUE(cache.known_written("wk-1"));
  EXPECT_FALSE(cache.known_written("wk-2"));
}

}  // namespace
}  // namespace seampass::jobs
