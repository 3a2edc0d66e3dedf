// The messages between controllers as plain structures, and PeerTransport, the interface that
// carries them.
//
// Every message goes one way and may be lost. A JobReply repeats the number of its JobRequest, and
// an EpochConfirmation the round of its LeaderAnnouncement. peer.capnp defines the encoding, and
// peer_codec.h implements it.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <variant>

#include "wire/types.h"

namespace seampass::rpc {

// Tells the leader that the sender has accepted a job, whose record is in the state service.
struct JobAccepted {
  std::string id;
  std::string record;         // the value of the job's key
  std::uint64_t version = 0;  // of that key
};

// Asks the leader to answer a user's status query, to cancel a job or (with a record) to accept a
// submission that the sender could not write to the state service itself.
struct JobRequest {
  std::uint64_t number = 0;  // chosen by the sender, which uses it to match the reply
  std::string id;
  bool cancel = false;
  std::string record;  // not empty: the leader is asked to accept this job
};

// The result of a leader's search for a job. The enumerators stand in the order of the enum in
// peer.capnp, because the codec converts them by value.
enum class Lookup {
  unavailable,  // the node does not lead, or cannot answer now
  found,
  not_found  // a read of the state service has shown that no such job exists
};

// The leader's answer to a JobRequest.
struct JobReply {
  std::uint64_t number = 0;
  Lookup lookup = Lookup::unavailable;
  wire::JobStatus status;  // its id is empty, since the id is not sent
  bool created = false;    // the submission created the job, which did not exist before
};

// Announces that the sender leads with this epoch. A node that gets no answer from the state
// service learns of a leader only from this message.
struct LeaderAnnouncement {
  std::uint64_t epoch = 0;
  std::uint64_t round = 0;  // not 0: the receiver answers with an EpochConfirmation
};

// The round of an announcement that asks only for the version of the peer's program, which the
// answer's Envelope states. The election never uses this number for a round of its own.
inline constexpr std::uint64_t kVersionRound = std::numeric_limits<std::uint64_t>::max();

// The answer to a LeaderAnnouncement with a round.
struct EpochConfirmation {
  std::uint64_t round = 0;
  std::uint64_t epoch = 0;  // the highest epoch of any leader that the sender knows of
  std::int64_t up_ms = 0;   // ms since the sender's process started
};

using Message =
    std::variant<JobAccepted, JobRequest, JobReply, LeaderAnnouncement, EpochConfirmation>;

// The version of a controller's program, as far as its peers have to distinguish it. Controllers of
// consecutive versions can run side by side.
using PeerVersion = std::uint16_t;
// A program that states no version. It supports no dependencies between jobs, and only the chunk
// layout of task records.
inline constexpr PeerVersion kVersionUnstated = 0;
// Supports dependencies between jobs, and the segment layout of task records.
inline constexpr PeerVersion kVersionSegments = 1;
inline constexpr PeerVersion kOwnVersion = kVersionSegments;

// A received message, with the version of the program that sent it.
struct Envelope {
  PeerVersion version = kVersionUnstated;
  Message message;
};

// Handles a received message; `from` is the name of the node that sent it.
using MessageHandler = std::function<void(const std::string& from, const Envelope&)>;

// Carries messages between this controller and the others, which it addresses by their node names.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;
  // Sends a message without a guarantee that it arrives. Messages arrive in order while a
  // connection lasts. A message to an unknown node is discarded.
  virtual void send(const std::string& node, const Message& message) = 0;
  // Closes the connection to a node that seems stuck. A later message opens a new connection.
  virtual void reset(const std::string& node) = 0;
  // Sets the handler that is called with each message that arrives from then on.
  virtual void on_receive(MessageHandler handler) = 0;
};

}  // namespace seampass::rpc
