// Messages between controllers as plain structures, and the transport that carries them.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <variant>

#include "wire/types.h"

namespace seampass::rpc {

struct JobAccepted {
  std::string id, record;
  std::uint64_t version = 0;
};

struct JobRequest {
  std::uint64_t number = 0;
  std::string id;
  bool cancel = false;
  std::string record;  // not empty: accept this job
};

enum class Lookup { unavailable, found, not_found };

struct JobReply {
  std::uint64_t number = 0;
  Lookup lookup = Lookup::unavailable;
  wire::JobStatus status;
  bool fresh = false;
};

struct LeaderAnnouncement {
  std::uint64_t epoch = 0, round = 0;
};

// A round that belongs to no election: it is asked only for the version that the answer carries.
inline constexpr std::uint64_t kVersionRound = std::numeric_limits<std::uint64_t>::max();

struct EpochConfirmation {
  std::uint64_t round = 0, epoch = 0;
  std::int64_t up_ms = 0;
};

using Message =
    std::variant<JobAccepted, JobRequest, JobReply, LeaderAnnouncement, EpochConfirmation>;

// Versions of the program that peers tell apart. Each can serve beside the one before it.
using PeerVersion = std::uint16_t;
// Says no version; knows no dependencies between jobs and only the chunk layout of task records.
inline constexpr PeerVersion kVersionUnsaid = 0;
// Knows dependencies, and the segment layout of task records.
inline constexpr PeerVersion kVersionSegments = 1;
inline constexpr PeerVersion kOwnVersion = kVersionSegments;

// A message as it arrives: with the version of the program that sent it.
struct Envelope {
  PeerVersion version = kVersionUnsaid;
  Message message;
};

using Receive = std::function<void(const std::string& from, const Envelope&)>;

class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Best effort, in order while a connection lasts.
  virtual void send(const std::string& node, const Message& message) = 0;
  // The link to a node seems stuck: give its connection up.
  virtual void reset(const std::string& node) = 0;
  virtual void on_receive(Receive receive) = 0;
};

}  // namespace seampass::rpc
