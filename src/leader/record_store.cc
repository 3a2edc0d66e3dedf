#include "leader/record_store.h"

#include <algorithm>

#include "leader/election.h"

namespace seampass::leader {

using state::Outcome;
using state::Urgency;

namespace {
constexpr std::size_t kTxnBytes = 56U << 10;  // of the service's 64 KiB
constexpr net::Ms kRetry = 200;
}  // namespace

std::string open_key(const std::string& job) { return "open/" + job; }
std::string ends_key(const std::string& job) { return "ends/" + job; }
std::string work_key(const std::string& job, std::uint32_t chunk) {
  return "work/" + job + "/" + std::to_string(chunk);
}

RecordStore::RecordStore(net::Runtime& runtime, state::Client& state, int txn_ops, Hooks hooks)
    : runtime_(runtime), state_(state), txn_ops_(txn_ops), hooks_(std::move(hooks)) {}

void RecordStore::begin(std::uint64_t warrant) {
  warrant_ = warrant;
  ++term_;
  jobs_.clear();
}

void RecordStore::found(const std::string& job, std::uint32_t chunk, state::Version version) {
  jobs_[job].records[chunk].version = version;
}

void RecordStore::changed(const std::string& job, std::uint32_t chunk, Urgency urgency,
                          std::function<void()> durable) {
  Record& r = jobs_[job].records[chunk];
  r.urgency = r.dirty ? std::min(r.urgency, urgency) : urgency;
  r.dirty = true;
  if (durable) r.waiters.push_back(std::move(durable));
  flush(job);
}

void RecordStore::end(const std::string& job, state::Version open_version, wire::Stage stage,
                      std::uint64_t done, std::function<void(wire::Stage)> durable) {
  jobs_[job].ending = Ending{open_version, stage, done, std::move(durable)};
  flush(job);
}

bool RecordStore::settled(const std::string& job, std::uint32_t chunk) const {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return true;
  const auto r = j->second.records.find(chunk);
  return r == j->second.records.end() || (!r->second.dirty && !r->second.sending);
}

bool RecordStore::settled(const std::string& job) const {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return true;
  if (j->second.busy || j->second.ending) return false;
  return std::all_of(j->second.records.begin(), j->second.records.end(), [](const auto& r) {
    return !r.second.dirty && !r.second.sending && r.second.version == 0;
  });
}

bool RecordStore::outcome_unknown(const std::string& job) const {
  const auto j = jobs_.find(job);
  return j != jobs_.end() && j->second.doubt && !j->second.ended;
}

std::vector<std::uint32_t> RecordStore::chunks(const std::string& job) const {
  std::vector<std::uint32_t> list;
  const auto j = jobs_.find(job);
  if (j != jobs_.end())
    for (const auto& [chunk, r] : j->second.records)
      if (r.version != 0 || r.dirty || r.sending) list.push_back(chunk);
  return list;
}

void RecordStore::later(const std::string& job) {
  const std::uint64_t term = term_;
  runtime_.after(kRetry, [this, term, job] {
    if (term == term_) flush(job);
  });
}

void RecordStore::flush(const std::string& job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || it->second.busy || warrant_ == 0) return;
  Entry& e = it->second;

  // Records that are neither there nor wanted need no write.
  std::vector<std::function<void()>> idle;
  for (auto& [chunk, r] : e.records) {
    if (!r.dirty || r.version != 0 || hooks_.render(job, chunk)) continue;
    r.dirty = false;
    for (auto& w : r.waiters) idle.push_back(std::move(w));
    r.waiters.clear();
  }
  if (!idle.empty()) {
    const std::uint64_t term = term_;
    for (const auto& w : idle)
      if (term == term_) w();
    return flush(job);
  }

  state::Txn txn;
  // A late transaction of a former leader fails here.
  txn.conditions.push_back({Election::kKey, warrant_});
  Urgency urgency = Urgency::progress;
  const bool verdict = e.ending.has_value();
  if (verdict) {
    urgency = Urgency::verdict;
    txn.conditions.push_back({ends_key(job), 0});
    txn.conditions.push_back({open_key(job), e.ending->open_version});
    txn.changes.push_back(
        {ends_key(job),
         wire::Json{{"stage", wire::stage_name(e.ending->stage)}, {"done", e.ending->done}}, 0});
    txn.changes.push_back({open_key(job), std::nullopt, 0});
  }
  std::vector<std::uint32_t> chunks;
  std::vector<bool> present;
  std::size_t bytes = 1024;
  for (auto& [chunk, r] : e.records) {
    if (!r.dirty) continue;
    if (static_cast<int>(txn.changes.size()) >= txn_ops_) break;
    auto value = hooks_.render(job, chunk);
    const std::size_t size = value ? value->dump().size() + 100 : 100;
    if (bytes + size > kTxnBytes && !txn.changes.empty()) break;
    bytes += size;
    const std::string key = work_key(job, chunk);
    txn.conditions.push_back({key, r.version});
    chunks.push_back(chunk);
    present.push_back(value.has_value());
    // No start after a cancellation was answered, whoever answered it; and no record that was
    // cleared with its job comes back by a late copy of its first write (both find version 0).
    if ((r.urgency == Urgency::assignment || r.version == 0) && !verdict && !e.ended &&
        (txn.conditions.size() < 2 || txn.conditions[1].key != ends_key(job)))
      txn.conditions.insert(txn.conditions.begin() + 1, {ends_key(job), 0});
    urgency = std::min(urgency, r.urgency);
    txn.changes.push_back({key, std::move(value), 0});
    r.dirty = false;
    r.sending = true;
  }
  if (txn.changes.empty()) return;
  e.busy = true;
  const bool doubt = e.doubt;
  e.doubt = doubt || verdict;
  const std::uint64_t term = term_;
  state_.txn(std::move(txn), urgency,
             [this, term, job, chunks, present, verdict, doubt](const state::TxnResult& t) {
               if (term != term_) return;
               const auto found = jobs_.find(job);
               if (found == jobs_.end()) return;
               Entry& entry = found->second;
               if (t.outcome == Outcome::ok)
                 return applied(job, chunks, present, t.revision, verdict);
               for (const std::uint32_t c : chunks) {
                 entry.records[c].sending = false;
                 entry.records[c].dirty = true;
               }
               if (t.outcome == Outcome::refused) {
                 entry.busy = false;
                 entry.doubt = doubt;  // this one was certainly not carried out
                 return later(job);
               }
               if (t.outcome == Outcome::conflict &&
                   std::find(t.failed.begin(), t.failed.end(), Election::kKey) != t.failed.end())
                 return hooks_.fenced();
               const bool over =
                   std::find(t.failed.begin(), t.failed.end(), ends_key(job)) != t.failed.end();
               read_back(job, chunks, verdict || over);
             });
}

void RecordStore::applied(const std::string& job, const std::vector<std::uint32_t>& chunks,
                          const std::vector<bool>& present, state::Version version,
                          bool with_verdict) {
  Entry& e = jobs_.at(job);
  e.busy = false;
  std::vector<std::function<void()>> ready;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    Record& r = e.records[chunks[i]];
    r.sending = false;
    r.version = present[i] ? version : 0;
    // A waiter that came while this was on its way belongs to the next write.
    if (r.dirty) continue;
    for (auto& w : r.waiters) ready.push_back(std::move(w));
    r.waiters.clear();
  }
  std::function<void(wire::Stage)> ended;
  wire::Stage stage = wire::Stage::done;
  if (with_verdict && e.ending) {
    ended = std::move(e.ending->durable);
    stage = e.ending->stage;
    e.ending.reset();
    e.ended = true;
  }
  const std::uint64_t term = term_;
  if (ended) ended(stage);
  for (const auto& w : ready)
    if (term == term_) w();
  if (term == term_) flush(job);
}

// Not known, or a version that is not what we thought: read what is there, then go on from it.
void RecordStore::read_back(const std::string& job, std::vector<std::uint32_t> chunks,
                            bool verdict) {
  const std::uint64_t term = term_;
  if (verdict) {
    state_.get(ends_key(job), [this, term, job, chunks](const state::GetResult& g) {
      if (term != term_ || !jobs_.contains(job)) return;
      if (g.outcome != Outcome::ok && g.outcome != Outcome::missing) {
        runtime_.after(kRetry, [this, term, job, chunks] {
          if (term == term_ && jobs_.contains(job)) read_back(job, chunks, true);
        });
        return;
      }
      Entry& e = jobs_.at(job);
      if (g.outcome == Outcome::ok && !e.ended) {
        // The first verdict stands, ours or another's.
        std::function<void(wire::Stage)> ended;
        if (e.ending) ended = std::move(e.ending->durable);
        e.ending.reset();
        e.ended = true;
        const auto& v = g.item.value;
        wire::Stage stage = wire::Stage::done;
        try {
          stage = wire::stage_from(wire::text_field(v, "stage"));
        } catch (const wire::Malformed&) {
          stage = wire::Stage::done;
        }
        if (ended)
          ended(stage);
        else
          hooks_.ended(job, stage);
        if (term != term_ || !jobs_.contains(job)) return;
      }
      read_back(job, chunks, false);
    });
    return;
  }
  if (chunks.empty()) {
    jobs_.at(job).busy = false;
    return later(job);
  }
  const std::uint32_t chunk = chunks.back();
  state_.get(work_key(job, chunk), [this, term, job, chunks, chunk](const state::GetResult& g) {
    if (term != term_ || !jobs_.contains(job)) return;
    auto rest = chunks;
    if (g.outcome == Outcome::ok || g.outcome == Outcome::missing) {
      jobs_.at(job).records[chunk].version = g.outcome == Outcome::ok ? g.item.version : 0;
      rest.pop_back();
      return read_back(job, rest, false);
    }
    runtime_.after(kRetry, [this, term, job, rest] {
      if (term == term_ && jobs_.contains(job)) read_back(job, rest, false);
    });
  });
}

}  // namespace seampass::leader
