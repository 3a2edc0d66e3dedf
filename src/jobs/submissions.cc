// The ApiHandler's submissions: which jobs are taken, and how they become durable.
#include <algorithm>
#include <memory>
#include <set>

#include "jobs/api_handler.h"
#include "jobs/responses.h"
#include "leader/jobs/open_record.h"
#include "leader/records/keys.h"
#include "sched/snapshot.h"

namespace seampass::jobs {

using net::Answer;
using state::Outcome;

namespace {
// Of the largest value that the state service takes: it may count bytes in another way than we do.
constexpr double kValueShare = 0.9;
}  // namespace

ApiHandler::Dependencies ApiHandler::dependency_state(const rpc::JobReply& answer) {
  if (answer.lookup == rpc::Lookup::unavailable) return Dependencies::undecided;
  // (Only a read of the store says so.)
  if (answer.lookup == rpc::Lookup::not_found) return Dependencies::never_accepted;
  return answer.status.stage == wire::Stage::cancelled ? Dependencies::cancelled
                                                       : Dependencies::accepted;
}

std::string ApiHandler::impossible(const wire::Job& job) const {
  const config::Team* team = settings_.team(job.team);
  if (!team) return "unknown team";
  if (std::find(job.dependencies.begin(), job.dependencies.end(), job.id) != job.dependencies.end())
    return "it depends on itself";
  std::set<std::string> zones;  // where a task fits an allowed type
  for (const auto& [name, t] : catalog_.types())
    for (const std::string& zone : t.zones)
      if (sched::fits_empty(t, job) && (!job.zone || *job.zone == zone)) zones.insert(zone);
  if (zones.empty()) return "a task fits no allowed machine type";
  // What must run all at once, and at most half of it in one zone.
  if (job.kind != wire::JobKind::array && job.spread && job.tasks > 1 &&
      (job.one_zone || zones.size() < 2))
    return "its tasks may not be in one zone, and fit no other";
  // An array runs if one task does; gangs and services need all at once.
  const double n = job.kind == wire::JobKind::array ? 1 : job.tasks;
  constexpr double slack = 1e-6;
  if ((team->cpus_max > 0 && n * job.cpus > team->cpus_max + slack) ||
      (team->gpus_max > 0 && n * job.gpus > team->gpus_max + slack))
    return "over the team's limit";
  return {};
}

// What the state service will not take can't be kept, and so can't be accepted.
bool ApiHandler::storable(const wire::Json& record) const {
  const double kb = settings_.least_state_limits().value_kb;
  return static_cast<double>(record.dump().size()) <= kValueShare * kb * 1024;
}

void ApiHandler::submit(const net::Request& request, const Answer& answer) {
  wire::Job job;
  try {
    job = wire::job_from(wire::parse_object(request.body));
  } catch (const wire::Malformed& e) {
    return answer(refusal(400, e.what()));
  }
  const std::string id = job.id;
  if (const auto v = status_reader_.final_status(id))
    return answer({200, wire::accepted_json(*v), 0});
  if (!catalog_.known()) return answer(later("machine types not known yet"));
  const wire::Json record = leader::encode_open_record(job, runtime_.wall());
  std::string why = impossible(job);
  if (why.empty() && !storable(record)) why = "too large to be stored";
  if (!why.empty()) return refuse(id, why, answer);
  // More waits for the store than it can take before the user would give up.
  if (state_.backlog(state::Urgency::final_status) > net::ms(settings_.heartbeat_interval_s / 3))
    return answer(later("busy"));
  if (job.dependencies.empty()) return accept_new(id, record, false, answer);
  check_dependencies(job.dependencies, [this, id, record, answer](Dependencies found) {
    if (found == Dependencies::undecided) return answer(later("dependencies not known yet"));
    if (found == Dependencies::never_accepted)
      return refuse(id, "it depends on a job that was never accepted", answer);
    accept_new(id, record, found == Dependencies::cancelled, answer);
  });
}

// A job that was accepted once stays so, whatever the settings, types or other jobs say by now.
void ApiHandler::refuse(const std::string& id, const std::string& why, const Answer& answer) {
  status_reader_.read(id, [answer, why](JobStatusReader::Lookup found,
                                        const wire::JobStatus& status, const state::Item&) {
    if (found == JobStatusReader::Lookup::unavailable) return answer(later("state not available"));
    if (found == JobStatusReader::Lookup::not_found) return answer(refusal(422, why));
    answer({200, wire::accepted_json(status), 0});
  });
}

void ApiHandler::accept_new(const std::string& id, const wire::Json& record, bool cancelled,
                            const Answer& answer) {
  accept(id, record, true, [answer, cancelled](const rpc::JobReply& accepted) {
    if (accepted.lookup != rpc::Lookup::found) return answer(later("state not available"));
    wire::JobStatus status = accepted.status;
    // One that depends on a cancelled job is accepted all the same, and cancelled with it.
    if (accepted.fresh && cancelled) status.stage = wire::Stage::cancelled;
    answer({accepted.fresh ? 201 : 200, wire::accepted_json(status), 0});
  });
}

// All are asked about at once.
void ApiHandler::check_dependencies(const std::vector<std::string>& jobs,
                                    std::function<void(Dependencies)> reply) {
  struct Check {
    std::size_t left = 0;
    Dependencies worst = Dependencies::accepted;
    std::function<void(Dependencies)> reply;
  };
  const auto check = std::make_shared<Check>();
  check->left = jobs.size();
  check->reply = std::move(reply);
  for (const std::string& job : jobs) {
    status(job, Purpose::acceptance, [check](const rpc::JobReply& answer) {
      check->worst = std::max(check->worst, dependency_state(answer));
      if (--check->left == 0) check->reply(check->worst);
    });
  }
}

void ApiHandler::accept(const std::string& id, const wire::Json& record, bool forward,
                        const Reply& reply) {
  const auto elsewhere = [this, id, forward, reply](const std::string& text) {
    if (!forward || election_.leading()) return reply({});
    ask_leader({0, id, false, text}, net::ms(settings_.heartbeat_interval_s / 5), reply);
  };
  if (forward && state_.seems_down() && !election_.leading()) return elsewhere(record.dump());
  state::Txn txn;
  txn.conditions = {{leader::open_key(id), 0}, {leader::final_status_key(id), 0}};
  txn.changes.push_back({leader::open_key(id), record, 0});
  state_.txn(std::move(txn), state::Urgency::final_status,
             [this, id, record, elsewhere, reply](const state::TxnResult& t) {
               if (t.outcome == Outcome::conflict) return status(id, Purpose::acceptance, reply);
               // Not known, or not done: the transaction can be tried again from anywhere.
               if (t.outcome != Outcome::ok) return elsewhere(record.dump());
               rpc::JobReply a;
               a.lookup = rpc::Lookup::found;
               a.status.id = id;
               a.fresh = true;
               reply(a);
               if (election_.leading())
                 leader_term_.on_job_accepted(id, record, t.revision);
               else if (!election_.leader().empty())
                 peers_.send(election_.leader(), rpc::JobAccepted{id, record.dump(), t.revision});
             });
}

}  // namespace seampass::jobs
