#include "jobs/job_acceptance.h"

#include <utility>

#include "leader/records/keys.h"

namespace seampass::jobs {

using state::Outcome;

namespace {

state::Txn creation(const std::string& job, const wire::Json& record) {
  state::Txn txn;
  txn.conditions = {{leader::open_key(job), 0}, {leader::final_status_key(job), 0}};
  txn.changes.push_back({leader::open_key(job), record, 0});
  return txn;
}

rpc::JobReply accepted(const std::string& job) {
  rpc::JobReply reply;
  reply.lookup = rpc::Lookup::found;
  reply.status.id = job;
  reply.fresh = true;
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
  // The leader's way to the store may be open where this node's is not.
  if (forwarding == Forwarding::allowed && state_.seems_down() && !election_.leading())
    return forward(request);
  state_.txn(creation(job, record), state::Urgency::final_status,
             [this, request = std::move(request)](const state::TxnResult& result) {
               on_transaction(request, result);
             });
}

void JobAcceptance::on_transaction(const Request& request, const state::TxnResult& result) {
  if (result.outcome == Outcome::conflict)
    return finder_.find(request.job, JobStatusFinder::Purpose::acceptance, request.on_reply);
  // Not known, or not done: the transaction can be tried again from anywhere.
  if (result.outcome != Outcome::ok) return forward(request);
  request.on_reply(accepted(request.job));
  announce(request, result.revision);
}

void JobAcceptance::forward(const Request& request) {
  if (request.forwarding == Forwarding::forbidden || election_.leading())
    return request.on_reply({});
  leader_client_.request_acceptance(request.job, request.record.dump(), request.on_reply);
}

// The leader would find the job by its watch of the store as well, only later.
void JobAcceptance::announce(const Request& request, state::Version version) {
  if (election_.leading())
    leader_term_.on_job_accepted(request.job, request.record, version);
  else if (!election_.leader().empty())
    peers_.send(election_.leader(), rpc::JobAccepted{request.job, request.record.dump(), version});
}

}  // namespace seampass::jobs
