#include "leader/records/record_store.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/final_status.h"
#include "leader/audit_log.h"
#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;
using state::Urgency;

namespace {
constexpr std::size_t kTxnBytes = 56U << 10;  // of the service's 64 KiB
constexpr net::Ms kRetry = 200;
// The same again gets the same answer, unless the layout has changed meanwhile.
constexpr net::Ms kRetryInvalid = 2000;
}  // namespace

void RecordStore::Record::mark_dirty(Urgency at_least) {
  urgency = dirty ? std::min(urgency, at_least) : at_least;
  dirty = true;
}

void RecordStore::Record::mark_unsent() {
  sending = false;
  dirty = true;
}

void RecordStore::Record::move_waiters_to(std::vector<std::function<void()>>& list) {
  for (auto& waiter : waiters) list.push_back(std::move(waiter));
  waiters.clear();
}

RecordStore::RecordStore(net::Runtime& runtime, state::Client& state,
                         const config::StateLimits& limits, Hooks hooks)
    : runtime_(runtime), state_(state), limits_(limits), hooks_(std::move(hooks)) {}

void RecordStore::start_term(std::uint64_t epoch) {
  epoch_ = epoch;
  ++term_;
  jobs_.clear();
  outcome_unknown_.clear();
}

void RecordStore::add_existing(const std::string& job, const RecordId& id, state::Version version) {
  jobs_[job].records[id].version = version;
}

void RecordStore::write(const std::string& job, const RecordId& id, Urgency urgency,
                        std::function<void()> durable) {
  Record& r = jobs_[job].records[id];
  r.mark_dirty(urgency);
  if (durable) r.waiters.push_back(std::move(durable));
  withdraw_less_urgent(job, urgency);
  flush(job);
}

void RecordStore::replace(const std::string& job, const RecordId& old,
                          const std::vector<RecordId>& with) {
  Entry& entry = jobs_[job];
  Record& gone = entry.records[old];
  const Urgency urgency = gone.dirty ? gone.urgency : Urgency::progress;
  gone.dirty = gone.replaced = true;
  for (const RecordId& id : with) entry.records[id].mark_dirty(urgency);
  flush(job);
}

void RecordStore::write_final_status(const std::string& job, state::Version open_version,
                                     wire::Stage stage, std::uint64_t done, Urgency urgency,
                                     std::function<void(wire::Stage)> durable) {
  jobs_[job].ending = FinalStatus{open_version, stage, done, urgency, std::move(durable)};
  withdraw_less_urgent(job, urgency);
  flush(job);
}

// A transaction of the job that still waits for its turn is taken back, to go with what is more
// urgent: that would wait for it otherwise, for as long as the service takes all that it can.
void RecordStore::withdraw_less_urgent(const std::string& job, Urgency urgency) {
  Entry& e = jobs_.at(job);
  if (!e.busy || e.ticket == 0 || urgency >= e.urgency || !state_.withdraw(e.ticket)) return;
  for (const RecordId& id : e.sent) e.records[id].mark_unsent();
  e.ticket = 0;
  e.busy = false;
}

bool RecordStore::settled(const std::string& job, const RecordId& id) const {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return true;
  const auto r = j->second.records.find(id);
  return r == j->second.records.end() || (!r->second.dirty && !r->second.sending);
}

bool RecordStore::settled(const std::string& job) const {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return true;
  if (j->second.busy || j->second.ending) return false;
  return std::all_of(j->second.records.begin(), j->second.records.end(),
                     [](const auto& r) { return !r.second.exists(); });
}

std::vector<RecordId> RecordStore::records(const std::string& job) const {
  std::vector<RecordId> list;
  const auto j = jobs_.find(job);
  if (j != jobs_.end())
    for (const auto& [id, r] : j->second.records)
      if (r.exists()) list.push_back(id);
  return list;
}

std::optional<RecordId> RecordStore::chunk_in_use(const std::string& job) const {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return std::nullopt;
  // (Chunks come after the segments.)
  const auto& records = j->second.records;
  const auto chunk =
      std::find_if(records.lower_bound({Layout::chunks, 0}), records.end(),
                   [](const auto& r) { return !r.second.replaced && r.second.exists(); });
  if (chunk == records.end()) return std::nullopt;
  return chunk->first;
}

std::vector<std::string> RecordStore::jobs_writing(Layout layout) const {
  std::vector<std::string> list;
  for (const auto& [job, entry] : jobs_)
    if (std::any_of(entry.records.begin(), entry.records.end(), [&](const auto& r) {
          return r.first.layout == layout && (r.second.dirty || r.second.sending);
        }))
      list.push_back(job);
  return list;
}

void RecordStore::schedule_flush(const std::string& job, net::Ms pause) {
  const std::uint64_t term = term_;
  runtime_.after(pause, [this, term, job] {
    if (term == term_) flush(job);
  });
}

void RecordStore::flush(const std::string& job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.busy || epoch_ == 0) return;
  if (settle_unneeded(job)) return flush(job);

  Batch batch;
  // A late transaction of a former leader fails here.
  batch.txn.conditions.push_back({kLeaderKey, epoch_});
  append_final_status(job, batch);
  add_records(job, batch);
  if (!batch.txn.changes.empty()) send(job, std::move(batch));
}

// Records that are neither there nor wanted need no write. True if there were any: who waited for
// them may have changed everything.
bool RecordStore::settle_unneeded(const std::string& job) {
  Entry& e = jobs_.at(job);
  const bool others = std::any_of(e.records.begin(), e.records.end(), [](const auto& r) {
    return r.second.dirty && !r.second.replaced;
  });
  std::vector<std::function<void()>> waiters;
  for (auto& [id, r] : e.records) {
    if (!r.dirty || r.version != 0) continue;
    if (r.replaced ? others : hooks_.render(job, id).has_value()) continue;
    r.dirty = r.replaced = false;
    r.move_waiters_to(waiters);
  }
  const std::uint64_t term = term_;
  for (const auto& waiter : waiters)
    if (term == term_) waiter();
  return !waiters.empty();
}

void RecordStore::append_final_status(const std::string& job, Batch& batch) const {
  const Entry& e = jobs_.at(job);
  if (!e.ending) return;
  batch.has_final_status = true;
  batch.urgency = e.ending->urgency;
  batch.txn.conditions.push_back({final_status_key(job), 0});
  batch.txn.conditions.push_back({open_key(job), e.ending->open_version});
  batch.txn.changes.push_back(
      {final_status_key(job), jobs::encode({e.ending->stage, e.ending->done}), 0});
  batch.txn.changes.push_back({open_key(job), std::nullopt, 0});
}

void RecordStore::add_records(const std::string& job, Batch& batch) {
  Entry& e = jobs_.at(job);
  std::size_t bytes = 1024;
  for (auto& [id, r] : e.records) {
    if (!r.dirty) continue;
    // (What is replaced comes last, so that what replaces it is durable or in this transaction.)
    if (static_cast<int>(batch.txn.changes.size()) >= limits_.txn_ops) break;
    auto value = r.replaced ? std::nullopt : hooks_.render(job, id);
    const std::size_t size = value ? value->dump().size() + 100 : 100;
    if (bytes + size > kTxnBytes && !batch.txn.changes.empty()) break;
    bytes += size;
    batch.outgrown = batch.outgrown || static_cast<double>(size) > limits_.value_kb * 1024;
    const std::string key = work_key(job, id);
    auto& conditions = batch.txn.conditions;
    conditions.push_back({key, r.version});
    batch.ids.push_back(id);
    batch.present.push_back(value.has_value());
    // No start after a cancellation was answered, whoever answered it; and no record that was
    // cleared with its job comes back by a late copy of its first write (both find version 0).
    if ((r.urgency == Urgency::assignment || r.version == 0) && !batch.has_final_status &&
        !e.ended && (conditions.size() < 2 || conditions[1].key != final_status_key(job)))
      conditions.insert(conditions.begin() + 1, {final_status_key(job), 0});
    batch.urgency = std::min(batch.urgency, r.urgency);
    batch.txn.changes.push_back({key, std::move(value), 0});
    r.dirty = false;
    r.sending = true;
  }
}

void RecordStore::send(const std::string& job, Batch batch) {
  Entry& e = jobs_.at(job);
  e.busy = true;
  const bool doubt = outcome_unknown_.contains(job);
  if (batch.has_final_status) outcome_unknown_.insert(job);
  state::Txn txn = std::move(batch.txn);
  e.urgency = batch.urgency;
  e.sent = batch.ids;
  e.ticket = 0;
  // (One with a final status is never taken back: from when it is sent that is in doubt.)
  const bool keep = batch.has_final_status;
  const auto ticket = state_.txn(
      std::move(txn), e.urgency,
      [this, term = term_, job, batch = std::move(batch), doubt](const state::TxnResult& t) {
        if (term != term_ || !jobs_.contains(job)) return;
        jobs_.at(job).ticket = 0;
        if (t.outcome == Outcome::ok) return on_batch_applied(job, batch, t.revision);
        on_batch_failed(job, batch, doubt, t);
      });
  const auto entry = jobs_.find(job);
  if (!keep && entry != jobs_.end() && entry->second.busy) entry->second.ticket = ticket;
}

void RecordStore::on_batch_failed(const std::string& job, const Batch& batch, bool doubt,
                                  const state::TxnResult& result) {
  Entry& e = jobs_.at(job);
  for (const RecordId& id : batch.ids) e.records[id].mark_unsent();
  if (result.outcome == Outcome::refused || result.outcome == Outcome::invalid) {
    e.busy = false;
    if (!doubt) outcome_unknown_.erase(job);  // this one was certainly not carried out
    if (result.outcome == Outcome::refused) return schedule_flush(job, kRetry);
    spdlog::error("the state service takes no record of {} in this form", job);
    schedule_flush(job, kRetryInvalid);
    if (batch.outgrown) hooks_.rejected();
    return;
  }
  const auto names = [&result](const std::string& key) {
    return std::find(result.failed.begin(), result.failed.end(), key) != result.failed.end();
  };
  if (result.outcome == Outcome::conflict && names(kLeaderKey)) return hooks_.fenced();
  read_back(job, batch.ids, batch.has_final_status || names(final_status_key(job)));
}

void RecordStore::on_batch_applied(const std::string& job, const Batch& batch,
                                   state::Version version) {
  Entry& e = jobs_.at(job);
  e.busy = false;
  std::vector<std::function<void()>> ready;
  for (std::size_t i = 0; i < batch.ids.size(); ++i) {
    Record& r = e.records[batch.ids[i]];
    r.sending = false;
    r.version = batch.present[i] ? version : 0;
    if (batch.present[i]) audit::record_durable(job, batch.ids[i], version);
    // A waiter that came while this was on its way belongs to the next write.
    if (r.dirty) continue;
    r.replaced = false;
    r.move_waiters_to(ready);
  }
  std::function<void(wire::Stage)> ended;
  wire::Stage stage = wire::Stage::done;
  if (batch.has_final_status && e.ending) {
    stage = e.ending->stage;
    audit::final_status(job, stage, version);
    ended = set_ended(job);
  }
  const std::uint64_t term = term_;
  if (ended) ended(stage);
  for (const auto& w : ready)
    if (term == term_) w();
  if (term == term_) flush(job);
}

// Not known, or a version that is not what we thought: read what is there, then go on from it.
void RecordStore::read_back(const std::string& job, std::vector<RecordId> ids,
                            bool with_final_status) {
  const auto current = [this, term = term_, job] { return term == term_ && jobs_.contains(job); };
  const auto again = [this, job, current](std::vector<RecordId> left, bool with_final_status) {
    runtime_.after(kRetry, [this, job, current, left = std::move(left), with_final_status] {
      if (current()) read_back(job, left, with_final_status);
    });
  };
  if (with_final_status) {
    state_.get(final_status_key(job), [this, job, ids, current, again](const state::GetResult& g) {
      if (!current()) return;
      if (g.outcome != Outcome::ok && g.outcome != Outcome::missing) return again(ids, true);
      if (g.outcome == Outcome::ok && !apply_final_status(job, g.item)) return again(ids, true);
      if (current()) read_back(job, ids, false);
    });
    return;
  }
  if (ids.empty()) {
    jobs_.at(job).busy = false;
    return schedule_flush(job, kRetry);
  }
  const RecordId id = ids.back();
  state_.get(work_key(job, id), [this, job, ids, id, current, again](const state::GetResult& g) {
    if (!current()) return;
    if (g.outcome != Outcome::ok && g.outcome != Outcome::missing) return again(ids, false);
    jobs_.at(job).records[id].version = g.outcome == Outcome::ok ? g.item.version : 0;
    auto rest = ids;
    rest.pop_back();
    read_back(job, rest, false);
  });
}

std::function<void(wire::Stage)> RecordStore::set_ended(const std::string& job) {
  Entry& e = jobs_.at(job);
  std::function<void(wire::Stage)> durable;
  if (e.ending) durable = std::move(e.ending->durable);
  e.ending.reset();
  e.ended = true;
  outcome_unknown_.erase(job);
  return durable;
}

// The first final status stands, ours or another's. One that can't be read is neither `done`, by
// which dependents would start, nor `withdrawn`: the outcome stays unknown and the record is read
// again.
bool RecordStore::apply_final_status(const std::string& job, const state::Item& item) {
  if (jobs_.at(job).ended) return true;
  wire::Stage stage = wire::Stage::done;
  try {
    stage = jobs::decode_final_status(item.value).stage;
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}, {} stands still: {}", item.key, job, error.what());
    outcome_unknown_.insert(job);
    return false;
  }
  const std::function<void(wire::Stage)> ended = set_ended(job);
  audit::final_status(job, stage, item.version);
  if (ended)
    ended(stage);
  else
    hooks_.final_status_found(job, stage);
  return true;
}

}  // namespace seampass::leader
