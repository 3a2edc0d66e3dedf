#include "jobs/api_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "jobs/responses.h"
#include "leader/audit_log.h"

namespace seampass::jobs {

namespace audit = leader::audit;
using audit::AnswerBasis;
using net::Answer;
using net::Ms;
using net::Response;
using state::Outcome;
using wire::Json;

namespace {

constexpr std::string_view kJobs = "/api/jobs";
constexpr std::string_view kAbort = "/abort";
constexpr std::size_t kMaxAsks = 2000;

}  // namespace

ApiHandler::ApiHandler(net::Runtime& runtime, state::Client& state,
                       const cloud::MachineCatalog& catalog, leader::Election& election,
                       leader::Controller& controller, JobStatusReader& status_reader,
                       leader::ClusterVersion& cluster, rpc::PeerTransport& peers,
                       const config::Settings& settings)
    : runtime_(runtime),
      state_(state),
      catalog_(catalog),
      election_(election),
      controller_(controller),
      status_reader_(status_reader),
      cluster_(cluster),
      peers_(peers),
      settings_(settings) {
  peers_.on_receive([this](const std::string& from, const rpc::Envelope& envelope) {
    cluster_.record_peer_version(from, envelope.version);
    receive(from, envelope.message);
  });
}

std::uint64_t ApiHandler::first_ask() {
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1, std::uint64_t{1} << 62)(device);
}

void ApiHandler::handle(const net::Request& request, Answer answer) {
  std::string_view path = request.path;
  path = path.substr(0, path.find('?'));
  const auto want = [&](const char* method) {
    if (request.method == method) return true;
    answer(refusal(405, "method not allowed"));
    return false;
  };
  if (path == "/checkin") {
    if (want("POST")) heartbeat(request, answer);
    return;
  }
  if (path == "/up") {
    if (!want("GET")) return;
    return answer(catalog_.known() ? Response{200, "{}"} : later("starting"));
  }
  if (path == kJobs) {
    if (want("POST")) submit(request, answer);
    return;
  }
  if (path.starts_with(kJobs) && path.size() > kJobs.size() && path[kJobs.size()] == '/') {
    std::string_view id = path.substr(kJobs.size() + 1);
    const bool abort = id.ends_with(kAbort);
    if (abort) id.remove_suffix(kAbort.size());
    if (id.find('/') != std::string_view::npos) return answer(refusal(404, "no such path"));
    if (!want(abort ? "POST" : "GET")) return;
    if (!wire::valid_job_id(id)) return answer(refusal(404, "no such job"));
    if (abort) return cancel(std::string(id), answer);
    return current(std::string(id), answer);
  }
  answer(refusal(404, "no such path"));
}

void ApiHandler::status(const std::string& id, Purpose purpose, const Reply& reply) {
  rpc::JobReply known;
  known.lookup = rpc::Lookup::found;
  if (const auto v = status_reader_.final_status(id)) {
    known.status = *v;
    audit::answer(
        *v, status_reader_.written(id) ? AnswerBasis::cache_written : AnswerBasis::cache_derived);
    return reply(known);
  }
  const auto found = [known, reply](JobStatusReader::Lookup result, const wire::JobStatus& s,
                                    const state::Item&) mutable {
    known.status = s;
    if (result != JobStatusReader::Lookup::unavailable) audit::answer(s, AnswerBasis::store);
    if (result == JobStatusReader::Lookup::not_found) known.lookup = rpc::Lookup::not_found;
    if (result == JobStatusReader::Lookup::unavailable) known.lookup = rpc::Lookup::unavailable;
    reply(known);
  };
  ask_leader({0, id, false, ""}, net::ms(settings_.heartbeat_interval_s / 5),
             [this, id, purpose, found, reply](const rpc::JobReply& a) {
               if (a.lookup != rpc::Lookup::unavailable) {
                 audit::answer(a.status, AnswerBasis::leader);
                 return reply(a);
               }
               if (purpose == Purpose::poll) return status_reader_.query(id, found);
               status_reader_.read(id, found);
             });
}

void ApiHandler::current(const std::string& id, const Answer& answer) {
  status(id, Purpose::poll, [answer](const rpc::JobReply& a) {
    if (a.lookup == rpc::Lookup::unavailable) return answer(later("state not available"));
    if (a.lookup == rpc::Lookup::not_found) return answer(refusal(404, "no such job"));
    answer({200, wire::to_json(a.status), 0});
  });
}

void ApiHandler::cancel(const std::string& id, const Answer& answer) {
  if (const auto v = status_reader_.final_status(id))
    return answer({200, wire::accepted_json(*v), 0});
  // Only the leader ends jobs, so that none of its answers can be older than the final status.
  ask_leader({0, id, true, ""}, net::ms(settings_.heartbeat_interval_s),
             [answer](const rpc::JobReply& a) {
               if (a.lookup == rpc::Lookup::unavailable)
                 return answer(later("no leader can answer"));
               if (a.lookup == rpc::Lookup::not_found) return answer(refusal(404, "no such job"));
               if (a.status.stage != wire::Stage::cancelled && a.status.stage != wire::Stage::done)
                 return answer(later("not decided yet"));
               audit::answer(a.status, AnswerBasis::leader);
               answer({200, wire::accepted_json(a.status), 0});
             });
}

void ApiHandler::heartbeat(const net::Request& request, const Answer& answer) {
  election_.on_worker_heard();
  if (!election_.leading()) return answer({421, wire::redirect_answer(election_.leader()), 0});
  try {
    const wire::Heartbeat report = wire::heartbeat_from(request.body);
    auto r = controller_.handle_heartbeat(report);
    answer({r.status, std::move(r.body), 0, report.tasks.empty()});
  } catch (const wire::Malformed& e) {
    answer(refusal(400, e.what()));
  }
}

void ApiHandler::ask_leader(rpc::JobRequest ask, Ms timeout, Reply reply) {
  if (election_.leading())
    return controller_.handle_job_request(ask.id, ask.cancel, std::move(reply));
  const std::string node = election_.leader();
  if (node.empty() || asks_.size() >= kMaxAsks) return reply({});
  const std::uint64_t number = ask.number = next_++;
  Waiting& w = asks_[number];
  w.id = ask.id;
  w.node = node;
  w.reply = std::move(reply);
  w.timer = runtime_.after(timeout, [this, number] {
    const auto it = asks_.find(number);
    if (it == asks_.end()) return;
    const Waiting late = std::move(it->second);
    asks_.erase(it);
    peers_.reset(late.node);
    late.reply({});
  });
  peers_.send(node, ask);
}

void ApiHandler::receive(const std::string& from, const rpc::Message& message) {
  if (const auto* accepted = std::get_if<rpc::JobAccepted>(&message)) {
    if (!election_.leading()) return;
    const Json record = Json::parse(accepted->record, nullptr, false);
    if (!record.is_discarded())
      controller_.on_job_accepted(accepted->id, record, accepted->version);
  } else if (const auto* ask = std::get_if<rpc::JobRequest>(&message)) {
    const std::uint64_t number = ask->number;
    const auto reply = [this, from, number](rpc::JobReply a) {
      a.number = number;
      peers_.send(from, a);
    };
    if (!election_.leading()) return reply({});
    if (!ask->record.empty()) {
      const Json record = Json::parse(ask->record, nullptr, false);
      if (record.is_discarded()) return reply({});
      return accept(ask->id, record, false, reply);
    }
    controller_.handle_job_request(ask->id, ask->cancel, reply);
  } else if (const auto* leads = std::get_if<rpc::LeaderAnnouncement>(&message)) {
    election_.on_leader_announced(from, leads->epoch);
    if (leads->round != 0)
      peers_.send(from, rpc::EpochConfirmation{leads->round, election_.highest_known_epoch(),
                                               election_.up()});
  } else if (const auto* word = std::get_if<rpc::EpochConfirmation>(&message)) {
    election_.on_confirmation(from, *word);
  } else if (const auto* answer = std::get_if<rpc::JobReply>(&message)) {
    const auto it = asks_.find(answer->number);
    if (it == asks_.end() || it->second.node != from) return;
    const Waiting w = std::move(it->second);
    asks_.erase(it);
    runtime_.cancel(w.timer);
    rpc::JobReply a = *answer;
    a.status.id = w.id;
    if (a.lookup == rpc::Lookup::found &&
        (a.status.stage == wire::Stage::done || a.status.stage == wire::Stage::cancelled))
      // (The leader may have derived a cancellation whose record is not written yet.)
      status_reader_.remember(a.status, a.status.stage == wire::Stage::done
                                            ? JobStatusReader::Source::written
                                            : JobStatusReader::Source::derived);
    w.reply(a);
  }
}

}  // namespace seampass::jobs
