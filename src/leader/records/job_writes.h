// JobWrites is the state that the RecordStore holds for one job: the job's durable records, its
// final status, and its transaction in flight. These are plain values with queries. Only the
// RecordStore and its WriteBatchBuilder modify them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "leader/records/record_layout.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

// The stored version of one record, and the write that is pending for it.
struct RecordState {
  state::Version version = 0;  // the last known stored version; 0 if the record does not exist
  // The content has changed since the record was last put into a transaction. A record can be dirty
  // while an earlier write of it is in flight.
  bool dirty = false;
  bool sending = false;  // a transaction with this record is queued in the client or in flight
  bool being_replaced = false;  // to be deleted once the records that replace this one are durable
  state::Urgency urgency = state::Urgency::progress;
  // Callbacks to run once the current content of the record is durable.
  std::vector<std::function<void()>> waiters;

  // Returns true if the record is stored, may be stored or has a pending write.
  [[nodiscard]] bool exists() const { return version != 0 || dirty || sending; }
  [[nodiscard]] bool settled() const { return !dirty && !sending; }
  void mark_dirty(state::Urgency at_least);
  // Makes the record dirty again after its transaction was not executed or had an unknown outcome.
  void mark_unwritten();
  void move_waiters_to(std::vector<std::function<void()>>& destination);
};

// A final status that is not durable yet.
struct PendingFinalStatus {
  // The version of the job's open record. The same transaction deletes that record.
  state::Version open_version = 0;
  wire::Stage stage = wire::Stage::done;
  std::uint64_t done = 0;  // number of finished tasks
  state::Urgency urgency = state::Urgency::final_status;
  std::function<void(wire::Stage)> on_durable;
};

// The transaction of a job that is queued in the client or in flight. A job has at most one.
struct Transmission {
  enum class Phase {
    idle,              // no transaction: the next one may be sent
    withdrawable,      // given to the client, which may still have it queued
    not_withdrawable,  // given to the client, and must not be withdrawn
    reading_back,      // the outcome is unknown, and the stored records are being read
  };

  Phase phase = Phase::idle;
  // The following members describe the last transaction that was sent. `ticket` is valid only in
  // the phase `withdrawable`.
  state::Client::Ticket ticket = 0;
  state::Urgency urgency = state::Urgency::progress;
  std::vector<RecordId> records;

  [[nodiscard]] bool idle() const { return phase == Phase::idle; }
};

struct JobWrites {
  enum class FinalStatusState {
    none,     // this leader has neither written nor found a final status
    pending,  // a final status is queued or in flight
    durable,  // a final status is stored, written by this leader or another
  };

  std::map<RecordId, RecordState> records;
  FinalStatusState final_status_state = FinalStatusState::none;
  PendingFinalStatus final_status;  // valid while the state is `pending`
  Transmission transmission;

  [[nodiscard]] bool final_status_pending() const {
    return final_status_state == FinalStatusState::pending;
  }
  [[nodiscard]] bool final_status_durable() const {
    return final_status_state == FinalStatusState::durable;
  }
  // Returns true if the record has no write queued or in flight.
  [[nodiscard]] bool settled(const RecordId& id) const;
  // Returns true if no task record of the job is stored, no write of the job is queued and no
  // transaction of it is in flight.
  [[nodiscard]] bool no_task_records_left() const;
  // Returns the records that are stored, may be stored or have a pending write.
  [[nodiscard]] std::vector<RecordId> existing_records() const;
  // Returns the first chunk that is stored, may be stored or has a pending write, and that is not
  // being replaced.
  [[nodiscard]] std::optional<RecordId> chunk_in_use() const;
  // Returns true if a record of this layout has a write queued or in flight.
  [[nodiscard]] bool has_pending_writes(Layout layout) const;
};

}  // namespace seampass::leader
