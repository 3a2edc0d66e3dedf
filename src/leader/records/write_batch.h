// What goes into one compare-and-swap transaction of a job: its conditions, its changes, and when
// it is full. Called by the RecordStore.
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

// What a record should hold now; none: it should not exist.
using RenderRecord =
    std::function<std::optional<wire::Json>(const std::string& job, const RecordId& id)>;

// One transaction, and what it changes.
struct WriteBatch {
  struct Record {
    RecordId id;
    bool present = false;  // has a value after this
  };

  state::Txn txn;
  state::Urgency urgency = state::Urgency::progress;  // the greatest of what it holds
  bool has_final_status = false;
  bool outgrown = false;  // holds a value larger than the smallest limit that is known of
  std::vector<Record> records;
};

class WriteBatchBuilder {
 public:
  WriteBatchBuilder(const std::string& job, std::uint64_t epoch, const config::StateLimits& limits);

  // Takes the pending final status and the dirty records in the order of their ids, until the
  // batch is full, and marks them as sending. The batch has no changes if nothing was dirty.
  [[nodiscard]] WriteBatch build(JobWrites& writes, const RenderRecord& render);

 private:
  enum class Added { yes, full };

  void add_final_status(const PendingFinalStatus& status);
  [[nodiscard]] Added add_record(const RecordId& id, const RecordState& record,
                                 std::optional<wire::Json> value);
  [[nodiscard]] bool all_operations_used() const;
  // The transaction shall fail if the job has a final status.
  void require_no_final_status();

  const std::string& job_;
  const config::StateLimits& limits_;
  WriteBatch batch_;
  std::size_t bytes_;
  bool requires_no_final_status_ = false;
};

}  // namespace seampass::leader
