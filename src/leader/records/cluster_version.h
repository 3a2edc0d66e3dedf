// What all controllers are known to read. While an upgrade is under way, the leader writes only
// what the older version reads too. Once every peer has said that it knows segments, or a user has
// asked for what only the new version offers, this is recorded durably and never taken back; from
// then on task records are written as segments, which fit smaller values.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "config/settings.h"
#include "leader/records/record_layout.h"
#include "net/runtime.h"
#include "rpc/peer.h"
#include "state/client.h"

namespace seampass::leader {

class ClusterVersion {
 public:
  struct Hooks {
    std::function<void()> loaded;     // of this term: what is recorded is known
    std::function<void()> finalized;  // of this term: segments may be written
    std::function<void()> fenced;     // another leads
  };

  ClusterVersion(net::Runtime& runtime, state::Client& state,
                 const std::vector<config::Peer>& peers, RecordSpans spans, net::Ms retry);

  // A message of this peer has said its version. Holds in every term: no node goes back.
  void record_peer_version(const std::string& node, rpc::PeerVersion version);
  // Whether this peer may be sent what only new versions know.
  bool knows_segments(const std::string& node) const { return known_.contains(node); }

  // A term of leadership begins: reads the record.
  void start_term(std::uint64_t epoch, Hooks hooks);
  void end_term();
  // Something shows that all controllers are new: no peer need be heard any more.
  void finalize();
  bool finalized() const { return finalized_; }
  const RecordSpans& spans() const { return spans_; }

 private:
  void read();
  void write();
  void try_finalize();
  void read_later();
  void take(const wire::Json& value);

  net::Runtime& runtime_;
  state::Client& state_;
  std::size_t peers_;
  net::Ms retry_;
  RecordSpans own_spans_;
  RecordSpans spans_;
  std::set<std::string> known_;
  std::uint64_t epoch_ = 0;
  std::uint64_t term_ = 0;
  bool loaded_ = false;
  bool wanted_ = false;   // by something other than the peers' word
  bool writing_ = false;  // or read back
  bool finalized_ = false;
  Hooks hooks_;
};

}  // namespace seampass::leader
