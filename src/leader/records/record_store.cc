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

constexpr net::Ms kRetry = 200;
// The same transaction gets the same answer again, unless the layout has changed meanwhile.
constexpr net::Ms kRetryInvalid = 2000;

}  // namespace

RecordStore::RecordStore(net::Runtime& runtime, state::Client& state,
                         const config::StateLimits& limits, Callbacks callbacks)
    : runtime_(runtime),
      state_(state),
      limits_(limits),
      callbacks_(std::move(callbacks)),
      read_back_(runtime, state, *this, kRetry) {}

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
  outcome_unknown_.clear();
}

void RecordStore::add_existing(const std::string& job, const RecordId& id, state::Version version) {
  jobs_[job].records[id].version = version;
}

void RecordStore::write(const std::string& job, const RecordId& id, Urgency urgency,
                        std::function<void()> durable) {
  RecordState& record = jobs_[job].records[id];
  record.mark_dirty(urgency);
  if (durable) record.waiters.push_back(std::move(durable));
  withdraw_less_urgent(job, urgency);
  flush(job);
}

void RecordStore::replace(const std::string& job, const RecordId& old,
                          const std::vector<RecordId>& with) {
  JobWrites& writes = jobs_[job];
  RecordState& replaced = writes.records[old];
  const Urgency urgency = replaced.dirty ? replaced.urgency : Urgency::progress;
  replaced.dirty = replaced.replaced = true;
  for (const RecordId& id : with) writes.records[id].mark_dirty(urgency);
  flush(job);
}

void RecordStore::write_final_status(const std::string& job, state::Version open_version,
                                     wire::Stage stage, std::uint64_t done, Urgency urgency,
                                     std::function<void(wire::Stage)> durable) {
  JobWrites& writes = jobs_[job];
  writes.final_status_state = FinalStatusState::pending;
  writes.final_status = {open_version, stage, done, urgency, std::move(durable)};
  withdraw_less_urgent(job, urgency);
  flush(job);
}

const JobWrites& RecordStore::writes_of(const std::string& job) const {
  static const JobWrites nothing_known;
  const auto entry = jobs_.find(job);
  return entry == jobs_.end() ? nothing_known : entry->second;
}

std::vector<std::string> RecordStore::jobs_writing(Layout layout) const {
  std::vector<std::string> jobs;
  for (const auto& [job, writes] : jobs_)
    if (writes.writing(layout)) jobs.push_back(job);
  return jobs;
}

void RecordStore::forget(const std::string& job) {
  jobs_.erase(job);
  outcome_unknown_.erase(job);
}

// ---- Sending ----

// A transaction of the job that still waits for its turn is withdrawn, to go with what is more
// urgent. Otherwise the urgent write would wait for it, which can be long when the service is at
// its limits.
void RecordStore::withdraw_less_urgent(const std::string& job, Urgency urgency) {
  JobWrites& writes = jobs_.at(job);
  Transmission& transmission = writes.transmission;
  if (transmission.phase != Phase::withdrawable || urgency >= transmission.urgency) return;
  if (!state_.withdraw(transmission.ticket)) return;
  for (const RecordId& id : transmission.records) writes.records[id].mark_unsent();
  transmission.phase = Phase::idle;
}

void RecordStore::schedule_flush(const std::string& job, net::Ms pause) {
  runtime_.after(pause, scope_.wrap([this, job] { flush(job); }));
}

void RecordStore::flush(const std::string& job) {
  const auto entry = jobs_.find(job);
  if (entry == jobs_.end() || !entry->second.transmission.idle() || !epoch_) return;
  if (settle_unneeded(job)) return flush(job);
  WriteBatch batch =
      WriteBatchBuilder(job, *epoch_, limits_).build(entry->second, callbacks_.render);
  if (!batch.txn.changes.empty()) send(job, std::move(batch));
}

// Records that are neither in the store nor wanted need no write. True if somebody waited for one:
// who waited may have changed everything.
bool RecordStore::settle_unneeded(const std::string& job) {
  auto& records = jobs_.at(job).records;
  const bool replacements_waiting =
      std::any_of(records.begin(), records.end(),
                  [](const auto& entry) { return entry.second.dirty && !entry.second.replaced; });
  std::vector<std::function<void()>> waiters;
  for (auto& [id, record] : records) {
    if (!record.dirty || record.version != 0) continue;
    const bool needed =
        record.replaced ? replacements_waiting : callbacks_.render(job, id).has_value();
    if (needed) continue;
    record.dirty = record.replaced = false;
    record.move_waiters_to(waiters);
  }
  const auto term = scope_.period();
  for (const auto& waiter : waiters)
    if (term.current()) waiter();
  return !waiters.empty();
}

void RecordStore::send(const std::string& job, WriteBatch batch) {
  Transmission& transmission = jobs_.at(job).transmission;
  transmission.phase = Phase::committed;
  transmission.urgency = batch.urgency;
  transmission.records.clear();
  for (const auto& [id, present] : batch.records) transmission.records.push_back(id);
  state::Txn txn = std::move(batch.txn);
  // One with a final status is never withdrawn: its outcome is unknown from when it is sent.
  const bool withdrawable = !batch.has_final_status;
  Sent sent{std::move(batch), outcome_unknown_.contains(job)};
  if (!withdrawable) outcome_unknown_.insert(job);
  const auto ticket =
      state_.txn(std::move(txn), transmission.urgency,
                 scope_.wrap([this, job, sent = std::move(sent)](const state::TxnResult& result) {
                   if (jobs_.contains(job)) on_result(job, sent, result);
                 }));
  const auto entry = jobs_.find(job);
  if (!withdrawable || entry == jobs_.end()) return;
  Transmission& waiting = entry->second.transmission;
  if (waiting.phase != Phase::committed) return;
  waiting.phase = Phase::withdrawable;
  waiting.ticket = ticket;
}

// ---- Outcomes ----

void RecordStore::on_result(const std::string& job, const Sent& sent,
                            const state::TxnResult& result) {
  JobWrites& writes = jobs_.at(job);
  writes.transmission.phase = Phase::committed;
  if (result.outcome == Outcome::ok) return on_batch_applied(job, sent.batch, result.revision);
  for (const auto& [id, present] : sent.batch.records) writes.records[id].mark_unsent();
  if (result.outcome == Outcome::refused || result.outcome == Outcome::invalid)
    return on_batch_not_executed(job, sent, result.outcome);
  on_batch_uncertain(job, sent.batch, result);
}

void RecordStore::on_batch_not_executed(const std::string& job, const Sent& sent, Outcome outcome) {
  jobs_.at(job).transmission.phase = Phase::idle;
  if (!sent.outcome_unknown_before) outcome_unknown_.erase(job);
  if (outcome == Outcome::refused) return schedule_flush(job, kRetry);
  spdlog::error("the state service takes no record of {} in this form", job);
  schedule_flush(job, kRetryInvalid);
  if (sent.batch.outgrown) callbacks_.on_value_too_large();
}

// The outcome is not known, or a version is not the one that was expected: what the store holds is
// read, and writing goes on from that.
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
  for (const auto& [id, present] : batch.records) {
    RecordState& record = writes.records[id];
    record.sending = false;
    record.version = present ? version : 0;
    if (present) audit::record_durable(job, id, version);
    // A waiter that came while this was on its way belongs to the next write.
    if (record.dirty) continue;
    record.replaced = false;
    record.move_waiters_to(waiters);
  }
  std::function<void(wire::Stage)> final_status_waiter;
  wire::Stage stage = wire::Stage::done;
  if (batch.has_final_status && writes.final_status_pending()) {
    stage = writes.final_status.stage;
    audit::final_status(job, stage, version);
    final_status_waiter = set_final_status_durable(job);
  }
  const auto term = scope_.period();
  if (final_status_waiter) final_status_waiter(stage);
  for (const auto& waiter : waiters)
    if (term.current()) waiter();
  if (term.current()) flush(job);
}

std::function<void(wire::Stage)> RecordStore::set_final_status_durable(const std::string& job) {
  JobWrites& writes = jobs_.at(job);
  writes.final_status_state = FinalStatusState::durable;
  outcome_unknown_.erase(job);
  return std::exchange(writes.final_status, {}).durable;
}

// ---- Reading back ----

bool RecordStore::tracks(const std::string& job) const { return jobs_.contains(job); }

// The first final status stands, ours or another's. One that can't be read is taken neither for
// `done`, by which dependents would start, nor for `withdrawn`: the outcome stays unknown.
ReadBack::Listener::Readable RecordStore::on_final_status_read(const std::string& job,
                                                               const state::Item& item) {
  if (jobs_.at(job).final_status_durable()) return Readable::yes;
  wire::Stage stage = wire::Stage::done;
  try {
    stage = jobs::decode_final_status(item.value).stage;
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}, the outcome of {} stays unknown: {}", item.key, job,
                  error.what());
    outcome_unknown_.insert(job);
    return Readable::no;
  }
  const std::function<void(wire::Stage)> waiter = set_final_status_durable(job);
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
  schedule_flush(job, kRetry);
}

}  // namespace seampass::leader
