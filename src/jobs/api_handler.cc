#include "jobs/api_handler.h"

#include <optional>
#include <string_view>
#include <utility>

#include "jobs/http_answers.h"
#include "wire/user_codec.h"
#include "wire/worker_codec.h"

namespace seampass::jobs {

using net::Answer;

namespace {

constexpr std::string_view kHeartbeatPath = "/checkin";
constexpr std::string_view kHealthPath = "/up";
constexpr std::string_view kJobsPath = "/api/jobs";
constexpr std::string_view kJobPrefix = "/api/jobs/";
constexpr std::string_view kCancelSuffix = "/abort";

enum class Action { heartbeat, health, submission, status_query, cancellation };

struct Route {
  Action action;
  std::string_view method;
  std::string_view job_id = {};  // the job id in the path, not yet validated
};

std::optional<Route> job_route(std::string_view job_id) {
  Route route{Action::status_query, "GET", job_id};
  if (job_id.ends_with(kCancelSuffix)) {
    job_id.remove_suffix(kCancelSuffix.size());
    route = {Action::cancellation, "POST", job_id};
  }
  if (job_id.find('/') != std::string_view::npos) return std::nullopt;
  return route;
}

// Returns nothing if there is no such path.
std::optional<Route> route_of(std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (path == kHeartbeatPath) return Route{Action::heartbeat, "POST"};
  if (path == kHealthPath) return Route{Action::health, "GET"};
  if (path == kJobsPath) return Route{Action::submission, "POST"};
  if (path.starts_with(kJobPrefix)) return job_route(path.substr(kJobPrefix.size()));
  return std::nullopt;
}

bool has_job_id(const Route& route) {
  return route.action == Action::status_query || route.action == Action::cancellation;
}

}  // namespace

ApiHandler::ApiHandler(const cloud::MachineCatalog& catalog, leader::Election& election,
                       leader::LeaderTerm& leader_term, Submissions& submissions,
                       JobQueries& queries)
    : catalog_(catalog),
      election_(election),
      leader_term_(leader_term),
      submissions_(submissions),
      queries_(queries) {}

void ApiHandler::handle(const net::Request& request, const Answer& answer) {
  const std::optional<Route> route = route_of(request.path);
  if (!route) return answer(refusal(404, "no such path"));
  if (request.method != route->method) return answer(refusal(405, "method not allowed"));
  if (has_job_id(*route) && !wire::valid_job_id(route->job_id))
    return answer(refusal(404, "no such job"));
  switch (route->action) {
    case Action::heartbeat:
      return handle_heartbeat(request.body, answer);
    case Action::health:
      return answer_health(answer);
    case Action::submission:
      return submissions_.submit(request, answer);
    case Action::status_query:
      return queries_.answer_status(std::string(route->job_id), answer);
    case Action::cancellation:
      return queries_.cancel(std::string(route->job_id), answer);
  }
}

// The health check fails until the machine types are known: without them this node can't
// decide on any submission.
void ApiHandler::answer_health(const Answer& answer) const {
  answer(catalog_.loaded() ? net::Response{200, "{}"} : unavailable("starting"));
}

void ApiHandler::handle_heartbeat(const std::string& body, const Answer& answer) {
  election_.on_heartbeat_received();
  if (!election_.leading()) return answer({421, wire::redirect_answer(election_.leader()), 0});
  try {
    const wire::Heartbeat heartbeat = wire::heartbeat_from(body);
    leader::HeartbeatReply reply = leader_term_.handle_heartbeat(heartbeat);
    // The server may close this connection first when connections are scarce: a worker that reports
    // no tasks has little use for it.
    const bool may_close = heartbeat.tasks.empty();
    answer({reply.status, std::move(reply.body), 0, may_close});
  } catch (const wire::Malformed& error) {
    answer(refusal(400, error.what()));
  }
}

}  // namespace seampass::jobs
