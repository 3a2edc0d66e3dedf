#include "jobs/leader_client.h"

#include <random>
#include <utility>

namespace seampass::jobs {

using net::Ms;

namespace {

constexpr std::size_t kMaxPending = 2000;

}  // namespace

LeaderClient::LeaderClient(net::Runtime& runtime, leader::Election& election,
                           leader::LeaderTerm& leader_term, JobStatusReader& status_reader,
                           rpc::PeerTransport& peers, const config::Settings& settings)
    : runtime_(runtime),
      election_(election),
      leader_term_(leader_term),
      status_reader_(status_reader),
      peers_(peers),
      timeout_(net::ms(settings.heartbeat_interval_s / 5)),
      cancellation_timeout_(net::ms(settings.heartbeat_interval_s)) {}

std::uint64_t LeaderClient::random_first_number() {
  constexpr std::uint64_t max_first_number = std::uint64_t{1} << 62;
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1, max_first_number)(device);
}

void LeaderClient::request_status(const std::string& job, JobReplyHandler on_reply) {
  rpc::JobRequest status;
  status.id = job;
  request(std::move(status), timeout_, std::move(on_reply));
}

void LeaderClient::request_cancellation(const std::string& job, JobReplyHandler on_reply) {
  rpc::JobRequest cancellation;
  cancellation.id = job;
  cancellation.cancel = true;
  request(std::move(cancellation), cancellation_timeout_, std::move(on_reply));
}

void LeaderClient::request_acceptance(const std::string& job, std::string record,
                                      JobReplyHandler on_reply) {
  rpc::JobRequest acceptance;
  acceptance.id = job;
  acceptance.record = std::move(record);
  request(std::move(acceptance), timeout_, std::move(on_reply));
}

void LeaderClient::request(rpc::JobRequest request, Ms timeout, JobReplyHandler on_reply) {
  if (election_.leading())
    return leader_term_.handle_job_request(request.id, leader::kind_of(request),
                                           std::move(on_reply));
  const std::string leader = election_.leader();
  if (leader.empty() || pending_.size() >= kMaxPending) return on_reply({});
  const std::uint64_t number = next_number_++;
  request.number = number;
  PendingRequest& pending = pending_[number];
  pending.job = request.id;
  pending.node = leader;
  pending.on_reply = std::move(on_reply);
  pending.timer = runtime_.after(timeout, [this, number] { on_timeout(number); });
  peers_.send(leader, request);
}

// The connection to a node that does not reply before the timeout may be stuck. It is closed, so
// that the next request opens a new one.
void LeaderClient::on_timeout(std::uint64_t number) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) return;
  const PendingRequest timed_out = std::move(found->second);
  pending_.erase(found);
  peers_.reset(timed_out.node);
  timed_out.on_reply({});
}

void LeaderClient::on_reply(const std::string& from, const rpc::JobReply& reply) {
  const auto found = pending_.find(reply.number);
  if (found == pending_.end() || found->second.node != from) return;
  const PendingRequest answered = std::move(found->second);
  pending_.erase(found);
  runtime_.cancel(answered.timer);
  rpc::JobReply complete = reply;
  complete.status.id = answered.job;  // a reply carries the request's number, not the job id
  remember_if_final(complete);
  answered.on_reply(complete);
}

void LeaderClient::remember_if_final(const rpc::JobReply& reply) {
  if (reply.lookup != rpc::Lookup::found) return;
  if (reply.status.stage == wire::Stage::done)
    status_reader_.remember(reply.status, JobStatusReader::Source::written);
  // The leader may have derived the cancellation from that of a dependency, before the job's own
  // final status is written.
  if (reply.status.stage == wire::Stage::cancelled)
    status_reader_.remember(reply.status, JobStatusReader::Source::derived);
}

}  // namespace seampass::jobs
