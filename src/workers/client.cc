#include "workers/client.h"

namespace seampass::workers {

namespace {

std::optional<wire::Heartbeat> report_of(const net::Reply& reply) {
  try {
    return wire::heartbeat_from(reply.body);
  } catch (const wire::Malformed&) {
    return std::nullopt;
  }
}

}  // namespace

void Client::send(const std::string& addr, std::uint64_t token, std::uint64_t incarnation,
                  const std::vector<wire::Command>& commands, Done done) {
  enqueue({addr, "POST", "/commands", wire::commands_body(token, incarnation, commands), timeout_},
          [done = std::move(done)](const net::Reply& reply) {
            if (reply.fate == net::Reply::Fate::not_sent) return done(Sent::not_sent, {});
            if (reply.is(200)) return done(Sent::executed, report_of(reply));
            if (reply.is(409)) return done(Sent::rejected, report_of(reply));
            done(Sent::unknown, {});
          });
}

void Client::inspect(const std::string& addr, Inspected done) {
  enqueue({addr, "GET", "/inspect", "", timeout_},
          [done = std::move(done)](const net::Reply& reply) {
            done(reply.is(200) ? report_of(reply) : std::nullopt);
          });
}

void Client::enqueue(net::Call call, net::ReplyFn done) {
  if (sent_ < most_) return dispatch(std::move(call), std::move(done));
  queue_.emplace_back(std::move(call), std::move(done));
}

void Client::dispatch(net::Call call, net::ReplyFn done) {
  ++sent_;
  http_.call(std::move(call), [this, done = std::move(done)](const net::Reply& reply) {
    --sent_;
    if (!queue_.empty()) {
      auto [next, then] = std::move(queue_.front());
      queue_.pop_front();
      dispatch(std::move(next), std::move(then));
    }
    done(reply);
  });
}

}  // namespace seampass::workers
