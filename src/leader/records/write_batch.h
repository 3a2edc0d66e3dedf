// WriteBatchBuilder assembles one compare-and-swap transaction of a job: its conditions and its
// changes, up to the maximum number of operations and the maximum size in bytes. The RecordStore
// calls it for every transaction and sends the result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/records/job_writes.h"
#include "state/client.h"

namespace seampass::leader {

// Returns the content that a record should have now, or none if the record should not exist.
using RenderRecord =
    std::function<std::optional<wire::Json>(const std::string& job, const RecordId& id)>;

// One transaction, and a summary of its changes.
struct WriteBatch {
  struct Record {
    RecordId id;
    bool exists_after = false;  // the transaction writes a value; otherwise it deletes the record
  };

  state::Txn txn;
  state::Urgency urgency = state::Urgency::progress;  // of the most urgent change
  bool has_final_status = false;
  // The transaction holds a value above the smallest known limit of the state service.
  bool has_oversized_value = false;
  std::vector<Record> records;
};

class WriteBatchBuilder {
 public:
  WriteBatchBuilder(const std::string& job, std::uint64_t epoch, const config::StateLimits& limits);

  // Adds the pending final status and the dirty records in the order of their ids, until the batch
  // is full. Marks the added records as `sending` and no longer dirty. The final status `done` is
  // in the first batch. That of a cancelled job is in the last one, with the last dirty records or
  // after them. The batch has no changes if there is neither a pending final status nor a dirty
  // record.
  [[nodiscard]] WriteBatch build(JobWrites& writes, const RenderRecord& render);

 private:
  enum class AddResult { added, batch_full };

  void add_final_status(const PendingFinalStatus& status);
  [[nodiscard]] bool final_status_fits() const;
  // Returns false if the batch is full before all dirty records are added.
  [[nodiscard]] bool add_dirty_records(JobWrites& writes, const RenderRecord& render);
  [[nodiscard]] AddResult add_record(const RecordId& id, const RecordState& record,
                                     std::optional<wire::Json> value);
  [[nodiscard]] bool all_operations_used() const;
  // Adds the condition that the job has no final status, unless the batch already compares that
  // key.
  void require_no_final_status();

  const std::string& job_;
  const config::StateLimits& limits_;
  WriteBatch batch_;
  std::size_t bytes_;
  bool requires_no_final_status_ = false;
};

}  // namespace seampass::leader
