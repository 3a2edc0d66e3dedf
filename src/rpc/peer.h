// The messages between controllers as plain structures, and the interface of what carries them.
//
// Every message goes one way and may be lost; a reply repeats the number of its request. Their
// encoding is that of peer.capnp (peer_codec.h).
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <variant>

#include "wire/types.h"

namespace seampass::rpc {

// To the leader: the sender has accepted a job, which is in the state service.
struct JobAccepted {
  std::string id;
  std::string record;         // the value of the job's key
  std::uint64_t version = 0;  // of that key
};

// To the leader: a user's status query, cancellation or (with a record) a submission that the
// sender could not write itself.
struct JobRequest {
  std::uint64_t number = 0;  // chosen by the sender, which knows the reply by it
  std::string id;
  bool cancel = false;
  std::string record;  // not empty: accept this job
};

// What a leader knows of a job. Its order is that of the schema's enum.
enum class Lookup {
  unavailable,  // the node does not lead, or can't tell now
  found,
  not_found  // no such job: a read of the state service said so
};

// The answer to a JobRequest.
struct JobReply {
  std::uint64_t number = 0;
  Lookup lookup = Lookup::unavailable;
  wire::JobStatus status;  // without the job's id, which is not sent
  bool fresh = false;      // the submission created the job
};

// The sender leads with this epoch. A node that the state service does not answer learns it from
// this message alone.
struct LeaderAnnouncement {
  std::uint64_t epoch = 0;
  std::uint64_t round = 0;  // not 0: an EpochConfirmation is requested
};

// A round that belongs to no election: it is asked only for the version that the answer carries.
inline constexpr std::uint64_t kVersionRound = std::numeric_limits<std::uint64_t>::max();

// The answer to a LeaderAnnouncement with a round.
struct EpochConfirmation {
  std::uint64_t round = 0;
  std::uint64_t epoch = 0;  // the highest that the sender knows any node to have led with
  std::int64_t up_ms = 0;   // for how long the sender's process has been up
};

using Message =
    std::variant<JobAccepted, JobRequest, JobReply, LeaderAnnouncement, EpochConfirmation>;

// Versions of the program that peers tell apart. Each can serve beside the one before it.
using PeerVersion = std::uint16_t;
// States no version; knows no dependencies between jobs and only the chunk layout of task records.
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

// Carries messages to the other controllers, which it knows by their nodes' names.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Best effort, in order while a connection lasts. Nothing is sent to an unknown node.
  virtual void send(const std::string& node, const Message& message) = 0;
  // Closes the connection to a node that seems stuck; the next message opens another.
  virtual void reset(const std::string& node) = 0;
  // What is called with each message that arrives, from then on.
  virtual void on_receive(Receive receive) = 0;
};

}  // namespace seampass::rpc
