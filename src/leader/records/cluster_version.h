// What all controllers are known to read. While an upgrade is under way, the leader writes only
// what the older version reads too. Once every peer has said that it knows segments, or a user has
// asked for what only the new version offers, this is recorded durably (key `cluster`) and never
// taken back: the cluster version is finalized. From then on task records are written as segments,
// which fit smaller values.
//
// Owns the record and what peers have said of their versions. The Controller calls it within a
// term, the peers' link at any time; all on the loop's thread.
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
    std::function<void()> on_loaded;     // once a term: what is recorded is known
    std::function<void()> on_finalized;  // at most once a term: segments may be written
    std::function<void()> on_fenced;     // another leads
  };

  // `spans`: those of this node's settings, recorded if it finalizes. `retry`: ms between two
  // reads.
  ClusterVersion(net::Runtime& runtime, state::Client& state,
                 const std::vector<config::Peer>& peers, RecordSpans spans, net::Ms retry);

  // A message of this peer has said its version. Holds in every term: no node goes back.
  void record_peer_version(const std::string& node, rpc::PeerVersion version);
  // Whether this peer may be sent what only new versions know.
  [[nodiscard]] bool knows_segments(const std::string& node) const {
    return upgraded_peers_.contains(node);
  }

  // A term of leadership begins: reads the record.
  void start_term(std::uint64_t epoch, Callbacks callbacks);
  void end_term();
  // Something shows that all controllers are new: what the peers say is not waited for any more.
  void finalize();
  [[nodiscard]] bool finalized() const { return phase_ == Phase::finalized; }
  // Those that are recorded, once that is known; this node's own until then.
  [[nodiscard]] const RecordSpans& spans() const { return spans_; }

 private:
  enum class Phase {
    unread,     // of this term
    absent,     // the record was not there
    writing,    // it is being written, or read back since the outcome is not known
    finalized,  // it is there
  };

  void read();
  void read_later();
  void apply_record(const wire::Json& value);
  void on_absent();
  void try_finalize();
  void write();

  net::Runtime& runtime_;
  state::Client& state_;
  std::size_t peers_;
  net::Ms retry_;
  RecordSpans own_spans_;
  RecordSpans spans_;
  std::set<std::string> upgraded_peers_;
  std::uint64_t epoch_ = 0;
  Phase phase_ = Phase::unread;
  bool finalize_requested_ = false;  // by something other than what the peers say
  Callbacks callbacks_;
  net::CallbackScope scope_;  // of the term
};

}  // namespace seampass::leader
