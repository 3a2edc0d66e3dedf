#include "leader/records/cluster_version.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;
using wire::Json;

ClusterVersion::ClusterVersion(net::Runtime& runtime, state::Client& state,
                               const std::vector<config::Peer>& peers, RecordSpans spans,
                               net::Ms retry)
    : runtime_(runtime),
      state_(state),
      peers_(peers.size()),
      retry_(retry),
      own_spans_(spans),
      spans_(spans) {}

void ClusterVersion::record_peer_version(const std::string& node, rpc::PeerVersion version) {
  if (version < rpc::kVersionSegments || !known_.insert(node).second) return;
  try_finalize();
}

void ClusterVersion::start_term(std::uint64_t epoch, Hooks hooks) {
  end_term();
  epoch_ = epoch;
  hooks_ = std::move(hooks);
  read();
}

void ClusterVersion::end_term() {
  ++term_;
  loaded_ = wanted_ = writing_ = finalized_ = false;
  spans_ = own_spans_;
}

void ClusterVersion::finalize() {
  wanted_ = true;
  try_finalize();
}

void ClusterVersion::read_later() {
  runtime_.after(retry_, [this, term = term_] {
    if (term == term_) read();
  });
}

// An unreadable record is not taken for none: whoever wrote it may use a layout that is not known
// here. It is read again until it makes sense.
void ClusterVersion::take(const Json& value) {
  RecordSpans recorded;
  try {
    recorded.segment = static_cast<std::uint32_t>(wire::count_field(value, "segment_tasks"));
    recorded.chunk = static_cast<std::uint32_t>(wire::count_field(value, "chunk_tasks"));
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}: {}", kClusterKey, error.what());
  }
  if (recorded.segment == 0 || recorded.chunk == 0) return read_later();
  writing_ = false;
  spans_ = recorded;
  finalized_ = true;
  const bool first = !std::exchange(loaded_, true);
  const std::uint64_t term = term_;
  hooks_.finalized();
  if (first && term == term_) hooks_.loaded();
}

void ClusterVersion::read() {
  state_.get(kClusterKey, [this, term = term_](const state::GetResult& result) {
    if (term != term_) return;
    if (result.outcome == Outcome::ok) return take(result.item.value);
    if (result.outcome != Outcome::missing) return read_later();
    writing_ = false;
    if (!std::exchange(loaded_, true)) hooks_.loaded();
    if (term == term_) try_finalize();
  });
}

void ClusterVersion::try_finalize() {
  if (!loaded_ || finalized_ || writing_) return;
  if (!wanted_ && known_.size() < peers_) return;
  write();
}

void ClusterVersion::write() {
  writing_ = true;
  const Json value{{"version", rpc::kVersionSegments},
                   {"segment_tasks", own_spans_.segment},
                   {"chunk_tasks", own_spans_.chunk}};
  state::Txn txn;
  txn.conditions = {{kLeaderKey, epoch_}, {kClusterKey, 0}};
  txn.changes.push_back({kClusterKey, value, 0});
  state_.txn(std::move(txn), state::Urgency::final_status,
             [this, term = term_, value](const state::TxnResult& result) {
               if (term != term_) return;
               if (result.outcome == Outcome::ok) {
                 spdlog::info("all controllers read segments of task records");
                 return take(value);
               }
               const auto& failed = result.failed;
               if (result.outcome == Outcome::conflict &&
                   std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end())
                 return hooks_.fenced();
               // Whether it was written is not known, or another's record is there.
               read_later();
             });
}

}  // namespace seampass::leader
