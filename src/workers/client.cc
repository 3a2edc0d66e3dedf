#include "workers/client.h"

namespace seampass::workers {

void Client::send(const std::string& addr, std::uint64_t token, std::uint64_t session,
                  const std::vector<wire::Command>& commands, Done done) {
  net::Call call{addr, "POST", "/commands", wire::commands_body(token, session, commands),
                 timeout_};
  if (sent_ < most_) return dispatch(std::move(call), std::move(done));
  queue_.emplace_back(std::move(call), std::move(done));
}

void Client::dispatch(net::Call call, Done done) {
  ++sent_;
  http_.call(std::move(call), [this, done = std::move(done)](const net::Reply& r) {
    --sent_;
    if (!queue_.empty()) {
      auto [next, then] = std::move(queue_.front());
      queue_.pop_front();
      dispatch(std::move(next), std::move(then));
    }
    if (r.fate == net::Reply::Fate::not_sent) return done(Sent::not_sent, {});
    if (!r.is(200) && !r.is(409)) return done(Sent::unknown, {});
    std::optional<wire::WorkerReport> report;
    try {
      report = wire::report_from(r.body);
    } catch (const wire::Malformed&) {
      report.reset();
    }
    done(r.is(200) ? Sent::executed : Sent::rejected, std::move(report));
  });
}

}  // namespace seampass::workers
