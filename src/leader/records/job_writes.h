// What the RecordStore knows of one job: its records, its final status, and the transaction of it
// that is on its way. Plain state with its queries; the RecordStore alone changes it.
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

// One record, as it is in the store and as it is to become.
struct RecordState {
  state::Version version = 0;  // as last known; 0: it does not exist
  // Changed since it was last put into a transaction. May hold while `sending` does.
  bool dirty = false;
  bool sending = false;
  bool replaced = false;  // to be deleted once the records that replace it are durable
  state::Urgency urgency = state::Urgency::progress;
  std::vector<std::function<void()>> waiters;  // for what it holds by now to be durable

  // It is or may be in the store, or will be.
  [[nodiscard]] bool exists() const { return version != 0 || dirty || sending; }
  [[nodiscard]] bool settled() const { return !dirty && !sending; }
  void mark_dirty(state::Urgency at_least);
  // Its transaction was not carried out, as far as is known.
  void mark_unsent();
  void move_waiters_to(std::vector<std::function<void()>>& list);
};

// A final status that is to be written.
struct PendingFinalStatus {
  state::Version open_version =
      0;  // of the job's open record, which goes with the same transaction
  wire::Stage stage = wire::Stage::done;
  std::uint64_t done = 0;  // tasks
  state::Urgency urgency = state::Urgency::final_status;
  std::function<void(wire::Stage)> durable;
};

// The one transaction of a job that may be on its way.
struct Transmission {
  enum class Phase {
    idle,          // none: the next may be sent
    withdrawable,  // with the client, where it may still wait for its turn
    committed,     // with the client, and not to be withdrawn
    reading_back,  // its outcome is not known: what the store holds is being read
  };

  Phase phase = Phase::idle;
  // Of what was sent last; the ticket while it is withdrawable.
  state::Client::Ticket ticket = 0;
  state::Urgency urgency = state::Urgency::progress;
  std::vector<RecordId> records;

  [[nodiscard]] bool idle() const { return phase == Phase::idle; }
};

struct JobWrites {
  enum class FinalStatusState {
    none,     // this leader neither wrote nor found one
    pending,  // to be written, or on its way
    durable,  // in the store, whoever wrote it
  };

  std::map<RecordId, RecordState> records;
  FinalStatusState final_status_state = FinalStatusState::none;
  PendingFinalStatus final_status;  // while it is pending
  Transmission transmission;

  [[nodiscard]] bool final_status_pending() const {
    return final_status_state == FinalStatusState::pending;
  }
  [[nodiscard]] bool final_status_durable() const {
    return final_status_state == FinalStatusState::durable;
  }
  [[nodiscard]] bool settled(const RecordId& id) const;
  // Nothing of the job is in the store, waits or is on its way.
  [[nodiscard]] bool settled() const;
  [[nodiscard]] std::vector<RecordId> existing() const;
  // The first chunk that is or may be in the store and is not being replaced.
  [[nodiscard]] std::optional<RecordId> chunk_in_use() const;
  // A record of this layout waits to be written, or is on its way.
  [[nodiscard]] bool writing(Layout layout) const;
};

}  // namespace seampass::leader
