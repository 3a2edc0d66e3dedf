// The leader's durable writes: task records, work/<job>/<record>, and final statuses, ends/<job>
// (keys.h). Owns what is known of the records in the state service and what is still to be written;
// the leader's Controller calls it, on the loop's thread, within a term.
//
// One transaction of a job is on its way at a time, and every one compares the version of each
// record that it replaces: a late copy of an earlier write can't undo a newer one. Outcomes that
// are not known are read back, never assumed. What is in one transaction: write_batch.h; what
// states a job can be in: job_writes.h; how an outcome is read back: read_back.h.
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
    std::function<void()> on_fenced;  // another leads
    // A final status that this store did not write was found.
    std::function<void(const std::string& job, wire::Stage)> on_final_status_found;
    // The service's limits are smaller than those that are written for.
    std::function<void()> on_value_too_large;
  };

  // `limits`: the smallest that are known of, also of those to come.
  RecordStore(net::Runtime& runtime, state::Client& state, const config::StateLimits& limits,
              Callbacks callbacks);

  // Starts a term; everything of the one before is forgotten, its callbacks included.
  void start_term(std::uint64_t epoch);
  void end_term();

  // A record as found when the term began.
  void add_existing(const std::string& job, const RecordId& id, state::Version version);

  // The record changed: write it; `durable` runs once what it held by now is in the store.
  void write(const std::string& job, const RecordId& id, state::Urgency urgency,
             std::function<void()> durable = nullptr);
  // Has a record deleted that others replace: only once these are durable, or together with the
  // last of them, so that a leader may end after any transaction without a loss. Who waited for the
  // old record waits for all of this.
  void replace(const std::string& job, const RecordId& old, const std::vector<RecordId>& with);
  // Writes the final status; `durable` gets the one that stands, this or another's.
  void write_final_status(const std::string& job, state::Version open_version, wire::Stage stage,
                          std::uint64_t done, state::Urgency urgency,
                          std::function<void(wire::Stage)> durable);

  // A final status of this job may be in the store, or may come to be, and is not known here yet.
  [[nodiscard]] bool outcome_unknown(const std::string& job) const {
    return outcome_unknown_.contains(job);
  }
  [[nodiscard]] bool any_outcome_unknown() const { return !outcome_unknown_.empty(); }
  // Nothing of this record waits or is on its way.
  [[nodiscard]] bool settled(const std::string& job, const RecordId& id) const {
    return writes_of(job).settled(id);
  }
  // Nothing of this job is in the store, waits or is on its way.
  [[nodiscard]] bool settled(const std::string& job) const { return writes_of(job).settled(); }
  // The records that are or may be in the store.
  [[nodiscard]] std::vector<RecordId> records(const std::string& job) const {
    return writes_of(job).existing();
  }
  // The first chunk among them that is not being replaced.
  [[nodiscard]] std::optional<RecordId> chunk_in_use(const std::string& job) const {
    return writes_of(job).chunk_in_use();
  }
  // Jobs with a record of this layout that waits to be written, or is on its way.
  [[nodiscard]] std::vector<std::string> jobs_writing(Layout layout) const;
  void forget(const std::string& job);

 private:
  // A transaction on its way.
  struct Sent {
    WriteBatch batch;  // without the transaction itself
    // It was unknown before this was sent whether a final status is in the store: then it stays so
    // if this is not executed.
    bool outcome_unknown_before = false;
  };

  // Empty if nothing is known of the job.
  [[nodiscard]] const JobWrites& writes_of(const std::string& job) const;
  void clear();

  // Sending.
  void flush(const std::string& job);
  void schedule_flush(const std::string& job, net::Ms pause);
  void withdraw_less_urgent(const std::string& job, state::Urgency urgency);
  [[nodiscard]] bool settle_unneeded(const std::string& job);
  void send(const std::string& job, WriteBatch batch);

  // Outcomes.
  void on_result(const std::string& job, const Sent& sent, const state::TxnResult& result);
  void on_batch_applied(const std::string& job, const WriteBatch& batch, state::Version version);
  void on_batch_not_executed(const std::string& job, const Sent& sent, state::Outcome outcome);
  void on_batch_uncertain(const std::string& job, const WriteBatch& batch,
                          const state::TxnResult& result);
  // The final status is in the store. Whoever waits for that, if anybody.
  [[nodiscard]] std::function<void(wire::Stage)> set_final_status_durable(const std::string& job);

  // Reading back.
  [[nodiscard]] bool tracks(const std::string& job) const override;
  [[nodiscard]] Readable on_final_status_read(const std::string& job,
                                              const state::Item& item) override;
  void on_record_read(const std::string& job, const RecordId& id, state::Version version) override;
  void on_read_back(const std::string& job) override;

  net::Runtime& runtime_;
  state::Client& state_;
  config::StateLimits limits_;
  Callbacks callbacks_;
  std::optional<std::uint64_t> epoch_;  // none between terms
  std::map<std::string, JobWrites> jobs_;
  // A transaction with the final status is out, or its outcome is not known.
  std::set<std::string> outcome_unknown_;
  ReadBack read_back_;
  net::CallbackScope scope_;  // of the term
};

}  // namespace seampass::leader
