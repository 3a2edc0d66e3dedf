#include "leader/records/write_batch.h"

#include <algorithm>
#include <utility>

#include "jobs/final_status.h"
#include "leader/records/keys.h"

namespace seampass::leader {

namespace {

constexpr std::size_t kMaxTxnBytes = 56U << 10;  // below the state service's maximum of 64 KiB
// The bytes reserved per transaction for its conditions and its final status, and the bytes
// reserved per record for its key.
constexpr std::size_t kTxnOverheadBytes = 1024;
constexpr std::size_t kRecordOverheadBytes = 100;
constexpr double kBytesPerKb = 1024;
// A final status is written in one transaction with the deletion of the job's open record.
constexpr std::size_t kFinalStatusOperations = 2;

}  // namespace

WriteBatchBuilder::WriteBatchBuilder(const std::string& job, std::uint64_t epoch,
                                     const config::StateLimits& limits)
    : job_(job), limits_(limits), bytes_(kTxnOverheadBytes) {
  // This condition makes a late transaction of a former leader fail.
  batch_.txn.conditions.push_back({kLeaderKey, epoch});
}

WriteBatch WriteBatchBuilder::build(JobWrites& writes, const RenderRecord& render) {
  const bool status_pending = writes.final_status_pending();
  const bool status_after_records =
      status_pending && writes.final_status.stage == wire::Stage::cancelled;
  if (status_pending) batch_.urgency = writes.final_status.urgency;
  if (status_pending && !status_after_records) add_final_status(writes.final_status);
  const bool all_added = add_dirty_records(writes, render);
  // The user of a cancelled job is told of the cancellation once the final status is durable. From
  // then on no stored record may assign a task of the job, because the next leader would take the
  // assignment for one that may have been started. So the final status is never written before the
  // last of the records.
  if (status_after_records && all_added && final_status_fits())
    add_final_status(writes.final_status);
  return std::move(batch_);
}

bool WriteBatchBuilder::add_dirty_records(JobWrites& writes, const RenderRecord& render) {
  for (auto& [id, record] : writes.records) {
    if (!record.dirty) continue;
    // Chunks that are being replaced come after all segments. At this point, every segment that
    // replaces them is durable or already in this transaction.
    if (all_operations_used()) return false;
    auto value = record.being_replaced ? std::nullopt : render(job_, id);
    if (add_record(id, record, std::move(value)) == AddResult::batch_full) return false;
    // A write that could outlive its job requires that the job has no final status. For an
    // assignment, this ensures that no start is recorded after any controller has answered a
    // cancellation. For a record that does not exist yet (version 0), it ensures that a late copy
    // of its first write cannot recreate the record after it was deleted with its job. Comparing
    // the record's own version does not prevent that: a deleted record has version 0 again, so the
    // first write and its late copy both find version 0.
    const bool may_outlive_job =
        record.urgency == state::Urgency::assignment || record.version == 0;
    if (may_outlive_job && !writes.final_status_durable()) require_no_final_status();
    record.dirty = false;
    record.sending = true;
  }
  return true;
}

// The operations of the final status come first in the transaction, whenever they are added.
void WriteBatchBuilder::add_final_status(const PendingFinalStatus& status) {
  const std::string key = final_status_key(job_);
  require_no_final_status();
  batch_.has_final_status = true;
  auto& conditions = batch_.txn.conditions;
  conditions.insert(conditions.begin() + 2, {open_key(job_), status.open_version});
  auto& changes = batch_.txn.changes;
  changes.insert(changes.begin(), {{key, jobs::encode({status.stage, status.done}), 0},
                                   {open_key(job_), std::nullopt, 0}});
}

// A final status is sent even if it exceeds the limit on its own: the state service then rejects
// it.
bool WriteBatchBuilder::final_status_fits() const {
  const std::size_t changes = batch_.txn.changes.size();
  return changes == 0 ||
         changes + kFinalStatusOperations <= static_cast<std::size_t>(limits_.txn_ops);
}

WriteBatchBuilder::AddResult WriteBatchBuilder::add_record(const RecordId& id,
                                                           const RecordState& record,
                                                           std::optional<wire::Json> value) {
  const std::size_t size = kRecordOverheadBytes + (value ? value->dump().size() : 0);
  // A record that is too large for any transaction is sent in a transaction without other changes,
  // which the state service rejects.
  if (bytes_ + size > kMaxTxnBytes && !batch_.txn.changes.empty()) return AddResult::batch_full;
  bytes_ += size;
  batch_.has_oversized_value =
      batch_.has_oversized_value || static_cast<double>(size) > limits_.value_kb * kBytesPerKb;
  const std::string key = work_key(job_, id);
  batch_.txn.conditions.push_back({key, record.version});
  batch_.records.push_back({id, value.has_value()});
  batch_.urgency = std::min(batch_.urgency, record.urgency);
  batch_.txn.changes.push_back({key, std::move(value), 0});
  return AddResult::added;
}

bool WriteBatchBuilder::all_operations_used() const {
  return static_cast<int>(batch_.txn.changes.size()) >= limits_.txn_ops;
}

void WriteBatchBuilder::require_no_final_status() {
  if (std::exchange(requires_no_final_status_, true)) return;
  auto& conditions = batch_.txn.conditions;
  conditions.insert(conditions.begin() + 1, {final_status_key(job_), 0});
}

}  // namespace seampass::leader
