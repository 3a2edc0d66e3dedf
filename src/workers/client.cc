#include "workers/client.h"

namespace seampass::workers {

void Client::send(const std::string& addr, std::uint64_t token, std::uint64_t session,
                  const std::vector<wire::Command>& commands,
                  std::function<void(Sent, std::optional<wire::WorkerReport>)> done) {
  http_.call(
      net::Call{addr, "POST", "/commands", wire::commands_body(token, session, commands), timeout_},
      [done = std::move(done)](const net::Reply& r) {
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
