// The leader's durable writes: task records, work/<job>/<record>, and final statuses, ends/<job>.
//
// One transaction of a job is on its way at a time, and every one compares the version of each
// record that it replaces: a late copy of an earlier write can't undo a newer one. Outcomes that
// are not known are read back, never assumed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/records/record_layout.h"
#include "net/runtime.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class RecordStore {
 public:
  // What a record should hold now; none: it should not exist.
  using Render =
      std::function<std::optional<wire::Json>(const std::string& job, const RecordId& id)>;

  struct Hooks {
    Render render;
    std::function<void()> fenced;  // another leads
    // A final status that this store did not write was found.
    std::function<void(const std::string& job, wire::Stage)> final_status_found;
    std::function<void()> rejected;  // the service's limits are smaller than those we write for
  };

  // The limits: the smallest that are known of, also of those to come.
  RecordStore(net::Runtime& runtime, state::Client& state, const config::StateLimits& limits,
              Hooks hooks);

  // Starts a term; everything of the one before is forgotten.
  void start_term(std::uint64_t epoch);
  void end_term() { start_term(0); }

  // A record as found when the term began.
  void add_existing(const std::string& job, const RecordId& id, state::Version version);

  // The record changed: write it; `durable` runs once what it held by now is in the store.
  void write(const std::string& job, const RecordId& id, state::Urgency urgency,
             std::function<void()> durable = nullptr);
  // Has a record deleted that others replace: only once these are durable, or together with the
  // last of them, so that every step is one to stop after. Who waited for it waits for all of this.
  void replace(const std::string& job, const RecordId& old, const std::vector<RecordId>& with);
  // Writes the final status, and answers with the one that stands.
  void write_final_status(const std::string& job, state::Version open_version, wire::Stage stage,
                          std::uint64_t done, state::Urgency urgency,
                          std::function<void(wire::Stage)> durable);

  // A final status of this job may be in the store, or may come to be, and is not known here yet.
  bool outcome_unknown(const std::string& job) const { return outcome_unknown_.contains(job); }
  bool any_outcome_unknown() const { return !outcome_unknown_.empty(); }
  // Nothing of this record waits or is on its way.
  bool settled(const std::string& job, const RecordId& id) const;
  bool settled(const std::string& job) const;
  // The records that are or may be in the store.
  std::vector<RecordId> records(const std::string& job) const;
  // The first chunk among them that is not being replaced.
  std::optional<RecordId> chunk_in_use(const std::string& job) const;
  // Jobs with a record of this layout that waits to be written, or is on its way.
  std::vector<std::string> jobs_writing(Layout layout) const;
  void forget(const std::string& job) {
    jobs_.erase(job);
    outcome_unknown_.erase(job);
  }

 private:
  struct Record {
    state::Version version = 0;
    bool dirty = false, sending = false;
    bool replaced = false;  // to be deleted once the others are durable
    state::Urgency urgency = state::Urgency::progress;
    std::vector<std::function<void()>> waiters;

    // It is or may be in the store, or will be.
    bool exists() const { return version != 0 || dirty || sending; }
    void mark_dirty(state::Urgency at_least);
    void mark_unsent();
    void move_waiters_to(std::vector<std::function<void()>>& list);
  };
  struct FinalStatus {
    state::Version open_version = 0;
    wire::Stage stage = wire::Stage::done;
    std::uint64_t done = 0;
    state::Urgency urgency = state::Urgency::final_status;
    std::function<void(wire::Stage)> durable;
  };
  struct Entry {
    std::map<RecordId, Record> records;
    std::optional<FinalStatus> ending;
    bool ended = false;  // the final status is in the store
    bool busy = false;
    // Of the transaction on its way: may still wait for its turn.
    state::Client::Ticket ticket = 0;
    state::Urgency urgency = state::Urgency::progress;
    std::vector<RecordId> sent;
  };

  // One transaction, and what it changes.
  struct Batch {
    state::Txn txn;
    state::Urgency urgency = state::Urgency::progress;
    bool has_final_status = false;
    bool outgrown = false;  // holds a value that will not be taken once the limits have changed
    std::vector<RecordId> ids;
    std::vector<bool> present;  // by id: has a value after this
  };

  void flush(const std::string& job);
  void withdraw_less_urgent(const std::string& job, state::Urgency urgency);
  bool settle_unneeded(const std::string& job);
  void append_final_status(const std::string& job, Batch& batch) const;
  void add_records(const std::string& job, Batch& batch);
  void send(const std::string& job, Batch batch);
  void schedule_flush(const std::string& job, net::Ms pause);
  void on_batch_failed(const std::string& job, const Batch& batch, bool doubt,
                       const state::TxnResult& result);
  void on_batch_applied(const std::string& job, const Batch& batch, state::Version version);
  void read_back(const std::string& job, std::vector<RecordId> ids, bool with_final_status);
  // False if the record can't be read.
  bool apply_final_status(const std::string& job, const state::Item& item);
  // The final status is in the store; whoever waits for that, if anybody.
  std::function<void(wire::Stage)> set_ended(const std::string& job);

  net::Runtime& runtime_;
  state::Client& state_;
  config::StateLimits limits_;
  Hooks hooks_;
  std::uint64_t epoch_ = 0;
  std::uint64_t term_ = 0;
  std::map<std::string, Entry> jobs_;
  // A transaction with the final status is out, or its outcome is not known.
  std::set<std::string> outcome_unknown_;
};

}  // namespace seampass::leader
