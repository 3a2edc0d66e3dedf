// ClusterVersion tracks which record layout all controllers can read.
//
// During a rolling upgrade the leader writes only layouts that the older version can read too. The
// cluster version is finalized once every peer has reported a version that reads segments, or once
// a user has requested a feature that only the new version offers. The leader records this durably
// under the key `cluster`, and no controller ever deletes that record. From then on the leader
// writes task records as segments, which fit into smaller values.
//
// ClusterVersion owns the `cluster` record and the versions that the peers have reported.
// LeaderTerm and its parts call it during a term of leadership; the handler of peer messages calls
// it at any time. All calls are made on the event loop's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/records/record_layout.h"
#include "net/callback_scope.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"

namespace seampass::leader {

class ClusterVersion {
 public:
  struct Callbacks {
    std::function<void()> on_loaded;     // once per term: the record, or its absence, is now known
    std::function<void()> on_finalized;  // at most once per term: segments may now be written
    std::function<void()> on_fenced;     // another controller has become the leader
  };

  // `spans` come from this node's settings; this node records them if it finalizes the cluster
  // version. `retry_pause` is the time in ms between two reads of the record.
  ClusterVersion(net::Runtime& runtime, state::Client& state,
                 const std::vector<config::Peer>& peers, RecordSpans spans, net::Ms retry_pause);

  // Stores the version that a message from this peer has reported. The version stays valid in later
  // terms, because no node is downgraded.
  void record_peer_version(const std::string& node, rpc::PeerVersion version);
  // Returns true if the peer runs a version that reads segments. Such a peer may also be sent
  // messages that only this version and later ones understand.
  [[nodiscard]] bool reads_segments(const std::string& node) const {
    return upgraded_peers_.contains(node);
  }

  // Starts a term of leadership and reads the record.
  void start_term(std::uint64_t epoch, Callbacks callbacks);
  void end_term();
  // Finalizes the cluster version without waiting for the versions of the remaining peers. The
  // caller has other evidence that all controllers run the new version.
  void finalize();
  [[nodiscard]] bool finalized() const { return phase_ == Phase::finalized; }
  // Returns the spans of the durable record once it is read or written, and this node's configured
  // spans before that.
  [[nodiscard]] const RecordSpans& spans() const { return spans_; }

 private:
  enum class Phase {
    unread,     // the record has not been read in this term
    absent,     // the record did not exist when it was read
    writing,    // the record is being written, or read back because the outcome is unknown
    finalized,  // the record exists
  };

  void read();
  void schedule_read();
  void apply_record(const wire::Json& value);
  void on_record_absent();
  void finalize_if_ready();
  void write();

  net::Runtime& runtime_;
  state::Client& state_;
  std::size_t peer_count_;
  net::Ms retry_pause_;
  RecordSpans configured_spans_;
  RecordSpans spans_;
  std::set<std::string> upgraded_peers_;
  std::uint64_t epoch_ = 0;
  Phase phase_ = Phase::unread;
  bool finalize_requested_ = false;  // finalize() was called in this term
  Callbacks callbacks_;
  net::CallbackScope scope_;  // drops the callbacks of earlier terms
};

}  // namespace seampass::leader
