#include "rpc/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <stdexcept>

#include "rpc/peer.capnp.h"

namespace seampass::rpc {
namespace {

// write() has an overload for each type of message. Texts stand in the encoded message in the order
// in which they are set, so this order must not change: the Formats tests compare the bytes.

void write(schema::Envelope::Builder& envelope, const JobAccepted& accepted) {
  auto builder = envelope.initJobAccepted();
  builder.setId(accepted.id);
  builder.setRecord(accepted.record);
  builder.setVersion(accepted.version);
}

void write(schema::Envelope::Builder& envelope, const JobRequest& request) {
  auto builder = envelope.initJobRequest();
  builder.setNumber(request.number);
  builder.setId(request.id);
  builder.setCancel(request.cancel);
  builder.setRecord(request.record);
}

void write(schema::Envelope::Builder& envelope, const JobReply& reply) {
  auto builder = envelope.initJobReply();
  builder.setNumber(reply.number);
  builder.setLookup(static_cast<schema::JobReply::Lookup>(reply.lookup));
  builder.setStage(static_cast<std::uint8_t>(reply.status.stage));
  builder.setDone(reply.status.done);
  builder.setRunning(reply.status.running);
  builder.setFresh(reply.created);
}

void write(schema::Envelope::Builder& envelope, const LeaderAnnouncement& announcement) {
  auto builder = envelope.initLeaderAnnouncement();
  builder.setEpoch(announcement.epoch);
  builder.setRound(announcement.round);
}

void write(schema::Envelope::Builder& envelope, const EpochConfirmation& confirmation) {
  auto builder = envelope.initEpochConfirmation();
  builder.setRound(confirmation.round);
  builder.setEpoch(confirmation.epoch);
  builder.setUpMs(confirmation.up_ms);
}

// read() has an overload for each type of message.

JobAccepted read(const schema::JobAccepted::Reader& reader) {
  return {reader.getId(), reader.getRecord(), reader.getVersion()};
}

JobRequest read(const schema::JobRequest::Reader& reader) {
  return {reader.getNumber(), reader.getId(), reader.getCancel(), reader.getRecord()};
}

JobReply read(const schema::JobReply::Reader& reader) {
  const auto lookup = static_cast<unsigned>(reader.getLookup());
  if (lookup > static_cast<unsigned>(Lookup::not_found) ||
      reader.getStage() > static_cast<unsigned>(wire::Stage::cancelled))
    throw std::runtime_error("job reply from a peer has an unknown lookup result or stage");
  JobReply reply;
  reply.number = reader.getNumber();
  reply.lookup = static_cast<Lookup>(lookup);
  reply.status.stage = static_cast<wire::Stage>(reader.getStage());
  reply.status.done = reader.getDone();
  reply.status.running = reader.getRunning();
  reply.created = reader.getFresh();
  return reply;
}

LeaderAnnouncement read(const schema::LeaderAnnouncement::Reader& reader) {
  return {reader.getEpoch(), reader.getRound()};
}

EpochConfirmation read(const schema::EpochConfirmation::Reader& reader) {
  return {reader.getRound(), reader.getEpoch(), reader.getUpMs()};
}

Message read_message(const schema::Envelope::Reader& envelope) {
  switch (envelope.which()) {
    case schema::Envelope::JOB_ACCEPTED:
      return read(envelope.getJobAccepted());
    case schema::Envelope::JOB_REQUEST:
      return read(envelope.getJobRequest());
    case schema::Envelope::JOB_REPLY:
      return read(envelope.getJobReply());
    case schema::Envelope::LEADER_ANNOUNCEMENT:
      return read(envelope.getLeaderAnnouncement());
    case schema::Envelope::EPOCH_CONFIRMATION:
      return read(envelope.getEpochConfirmation());
  }
  throw std::runtime_error("message from a peer has an unknown type");
}

}  // namespace

std::string encode(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto envelope = builder.initRoot<schema::Envelope>();
  envelope.setVersion(kOwnVersion);
  std::visit([&envelope](const auto& content) { write(envelope, content); }, message);
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

Envelope decode(std::string_view bytes) {
  if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
    throw std::runtime_error("message from a peer is empty or not a whole number of words");
  // Copies the bytes, because Cap'n Proto requires aligned words.
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(words);
    const auto envelope = reader.getRoot<schema::Envelope>();
    return {envelope.getVersion(), read_message(envelope)};
  } catch (const kj::Exception& error) {
    throw std::runtime_error(std::string("malformed message from a peer: ") +
                             error.getDescription().cStr());
  }
}

}  // namespace seampass::rpc
