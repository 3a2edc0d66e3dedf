// RecordStore performs the leader's durable writes: task records under work/<job>/<record> and
// final statuses under ends/<job> (keys.h). It owns the known versions of the stored records and
// the writes that are pending. The parts of LeaderTerm call it on the event loop's thread, during a
// term of leadership.
//
// Each job has at most one transaction in flight. Every transaction compares the version of each
// record that it writes or deletes, so a late copy of an earlier write cannot undo a newer one. The
// store reads back the records of a transaction whose outcome is unknown; it never assumes an
// outcome.
//
// See write_batch.h for the content of one transaction, job_writes.h for the states of a job's
// writes, and read_back.h for how the store resolves an unknown outcome.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/records/job_writes.h"
#include "leader/records/read_back.h"
#include "leader/records/record_layout.h"
#include "leader/records/write_batch.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class RecordStore final : private ReadBack::Listener {
 public:
  struct Callbacks {
    RenderRecord render;
    std::function<void()> on_fenced;  // another controller has become the leader
    // Called when the store finds a final status while it has none of its own to write.
    std::function<void(const std::string& job, wire::Stage)> on_final_status_found;
    // Called when the state service rejects a transaction as invalid and the transaction holds a
    // value above the smallest known limit. The layout of the term is then too large for the
    // service.
    std::function<void()> on_value_too_large;
  };

  // `limits` are the smallest limits of the state service that are known, including limits that are
  // announced for later.
  RecordStore(net::Runtime& runtime, state::Client& state, const config::StateLimits& limits,
              Callbacks callbacks);

  // Starts a term and discards all state of the previous term, including its callbacks.
  void start_term(std::uint64_t epoch);
  void end_term();

  // Adds a record that recovery found in the state service at the start of the term.
  void add_existing(const std::string& job, const RecordId& id, state::Version version);

  // Writes the record with its current content. `on_durable` runs once the content that the record
  // has at the time of this call is durable. It also runs if the record is not stored and should
  // not exist, because nothing needs to be written then.
  void write(const std::string& job, const RecordId& id, state::Urgency urgency,
             std::function<void()> on_durable = nullptr);
  // Writes the records `replacements` and deletes the record `old`. The deletion is in the same
  // transaction as the last replacement or in a later one. A leader that fails after any of these
  // transactions therefore loses no data. Callbacks that wait for the old record run once the
  // replacements are durable and the old record is deleted.
  void replace(const std::string& job, const RecordId& old,
               const std::vector<RecordId>& replacements);
  // Writes the final status. `on_durable` receives the final status that is stored in the end,
  // which is either this one or one that another controller wrote first.
  void write_final_status(const std::string& job, state::Version open_version, wire::Stage stage,
                          std::uint64_t done, state::Urgency urgency,
                          std::function<void(wire::Stage)> on_durable);

  // Returns true if a final status of this job may be stored, or may still become stored, without
  // this leader having seen it yet.
  [[nodiscard]] bool final_status_unknown(const std::string& job) const {
    return final_status_unknown_.contains(job);
  }
  [[nodiscard]] bool any_final_status_unknown() const { return !final_status_unknown_.empty(); }
  // Returns true if the record has no write queued or in flight.
  [[nodiscard]] bool settled(const std::string& job, const RecordId& id) const {
    return writes_of(job).settled(id);
  }
  // Returns true if no task record of the job is stored, no write of the job is queued and no
  // transaction of it is in flight.
  [[nodiscard]] bool no_task_records_left(const std::string& job) const {
    return writes_of(job).no_task_records_left();
  }
  // Returns the records that are stored, may be stored or have a pending write.
  [[nodiscard]] std::vector<RecordId> records(const std::string& job) const {
    return writes_of(job).existing_records();
  }
  // Returns the first chunk among these records that is not being replaced.
  [[nodiscard]] std::optional<RecordId> chunk_in_use(const std::string& job) const {
    return writes_of(job).chunk_in_use();
  }
  // Returns the jobs that have a write of a record of this layout queued or in flight.
  [[nodiscard]] std::vector<std::string> jobs_writing(Layout layout) const;
  // Discards all state of the job. The result of a transaction that is still in flight is ignored.
  void forget(const std::string& job);

 private:
  // The description of a transaction in flight.
  struct SentBatch {
    WriteBatch batch;  // its `txn` was moved to the client
    // The job was in `final_status_unknown_` before this transaction was sent. It then stays there
    // if the transaction is not executed.
    bool final_status_unknown_before = false;
  };

  // Returns the state of the job, or an empty state if the store has none.
  [[nodiscard]] const JobWrites& writes_of(const std::string& job) const;
  void clear();

  // Sends transactions.
  void flush(const std::string& job);
  void schedule_flush(const std::string& job, net::Ms pause);
  void withdraw_less_urgent(const std::string& job, state::Urgency urgency);
  [[nodiscard]] bool settle_unneeded_records(const std::string& job);
  void send(const std::string& job, WriteBatch batch);

  // Handles the outcomes of transactions.
  void on_result(const std::string& job, const SentBatch& sent, const state::TxnResult& result);
  void on_batch_applied(const std::string& job, const WriteBatch& batch, state::Version version);
  void on_batch_not_executed(const std::string& job, const SentBatch& sent, state::Outcome outcome);
  void on_batch_uncertain(const std::string& job, const WriteBatch& batch,
                          const state::TxnResult& result);
  // Marks the final status as durable. Returns the callback that waits for it, or an empty
  // function.
  [[nodiscard]] std::function<void(wire::Stage)> mark_final_status_durable(const std::string& job);

  // ReadBack::Listener.
  [[nodiscard]] bool tracks(const std::string& job) const override;
  [[nodiscard]] Readable on_final_status_read(const std::string& job,
                                              const state::Item& item) override;
  void on_record_read(const std::string& job, const RecordId& id, state::Version version) override;
  void on_read_back(const std::string& job) override;

  net::Runtime& runtime_;
  state::Client& state_;
  config::StateLimits limits_;
  Callbacks callbacks_;
  std::optional<std::uint64_t> epoch_;  // empty between terms
  std::map<std::string, JobWrites> jobs_;
  // Jobs whose final status is in flight, has an unknown outcome or cannot be decoded.
  std::set<std::string> final_status_unknown_;
  ReadBack read_back_;
  net::CallbackScope scope_;  // drops the callbacks of earlier terms
};

}  // namespace seampass::leader
