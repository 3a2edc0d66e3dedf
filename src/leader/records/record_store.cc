#include "leader/records/record_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "jobs/final_status.h"
#include "leader/audit_log.h"
#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;
using state::Urgency;
using Phase = Transmission::Phase;
using FinalStatusState = JobWrites::FinalStatusState;

namespace {

constexpr net::Ms kRetryPause = 200;
// The pause is longer after the state service has rejected a transaction as invalid. The service
// rejects the same transaction again, unless the layout has changed in the meantime.
constexpr net::Ms kInvalidRetryPause = 2000;

}  // namespace

RecordStore::RecordStore(net::Runtime& runtime, state::Client& state,
                         const config::StateLimits& limits, Callbacks callbacks)
    : runtime_(runtime),
      state_(state),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      read_back_(runtime, state, *this, kRetryPause) {}

void RecordStore::start_term(std::uint64_t epoch) {
  clear();
  epoch_ = epoch;
}

void RecordStore::end_term() { clear(); }

void RecordStore::clear() {
  epoch_.reset();
  scope_.renew();
  read_back_.cancel();
  jobs_.clear();
  final_status_unknown_.clear();
}

void RecordStore::add_existing(const std::string& job, const RecordId& id, state::Version version) {
  jobs_[job].records[id].version = version;
}

void RecordStore::write(const std::string& job, const RecordId& id, Urgency urgency,
                        std::function<void()> on_durable) {
  RecordState& record = jobs_[job].records[id];
  record.mark_dirty(urgency);
  if (on_durable) record.waiters.push_back(std::move(on_durable));
  withdraw_less_urgent(job, urgency);
  flush(job);
}

void RecordStore::replace(const std::string& job, const RecordId& old,
                          const std::vector<RecordId>& replacements) {
  JobWrites& writes = jobs_[job];
  RecordState& old_record = writes.records[old];
  const Urgency urgency = old_record.dirty ? old_record.urgency : Urgency::progress;
  old_record.dirty = old_record.being_replaced = true;
  for (const RecordId& id : replacements) writes.records[id].mark_dirty(urgency);
  flush(job);
}

void RecordStore::write_final_status(const std::string& job, state::Version open_version,
                                     wire::Stage stage, std::uint64_t done, Urgency urgency,
                                     std::function<void(wire::Stage)> on_durable) {
  JobWrites& writes = jobs_[job];
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status = {open_version, stage, done, urgency, std::move(on_durable)};
  withdraw_less_urgent(job, urgency);
  flush(job);
}

const JobWrites& RecordStore::writes_of(const std::string& job) const {
  static const JobWrites no_writes;
  const auto entry = jobs_.find(job);
  return entry == jobs_.end() ? no_writes : entry->second;
}

std::vector<std::string> RecordStore::jobs_writing(Layout layout) const {
  std::vector<std::string> jobs;
  for (const auto& [job, writes] : jobs_)
    if (writes.has_pending_writes(layout)) jobs.push_back(job);
  return jobs;
}

void RecordStore::forget(const std::string& job) {
  jobs_.erase(job);
  final_status_unknown_.erase(job);
}

// ---- Sending ----

// Withdraws a less urgent transaction of the job that the client still has queued. Its records are
// then sent together with the more urgent write. Without this, the urgent write would wait for the
// queued transaction, which can take long while the client is limited by the state service's rate.
void RecordStore::withdraw_less_urgent(const std::string& job, Urgency urgency) {
  JobWrites& writes = jobs_.at(job);
  Transmission& transmission = writes.transmission;
  if (transmission.phase != Phase::withdrawable || urgency >= transmission.urgency) return;
  if (!state_.withdraw(transmission.ticket)) return;
  for (const RecordId& id : transmission.records) writes.records[id].mark_unwritten();
  transmission.phase = Phase::idle;
}

void RecordStore::schedule_flush(const std::string& job, net::Ms pause) {
  runtime_.after(pause, scope_.wrap([this, job] { flush(job); }));
}

void RecordStore::flush(const std::string& job) {
  const auto entry = jobs_.find(job);
  if (entry == jobs_.end() || !entry->second.transmission.idle() || !epoch_) return;
  if (settle_unneeded_records(job)) return flush(job);
  WriteBatch batch =
      WriteBatchBuilder(job, *epoch_, limits_).build(entry->second, callbacks_.render);
  if (!batch.txn.changes.empty()) send(job, std::move(batch));
}

// Clears the dirty mark of records that are not stored and should not exist, because they need no
// write. A record that is being replaced stays dirty while any other record of the job is dirty,
// because that record may be one of its replacements. Runs the callbacks that wait for the cleared
// records. Returns true if there were any, because a callback may have changed the job's writes or
// ended the job or the term.
bool RecordStore::settle_unneeded_records(const std::string& job) {
  auto& records = jobs_.at(job).records;
  const bool replacements_pending = std::any_of(
      records.begin(), records.end(),
      [](const auto& entry) { return entry.second.dirty && !entry.second.being_replaced; });
  std::vector<std::function<void()>> waiters;
  for (auto& [id, record] : records) {
    if (!record.dirty || record.version != 0) continue;
    const bool needed =
        record.being_replaced ? replacements_pending : callbacks_.render(job, id).has_value();
    if (needed) continue;
    record.dirty = record.being_replaced = false;
    record.move_waiters_to(waiters);
  }
  const auto term = scope_.period();
  for (const auto& waiter : waiters)
    if (term.current()) waiter();
  return !waiters.empty();
}

void RecordStore::send(const std::string& job, WriteBatch batch) {
  Transmission& transmission = jobs_.at(job).transmission;
  transmission.phase = Phase::not_withdrawable;
  transmission.urgency = batch.urgency;
  transmission.records.clear();
  for (const auto& [id, exists_after] : batch.records) transmission.records.push_back(id);
  state::Txn txn = std::move(batch.txn);
  // A transaction with a final status is never withdrawn, because its outcome counts as unknown
  // from the time at which it is given to the client.
  const bool withdrawable = !batch.has_final_status;
  SentBatch sent{std::move(batch), final_status_unknown_.contains(job)};
  if (!withdrawable) final_status_unknown_.insert(job);
  const auto ticket =
      state_.txn(std::move(txn), transmission.urgency,
                 scope_.wrap([this, job, sent = std::move(sent)](const state::TxnResult& result) {
                   if (jobs_.contains(job)) on_result(job, sent, result);
                 }));
  const auto entry = jobs_.find(job);
  if (!withdrawable || entry == jobs_.end()) return;
  Transmission& queued = entry->second.transmission;
  if (queued.phase != Phase::not_withdrawable) return;
  queued.phase = Phase::withdrawable;
  queued.ticket = ticket;
}

// ---- Outcomes ----

void RecordStore::on_result(const std::string& job, const SentBatch& sent,
                            const state::TxnResult& result) {
  JobWrites& writes = jobs_.at(job);
  writes.transmission.phase = Phase::not_withdrawable;
  if (result.outcome == Outcome::ok) return on_batch_applied(job, sent.batch, result.revision);
  for (const auto& [id, exists_after] : sent.batch.records) writes.records[id].mark_unwritten();
  if (result.outcome == Outcome::refused || result.outcome == Outcome::invalid)
    return on_batch_not_executed(job, sent, result.outcome);
  on_batch_uncertain(job, sent.batch, result);
}

void RecordStore::on_batch_not_executed(const std::string& job, const SentBatch& sent,
                                        Outcome outcome) {
  jobs_.at(job).transmission.phase = Phase::idle;
  if (!sent.final_status_unknown_before) final_status_unknown_.erase(job);
  if (outcome == Outcome::refused) return schedule_flush(job, kRetryPause);
  spdlog::error("the state service rejected a transaction of job {} as invalid", job);
  schedule_flush(job, kInvalidRetryPause);
  if (sent.batch.has_oversized_value) callbacks_.on_value_too_large();
}

// Called when the outcome is unknown or a version differs from the expected one. Reads back the
// stored records; writing resumes from the versions that were read.
void RecordStore::on_batch_uncertain(const std::string& job, const WriteBatch& batch,
                                     const state::TxnResult& result) {
  if (result.outcome == Outcome::conflict && result.failed_on(kLeaderKey))
    return callbacks_.on_fenced();
  Transmission& transmission = jobs_.at(job).transmission;
  transmission.phase = Phase::reading_back;
  std::vector<RecordId> ids = transmission.records;
  if (batch.has_final_status || result.failed_on(final_status_key(job)))
    read_back_.read_final_status_and_records(job, std::move(ids));
  else
    read_back_.read_records(job, std::move(ids));
}

void RecordStore::on_batch_applied(const std::string& job, const WriteBatch& batch,
                                   state::Version version) {
  JobWrites& writes = jobs_.at(job);
  writes.transmission.phase = Phase::idle;
  std::vector<std::function<void()>> waiters;
  for (const auto& [id, exists_after] : batch.records) {
    RecordState& record = writes.records[id];
    record.sending = false;
    record.version = exists_after ? version : 0;
    const auto log_change = exists_after ? audit::record_durable : audit::record_deleted;
    log_change(job, id, version);
    // The record changed again while this transaction was in flight. Its callbacks may wait for the
    // newer content, so they run after the next write.
    if (record.dirty) continue;
    record.being_replaced = false;
    record.move_waiters_to(waiters);
  }
  std::function<void(wire::Stage)> final_status_waiter;
  wire::Stage stage = wire::Stage::done;
  if (batch.has_final_status && writes.final_status_pending()) {
    stage = writes.final_status.stage;
    audit::final_status(job, stage, version);
    final_status_waiter = mark_final_status_durable(job);
  }
  const auto term = scope_.period();
  if (final_status_waiter) final_status_waiter(stage);
  for (const auto& waiter : waiters)
    if (term.current()) waiter();
  if (term.current()) flush(job);
}

std::function<void(wire::Stage)> RecordStore::mark_final_status_durable(const std::string& job) {
  JobWrites& writes = jobs_.at(job);
  writes.final_status_state = FinalStatusState::durable;
  final_status_unknown_.erase(job);
  return std::exchange(writes.final_status, {}).on_durable;
}

// ---- ReadBack::Listener ----

bool RecordStore::tracks(const std::string& job) const { return jobs_.contains(job); }

// The first final status that was stored is the valid one, whichever controller wrote it. A final
// status that cannot be decoded counts neither as `done`, which would start the dependent jobs, nor
// as `withdrawn`. The outcome of the job then stays unknown.
ReadBack::Listener::Readable RecordStore::on_final_status_read(const std::string& job,
                                                               const state::Item& item) {
  if (jobs_.at(job).final_status_durable()) return Readable::yes;
  wire::Stage stage = wire::Stage::done;
  try {
    stage = jobs::decode_final_status(item.value).stage;
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}, so the outcome of job {} stays unknown: {}", item.key, job,
                  error.what());
    final_status_unknown_.insert(job);
    return Readable::no;
  }
  const std::function<void(wire::Stage)> waiter = mark_final_status_durable(job);
  audit::final_status(job, stage, item.version);
  if (waiter)
    waiter(stage);
  else
    callbacks_.on_final_status_found(job, stage);
  return Readable::yes;
}

void RecordStore::on_record_read(const std::string& job, const RecordId& id,
                                 state::Version version) {
  jobs_.at(job).records[id].version = version;
}

void RecordStore::on_read_back(const std::string& job) {
  jobs_.at(job).transmission.phase = Phase::idle;
  schedule_flush(job, kRetryPause);
}

}  // namespace seampass::leader
