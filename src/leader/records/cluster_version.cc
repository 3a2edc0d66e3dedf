#include "leader/records/cluster_version.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "leader/records/keys.h"

namespace seampass::leader {

using state::Outcome;
using wire::Json;

ClusterVersion::ClusterVersion(net::Runtime& runtime, state::Client& state,
                               const std::vector<config::Peer>& peers, RecordSpans spans,
                               net::Ms retry_pause)
    : runtime_(runtime),
      state_(state),
      peer_count_(peers.size()),
      retry_pause_(retry_pause),
      configured_spans_(spans),
      spans_(spans) {}

void ClusterVersion::record_peer_version(const std::string& node, rpc::PeerVersion version) {
  if (version < rpc::kVersionSegments || !upgraded_peers_.insert(node).second) return;
  finalize_if_ready();
}

void ClusterVersion::start_term(std::uint64_t epoch, Callbacks callbacks) {
  end_term();
  epoch_ = epoch;
  callbacks_ = std::move(callbacks);
  read();
}

void ClusterVersion::end_term() {
  scope_.renew();
  phase_ = Phase::unread;
  finalize_requested_ = false;
  spans_ = configured_spans_;
}

void ClusterVersion::finalize() {
  finalize_requested_ = true;
  finalize_if_ready();
}

void ClusterVersion::read() {
  state_.get(kClusterKey, scope_.wrap([this](const state::GetResult& result) {
    if (result.outcome == Outcome::ok) return apply_record(result.item.value);
    if (result.outcome == Outcome::missing) return on_record_absent();
    schedule_read();
  }));
}

void ClusterVersion::schedule_read() {
  runtime_.after(retry_pause_, scope_.wrap([this] { read(); }));
}

// An unreadable record does not count as an absent one, because the controller that wrote it may
// use a layout that this version does not know. The record is read again until it can be decoded.
void ClusterVersion::apply_record(const Json& value) {
  RecordSpans recorded;
  try {
    recorded.segment = static_cast<std::uint32_t>(wire::count_field(value, "segment_tasks"));
    recorded.chunk = static_cast<std::uint32_t>(wire::count_field(value, "chunk_tasks"));
  } catch (const wire::Malformed& error) {
    spdlog::error("unreadable record {}: {}", kClusterKey, error.what());
  }
  if (recorded.segment == 0 || recorded.chunk == 0) return schedule_read();
  spans_ = recorded;
  const bool first_read = phase_ == Phase::unread;
  phase_ = Phase::finalized;
  const auto term = scope_.period();
  callbacks_.on_finalized();
  if (first_read && term.current()) callbacks_.on_loaded();
}

void ClusterVersion::on_record_absent() {
  const bool first_read = phase_ == Phase::unread;
  phase_ = Phase::absent;
  const auto term = scope_.period();
  if (first_read) callbacks_.on_loaded();
  if (term.current()) finalize_if_ready();
}

void ClusterVersion::finalize_if_ready() {
  if (phase_ != Phase::absent) return;
  if (!finalize_requested_ && upgraded_peers_.size() < peer_count_) return;
  write();
}

void ClusterVersion::write() {
  phase_ = Phase::writing;
  const Json value{{"version", rpc::kVersionSegments},
                   {"segment_tasks", configured_spans_.segment},
                   {"chunk_tasks", configured_spans_.chunk}};
  state::Txn txn;
  txn.conditions = {{kLeaderKey, epoch_}, {kClusterKey, 0}};
  txn.changes.push_back({kClusterKey, value, 0});
  state_.txn(std::move(txn), state::Urgency::final_status,
             scope_.wrap([this, value](const state::TxnResult& result) {
               if (result.outcome == Outcome::ok) {
                 spdlog::info("all controllers read segments of task records");
                 return apply_record(value);
               }
               if (result.outcome == Outcome::conflict && result.failed_on(kLeaderKey))
                 return callbacks_.on_fenced();
               // Either the outcome of the write is unknown, or another controller has created the
               // record. Reading the record again resolves both cases.
               schedule_read();
             }));
}

}  // namespace seampass::leader
