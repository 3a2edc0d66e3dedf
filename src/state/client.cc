#include "state/client.h"

#include <utility>

namespace seampass::state {

using net::Ms;
using net::Reply;

namespace {

// A page of a listing is large, so its timeout is this multiple of the ordinary timeout.
constexpr Ms kListTimeoutFactor = 2;

}  // namespace

Client::Client(net::Runtime& runtime, net::HttpCaller& http, std::string endpoint,
               const RequestRates& rates, Ms timeout)
    : http_(http),
      endpoint_(std::move(endpoint)),
      timeout_(timeout),
      queue_(runtime, rates, [this](RequestQueue::Pending pending) { send(std::move(pending)); }) {}

void Client::get(const std::string& key, std::function<void(GetResult)> done, Urgency urgency) {
  submit(urgency, get_request(key), timeout_,
         [done = std::move(done)](const Reply& reply) { done(decode_get(reply)); });
}

void Client::list(const std::string& prefix, const std::string& after,
                  std::function<void(ListResult)> done) {
  submit(Urgency::final_status, list_request(prefix, after), kListTimeoutFactor * timeout_,
         [done = std::move(done)](const Reply& reply) { done(decode_list(reply)); });
}

Client::Ticket Client::txn(Txn txn, Urgency urgency, std::function<void(TxnResult)> done) {
  const int writes = static_cast<int>(txn.changes.size());
  return submit(
      urgency, txn_request(std::move(txn)), timeout_,
      [done = std::move(done)](const Reply& reply) { done(decode_txn(reply)); }, writes);
}

void Client::watch(const std::string& prefix, Version since, Ms wait,
                   std::function<void(WatchResult)> done) {
  submit(Urgency::lease, watch_request(prefix, since, wait), wait + timeout_,
         [done = std::move(done)](const Reply& reply) { done(decode_watch(reply)); });
}

void Client::grant_lease(Ms ttl, std::function<void(LeaseResult)> done) {
  submit(Urgency::lease, grant_lease_request(ttl), timeout_,
         [done = std::move(done)](const Reply& reply) { done(decode_lease(reply)); });
}

void Client::renew_lease(std::uint64_t lease, Ms timeout, std::function<void(Outcome)> done) {
  submit(Urgency::lease, renew_lease_request(lease), timeout,
         [done = std::move(done)](const Reply& reply) { done(outcome_of(reply)); });
}

void Client::revoke_lease(std::uint64_t lease, std::function<void(Outcome)> done) {
  submit(Urgency::lease, revoke_lease_request(lease), timeout_,
         [done = std::move(done)](const Reply& reply) { done(outcome_of(reply)); });
}

Client::Ticket Client::submit(Urgency urgency, Request request, Ms timeout, net::ReplyFn done,
                              int writes) {
  net::Call call{endpoint_, request.method, std::move(request.path), std::move(request.body),
                 timeout};
  return queue_.add(urgency, std::move(call), writes, std::move(done));
}

void Client::send(RequestQueue::Pending pending) {
  ++(pending.kind() == RequestKind::write ? counters_.writes : counters_.reads);
  http_.call(std::move(pending.call), [this, done = std::move(pending.done)](const Reply& reply) {
    on_reply(reply);
    done(reply);
  });
}

void Client::on_reply(const Reply& reply) {
  const bool answered = reply.result == Reply::Result::answered;
  const bool refused = is_refusal(reply);
  consecutive_failures_ = answered && !refused ? 0 : consecutive_failures_ + 1;
  if (refused) ++counters_.refused;
  if (reply.result == Reply::Result::unknown) ++counters_.unknown;
  if (answered) queue_.on_answer(refused ? ServiceAnswer::refused : ServiceAnswer::accepted);
}

}  // namespace seampass::state
