// What goes into one compare-and-swap transaction of a job's records.
#include "leader/records/write_batch.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace seampass::leader {
namespace {

using FinalStatusState = JobWrites::FinalStatusState;
using Keys = std::vector<std::string>;

class WriteBatchTest : public ::testing::Test {
 protected:
  void make_dirty(std::uint32_t chunk, state::Version version, state::Urgency urgency) {
    RecordState& record = writes.records[{Layout::chunks, chunk}];
    record.version = version;
    record.mark_dirty(urgency);
  }
  WriteBatch build() {
    return WriteBatchBuilder("wk-1", 7, limits)
        .build(writes, [this](const std::string&, const RecordId&) { return value; });
  }
  static Keys conditions(const WriteBatch& batch) {
    Keys keys;
    for (const state::Condition& condition : batch.txn.conditions)
      keys.push_back(condition.key + "@" + std::to_string(condition.version));
    return keys;
  }
  static Keys changes(const WriteBatch& batch) {
    Keys keys;
    for (const state::Change& change : batch.txn.changes)
      keys.push_back((change.value ? "write " : "delete ") + change.key);
    return keys;
  }

  config::StateLimits limits{1000, 1000, 8, 3};
  std::optional<wire::Json> value = wire::Json{{"n", 1}};
  JobWrites writes;
};

TEST_F(WriteBatchTest, ComparesTheEpochAndEachRecord) {
  make_dirty(0, 5, state::Urgency::progress);
  make_dirty(1, 6, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch), (Keys{"leader@7", "work/wk-1/0@5", "work/wk-1/1@6"}));
  EXPECT_EQ(changes(batch), (Keys{"write work/wk-1/0", "write work/wk-1/1"}));
  EXPECT_TRUE(writes.records.begin()->second.sending);
  EXPECT_FALSE(writes.records.begin()->second.dirty);
  EXPECT_TRUE(build().txn.changes.empty());
}

TEST_F(WriteBatchTest, AssignmentsAndNewRecordsRequireOnceThatTheJobHasNotEnded) {
  make_dirty(0, 5, state::Urgency::assignment);
  make_dirty(1, 0, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch), (Keys{"leader@7", "ends/wk-1@0", "work/wk-1/0@5", "work/wk-1/1@0"}));
  EXPECT_EQ(batch.urgency, state::Urgency::assignment);
}

TEST_F(WriteBatchTest, AnEndedJobRequiresItNoMore) {
  writes.final_status_state = FinalStatusState::durable;
  value.reset();
  make_dirty(0, 5, state::Urgency::assignment);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch), (Keys{"leader@7", "work/wk-1/0@5"}));
  EXPECT_EQ(changes(batch), (Keys{"delete work/wk-1/0"}));
}

TEST_F(WriteBatchTest, TheFinalStatusComesFirstAndTakesTheOpenRecordWithIt) {
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status.open_version = 3;
  for (std::uint32_t chunk = 0; chunk < 2; ++chunk) make_dirty(chunk, 5, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_TRUE(batch.has_final_status);
  EXPECT_EQ(conditions(batch), (Keys{"leader@7", "ends/wk-1@0", "open/wk-1@3", "work/wk-1/0@5"}));
  // Three operations are all that the service takes: the second record waits.
  EXPECT_EQ(changes(batch), (Keys{"write ends/wk-1", "delete open/wk-1", "write work/wk-1/0"}));
  EXPECT_TRUE(writes.records.rbegin()->second.dirty);
}

TEST_F(WriteBatchTest, IsBoundedInBytesAndSaysWhatOutgrowsTheLimits) {
  value = wire::Json{{"text", std::string(30U << 10, 'x')}};
  for (std::uint32_t chunk = 0; chunk < 2; ++chunk) make_dirty(chunk, 5, state::Urgency::progress);
  const WriteBatch first = build();
  EXPECT_EQ(first.records.size(), 1U);
  EXPECT_TRUE(first.outgrown);
  value = wire::Json{{"n", 1}};
  const WriteBatch second = build();
  EXPECT_EQ(second.records.size(), 1U);
  EXPECT_FALSE(second.outgrown);
}

}  // namespace
}  // namespace seampass::leader
