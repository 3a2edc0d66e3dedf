// Tests that stored keys are parsed back into what they were built from, and that other keys are
// not parsed. formats_stored_test.cc checks the literal keys.
#include "leader/records/keys.h"

#include <gtest/gtest.h>

namespace seampass::leader {
namespace {

TEST(Keys, BuiltKeysAreParsedBack) {
  EXPECT_EQ(job_from_open_key(open_key("wk-1")), "wk-1");
  for (const RecordId& id : {RecordId{Layout::chunks, 0}, RecordId{Layout::segments, 4294967295U}})
    EXPECT_EQ(parse_work_key(work_key("wk-1", id)), (WorkKey{"wk-1", id}));
}

TEST(Keys, KeysOfOtherFormsAreNotParsed) {
  for (const char* key : {"ends/wk-1", "open", "work/wk-1/0", kLeaderKey, ""})
    EXPECT_FALSE(job_from_open_key(key)) << key;
  for (const char* key : {"open/wk-1", "work/wk-1", "work", "workers/wk-1/0", kClusterKey, ""})
    EXPECT_FALSE(parse_work_key(key)) << key;
}

// The job of such a key must be recognized, because the unreadable record may hold the assignments
// of running tasks.
TEST(Keys, KeyWithUnknownRecordNameStillYieldsItsJob) {
  for (const char* key : {"work/wk-1/", "work/wk-1/x7", "work/wk-1/s", "work/wk-1/7/8"}) {
    const auto parsed = parse_work_key(key);
    ASSERT_TRUE(parsed) << key;
    EXPECT_EQ(parsed->job, "wk-1") << key;
    EXPECT_FALSE(parsed->record) << key;
  }
}

}  // namespace
}  // namespace seampass::leader
