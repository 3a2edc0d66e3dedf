// Tests which conditions and changes one compare-and-swap transaction of a job contains, and when
// the transaction is full.
#include "leader/records/write_batch.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace seampass::leader {
namespace {

using FinalStatusState = JobWrites::FinalStatusState;
using Entries = std::vector<std::string>;

class WriteBatchTest : public ::testing::Test {
 protected:
  void make_dirty(std::uint32_t chunk, state::Version version, state::Urgency urgency) {
    RecordState& record = writes.records[{Layout::chunks, chunk}];
    record.version = version;
    record.mark_dirty(urgency);
  }
  WriteBatch build() {
    return WriteBatchBuilder("wk-1", 7, limits)
        .build(writes, [this](const std::string&, const RecordId&) { return rendered; });
  }
  // Returns the conditions as `key@version`.
  static Entries conditions(const WriteBatch& batch) {
    Entries entries;
    for (const state::Condition& condition : batch.txn.conditions)
      entries.push_back(condition.key + "@" + std::to_string(condition.version));
    return entries;
  }
  // Returns the changes as `write key` or `delete key`.
  static Entries changes(const WriteBatch& batch) {
    Entries entries;
    for (const state::Change& change : batch.txn.changes)
      entries.push_back((change.value ? "write " : "delete ") + change.key);
    return entries;
  }

  config::StateLimits limits{1000, 1000, 8, 3};
  std::optional<wire::Json> rendered = wire::Json{{"n", 1}};
  JobWrites writes;
};

TEST_F(WriteBatchTest, ComparesTheEpochAndTheVersionOfEachRecord) {
  make_dirty(0, 5, state::Urgency::progress);
  make_dirty(1, 6, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch), (Entries{"leader@7", "work/wk-1/0@5", "work/wk-1/1@6"}));
  EXPECT_EQ(changes(batch), (Entries{"write work/wk-1/0", "write work/wk-1/1"}));
  EXPECT_TRUE(writes.records.begin()->second.sending);
  EXPECT_FALSE(writes.records.begin()->second.dirty);
  EXPECT_TRUE(build().txn.changes.empty());
}

TEST_F(WriteBatchTest, AssignmentsAndNewRecordsAddOneConditionForNoFinalStatus) {
  make_dirty(0, 5, state::Urgency::assignment);
  make_dirty(1, 0, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch),
            (Entries{"leader@7", "ends/wk-1@0", "work/wk-1/0@5", "work/wk-1/1@0"}));
  EXPECT_EQ(batch.urgency, state::Urgency::assignment);
}

TEST_F(WriteBatchTest, AddsNoConditionForFinalStatusOnceItIsDurable) {
  writes.final_status_state = FinalStatusState::durable;
  rendered.reset();
  make_dirty(0, 5, state::Urgency::assignment);
  const WriteBatch batch = build();
  EXPECT_EQ(conditions(batch), (Entries{"leader@7", "work/wk-1/0@5"}));
  EXPECT_EQ(changes(batch), (Entries{"delete work/wk-1/0"}));
}

TEST_F(WriteBatchTest, FinalStatusComesFirstAndDeletesTheOpenRecord) {
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status.open_version = 3;
  for (std::uint32_t chunk = 0; chunk < 2; ++chunk) make_dirty(chunk, 5, state::Urgency::progress);
  const WriteBatch batch = build();
  EXPECT_TRUE(batch.has_final_status);
  EXPECT_EQ(conditions(batch),
            (Entries{"leader@7", "ends/wk-1@0", "open/wk-1@3", "work/wk-1/0@5"}));
  // The state service accepts at most three operations, so the second record stays dirty.
  EXPECT_EQ(changes(batch), (Entries{"write ends/wk-1", "delete open/wk-1", "write work/wk-1/0"}));
  EXPECT_TRUE(writes.records.rbegin()->second.dirty);
}

// Guards against ran_cancelled: a record that is left behind when the final status is durable may
// assign tasks of the cancelled job to a machine.
TEST_F(WriteBatchTest, FinalStatusOfACancelledJobIsInTheLastBatch) {
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status.open_version = 3;
  writes.final_status.stage = wire::Stage::cancelled;
  for (std::uint32_t chunk = 0; chunk < 4; ++chunk) make_dirty(chunk, 5, state::Urgency::progress);
  const WriteBatch first = build();
  EXPECT_FALSE(first.has_final_status);
  EXPECT_EQ(first.urgency, state::Urgency::final_status);
  EXPECT_EQ(changes(first),
            (Entries{"write work/wk-1/0", "write work/wk-1/1", "write work/wk-1/2"}));
  const WriteBatch last = build();
  EXPECT_TRUE(last.has_final_status);
  EXPECT_EQ(conditions(last), (Entries{"leader@7", "ends/wk-1@0", "open/wk-1@3", "work/wk-1/3@5"}));
  EXPECT_EQ(changes(last), (Entries{"write ends/wk-1", "delete open/wk-1", "write work/wk-1/3"}));
}

TEST_F(WriteBatchTest, FinalStatusOfACancelledJobWaitsWhereItDoesNotFitBesideTheRecords) {
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status.open_version = 3;
  writes.final_status.stage = wire::Stage::cancelled;
  make_dirty(0, 5, state::Urgency::progress);
  make_dirty(1, 0, state::Urgency::progress);
  const WriteBatch first = build();
  EXPECT_EQ(conditions(first),
            (Entries{"leader@7", "ends/wk-1@0", "work/wk-1/0@5", "work/wk-1/1@0"}));
  EXPECT_EQ(changes(first), (Entries{"write work/wk-1/0", "write work/wk-1/1"}));
  const WriteBatch last = build();
  EXPECT_EQ(conditions(last), (Entries{"leader@7", "ends/wk-1@0", "open/wk-1@3"}));
  EXPECT_EQ(changes(last), (Entries{"write ends/wk-1", "delete open/wk-1"}));
}

TEST_F(WriteBatchTest, LimitsItsSizeAndReportsOversizedValues) {
  rendered = wire::Json{{"text", std::string(30U << 10, 'x')}};
  for (std::uint32_t chunk = 0; chunk < 2; ++chunk) make_dirty(chunk, 5, state::Urgency::progress);
  const WriteBatch first = build();
  EXPECT_EQ(first.records.size(), 1U);
  EXPECT_TRUE(first.has_oversized_value);
  rendered = wire::Json{{"n", 1}};
  const WriteBatch second = build();
  EXPECT_EQ(second.records.size(), 1U);
  EXPECT_FALSE(second.has_oversized_value);
}

}  // namespace
}  // namespace seampass::leader
