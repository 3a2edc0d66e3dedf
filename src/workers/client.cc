#include "workers/client.h"

namespace seampass::workers {

namespace {

std::optional<wire::Heartbeat> heartbeat_of(const net::Reply& reply) {
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
            if (reply.result == net::Reply::Result::not_sent)
              return done(CommandResult::not_sent, {});
            if (reply.is(200)) return done(CommandResult::executed, heartbeat_of(reply));
            if (reply.is(409)) return done(CommandResult::rejected, heartbeat_of(reply));
            done(CommandResult::unknown, {});
          });
}

void Client::inspect(const std::string& addr, InspectDone done) {
  enqueue({addr, "GET", "/inspect", "", timeout_},
          [done = std::move(done)](const net::Reply& reply) {
            done(reply.is(200) ? heartbeat_of(reply) : std::nullopt);
          });
}

void Client::enqueue(net::Call call, net::ReplyFn done) {
  if (in_flight_ < max_in_flight_) return dispatch(std::move(call), std::move(done));
  queue_.emplace_back(std::move(call), std::move(done));
}

void Client::dispatch(net::Call call, net::ReplyFn done) {
  ++in_flight_;
  http_.call(std::move(call), [this, done = std::move(done)](const net::Reply& reply) {
    --in_flight_;
    if (!queue_.empty()) {
      auto [next_call, next_done] = std::move(queue_.front());
      queue_.pop_front();
      dispatch(std::move(next_call), std::move(next_done));
    }
    done(reply);
  });
}

}  // namespace seampass::workers
