#include "jobs/job_acceptance.h"

#include <utility>

#include "leader/records/keys.h"

namespace seampass::jobs {

using state::Outcome;

namespace {

state::Txn creation_txn(const std::string& job, const wire::Json& record) {
  state::Txn txn;
  txn.conditions = {{leader::open_key(job), 0}, {leader::final_status_key(job), 0}};
  txn.changes.push_back({leader::open_key(job), record, 0});
  return txn;
}

rpc::JobReply newly_accepted(const std::string& job) {
  rpc::JobReply reply;
  reply.lookup = rpc::Lookup::found;
  reply.status.id = job;
  reply.created = true;
  return reply;
}

}  // namespace

JobAcceptance::JobAcceptance(state::Client& state, leader::Election& election,
                             leader::LeaderTerm& leader_term, JobStatusFinder& finder,
                             LeaderClient& leader_client, rpc::PeerTransport& peers)
    : state_(state),
      election_(election),
      leader_term_(leader_term),
      finder_(finder),
      leader_client_(leader_client),
      peers_(peers) {}

void JobAcceptance::accept(const std::string& job, const wire::Json& record, Forwarding forwarding,
                           const JobReplyHandler& on_reply) {
  Request request{job, record, forwarding, on_reply};
  // The leader may reach the state service even if this node can't.
  if (forwarding == Forwarding::allowed && state_.seems_down() && !election_.leading())
    return forward(request);
  state_.txn(creation_txn(job, record), state::Urgency::final_status,
             [this, request = std::move(request)](const state::TxnResult& result) {
               on_transaction(request, result);
             });
}

void JobAcceptance::on_transaction(const Request& request, const state::TxnResult& result) {
  if (result.outcome == Outcome::conflict)
    return finder_.find(request.job, JobStatusFinder::Purpose::acceptance, request.on_reply);
  // The transaction was not executed, or its outcome is unknown. It is idempotent, so any node may
  // repeat it.
  if (result.outcome != Outcome::ok) return forward(request);
  request.on_reply(newly_accepted(request.job));
  announce(request, result.revision);
}

void JobAcceptance::forward(const Request& request) {
  if (request.forwarding == Forwarding::forbidden || election_.leading())
    return request.on_reply({});
  leader_client_.request_acceptance(request.job, request.record.dump(), request.on_reply);
}

// Tells the leader about the job. The leader would also find it through its watch of the state
// service, but later.
void JobAcceptance::announce(const Request& request, state::Version version) {
  if (election_.leading())
    leader_term_.on_job_accepted(request.job, request.record, version);
  else if (!election_.leader().empty())
    peers_.send(election_.leader(), rpc::JobAccepted{request.job, request.record.dump(), version});
}

}  // namespace seampass::jobs
