#include "jobs/peer_message_handler.h"

#include <optional>
#include <variant>

#include "wire/json_fields.h"

namespace seampass::jobs {

namespace {

std::optional<wire::Json> parse_record(const std::string& text) {
  wire::Json record = wire::Json::parse(text, nullptr, false);
  if (record.is_discarded()) return std::nullopt;
  return record;
}

}  // namespace

PeerMessageHandler::PeerMessageHandler(rpc::PeerTransport& peers, leader::Election& election,
                                       leader::LeaderTerm& leader_term,
                                       leader::ClusterVersion& cluster, JobAcceptance& acceptance,
                                       LeaderClient& leader_client)
    : peers_(peers),
      election_(election),
      leader_term_(leader_term),
      cluster_(cluster),
      acceptance_(acceptance),
      leader_client_(leader_client) {
  peers_.on_receive([this](const std::string& from, const rpc::Envelope& envelope) {
    cluster_.record_peer_version(from, envelope.version);
    std::visit([this, &from](const auto& message) { receive(from, message); }, envelope.message);
  });
}

void PeerMessageHandler::receive(const std::string& /*from*/, const rpc::JobAccepted& accepted) {
  if (!election_.leading()) return;
  if (const auto record = parse_record(accepted.record))
    leader_term_.on_job_accepted(accepted.id, *record, accepted.version);
}

void PeerMessageHandler::receive(const std::string& from, const rpc::JobRequest& request) {
  const auto on_reply = [this, from, number = request.number](rpc::JobReply reply) {
    reply.number = number;
    peers_.send(from, reply);
  };
  if (!election_.leading()) return on_reply({});
  if (request.record.empty())
    return leader_term_.handle_job_request(request.id, leader::kind_of(request), on_reply);
  const auto record = parse_record(request.record);
  if (!record) return on_reply({});
  acceptance_.accept(request.id, *record, Forwarding::forbidden, on_reply);
}

void PeerMessageHandler::receive(const std::string& from, const rpc::JobReply& reply) {
  leader_client_.on_reply(from, reply);
}

void PeerMessageHandler::receive(const std::string& from,
                                 const rpc::LeaderAnnouncement& announcement) {
  election_.on_leader_announced(from, announcement.epoch);
  if (announcement.round == 0) return;  // the sender requests no confirmation
  peers_.send(from, rpc::EpochConfirmation{announcement.round, election_.highest_known_epoch(),
                                           election_.uptime()});
}

void PeerMessageHandler::receive(const std::string& from,
                                 const rpc::EpochConfirmation& confirmation) {
  election_.on_confirmation(from, confirmation);
}

}  // namespace seampass::jobs
