#include "leader/controller.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace seampass::leader {

using net::Ms;
using state::Urgency;
using wire::Json;

Controller::Controller(net::Runtime& runtime, state::Client& state, cloud::Client& cloud,
                       const cloud::MachineCatalog& catalog, workers::Client workers,
                       Election& election, jobs::JobStatusReader& status_reader,
                       ClusterVersion& cluster, const config::Settings& settings,
                       const config::OperatorSettings& operator_settings)
    : runtime_(runtime),
      state_(state),
      workers_(std::move(workers)),
      election_(election),
      status_reader_(status_reader),
      cluster_(cluster),
      settings_(settings),
      operator_settings_(operator_settings),
      records_(
          runtime, state, settings.least_state_limits(),
          {[this](const std::string& id, const RecordId& record) { return render(id, record); },
           [this] { election_.step_down(audit::StepDownReason::fenced); },
           [this](const std::string& id, wire::Stage stage) { on_ended(id, stage); },
           [this] { cluster_.finalize(); }}),
      fleet_(runtime, cloud, catalog, settings, operator_settings,
             [this](Machine& m) { forget_machine(m); }),
      layout_(cluster.spans()),
      dependencies_(runtime, status_reader, net::ms(settings.heartbeat_interval_s / 10),
                    {[this](const std::string& id, const std::string& dependency) {
                       job_ready(id, dependency);
                     },
                     [this](const std::string& id) { cancel_dependent(id); },
                     [this](const std::string& id, const state::Item& open) {
                       apply_open_record(id, open.value, open.version);
                     }}),
      attempts_(runtime),
      scheduling_(
          {runtime, jobs_, attempts_, dependencies_.graph(), catalog, settings, operator_settings},
          state, election, fleet_, *this) {}

void Controller::start_term() {
  end_term();
  active_ = true;
  began_ = runtime_.now();
  audit::elected(election_.epoch());
  records_.start_term(election_.epoch());
  fleet_.start_term(election_.epoch());
  layout_.use(Layout::chunks, cluster_.spans());
  // Records are read once it is known in which layouts they may be.
  cluster_.start_term(election_.epoch(),
                      {[this] { list_records("open/", "", true); }, [this] { use_segments(); },
                       [this] { election_.step_down(audit::StepDownReason::fenced); }});
  scheduling_.start_term(began_);
}

void Controller::end_term() {
  ++term_;
  active_ = loaded_ = false;
  scheduling_.end_term();
  listed_ = 0;
  for (auto& [id, job] : jobs_)
    for (const auto& w : job->waiters) w({});
  jobs_.clear();
  attempts_.clear();
  collected_.clear();
  collected_job_.clear();
  cluster_.end_term();
  dependencies_.end_term();
  records_.end_term();
  fleet_.end_term();
  workers_.drop_queued();
}

// ---- Jobs ----

JobRecord* Controller::find_job(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

Json Controller::open_record(const wire::Job& job, std::int64_t created_ms) {
  return Json{{"job", wire::to_json(job)}, {"created_ms", created_ms}};
}

// A job that was accepted before the listing is in it, or has ended under a former leader: news of
// it is a late copy, and would bring it back. (Without the news the watch tells of it.)
void Controller::on_job_accepted(const std::string& id, const Json& record,
                                 state::Version version) {
  if (listed_ != 0 && version > listed_) apply_open_record(id, record, version);
}

void Controller::apply_open_record(const std::string& id, const Json& record,
                                   state::Version version) {
  if (!active_ || jobs_.contains(id)) return;
  // News of an acceptance can be older than the job's end. (A final status that has left this cache
  // is still found: the transaction that would assign its tasks compares ends/<id>. One that
  // depends on a cancelled job may be known as cancelled before its end is written.)
  if (status_reader_.written(id)) return;
  auto job = std::make_unique<JobRecord>();
  try {
    job->spec = wire::job_from(record.at("job"));
    job->created_ms = record.at("created_ms").get<std::int64_t>();
  } catch (const std::exception& e) {
    spdlog::error("unreadable job {}: {}", id, e.what());
    return;
  }
  if (job->spec.id != id) return;
  job->open_version = version;
  job->claimed.assign(job->spec.tasks, false);
  job->finished.assign(job->spec.tasks, false);
  spdlog::debug("queued {} of {}, {} tasks, team {}", id, job->spec.job_class, job->spec.tasks,
                job->spec.team);
  job->ready_ms = job->created_ms;
  const JobRecord& added = *jobs_.emplace(id, std::move(job)).first->second;
  // Nobody submits such a job before all controllers are new.
  if (!added.spec.dependencies.empty()) cluster_.finalize();
  dependencies_.add(added.spec);
  if (dependencies_.graph().ready(id)) record_arrival(added);
  request_pass();
}

rpc::JobReply Controller::status_of(const JobRecord& job) const {
  rpc::JobReply a;
  a.lookup = rpc::Lookup::found;
  a.status.id = job.spec.id;
  a.status.done = job.finished_count;
  a.status.running = job.ended ? 0 : job.running;
  a.status.stage = job.ended                 ? job.stage
                   : upstream_cancelled(job) ? wire::Stage::cancelled
                   : job.running > 0         ? wire::Stage::running
                                             : wire::Stage::queued;
  return a;
}

void Controller::handle_job_request(const std::string& id, bool cancel,
                                    std::function<void(const rpc::JobReply&)> reply) {
  if (!ready()) return reply({});
  const auto it = jobs_.find(id);
  // A job recovered after its end has no stage here; its final status is read.
  if (it != jobs_.end() && !(it->second->ended && it->second->stage == wire::Stage::queued)) {
    JobRecord& job = *it->second;
    if (job.ended || upstream_cancelled(job)) return reply(status_of(job));
    // A final status whose transaction is out may have been read by another node already: until
    // this one knows, only the store can tell.
    if (!cancel && (records_.outcome_unknown(id) || !upstream_certain(id))) return reply({});
    if (!cancel) return reply(status_of(job));
    job.waiters.push_back(std::move(reply));
    // Whoever asked is told soon to come again, while the rest goes on.
    const std::uint64_t term = term_;
    runtime_.after(net::ms(settings_.heartbeat_interval_s / 3), [this, term, id] {
      JobRecord* late = term == term_ ? find_job(id) : nullptr;
      if (!late) return;
      for (const auto& w : std::exchange(late->waiters, {})) w({});
    });
    if (!job.ending) cancel_job(job);
    return;
  }
  const std::uint64_t term = term_;
  const auto found = [this, term, id, cancel, reply = std::move(reply)](
                         jobs::JobStatusReader::Lookup result, const wire::JobStatus& status,
                         const state::Item& open) {
    rpc::JobReply a;
    if (term != term_ || !ready() || result == jobs::JobStatusReader::Lookup::unavailable)
      return reply(a);
    a.status = status;
    a.lookup = result == jobs::JobStatusReader::Lookup::not_found ? rpc::Lookup::not_found
                                                                  : rpc::Lookup::found;
    if (result != jobs::JobStatusReader::Lookup::open) return reply(a);
    // Accepted, and the news had not come yet.
    apply_open_record(id, open.value, open.version);
    if (!jobs_.contains(id)) return reply({});
    handle_job_request(id, cancel, reply);
  };
  if (cancel) return status_reader_.read(id, found);
  status_reader_.query(id, found);
}

// Its user wants it cancelled: all of it is stopped, and nobody is told of a cancellation before it
// is off everywhere. So whoever leads next, whatever is refused, lost or late then: no task is left
// that would have to be stopped, and no start that would have to be caught.
void Controller::cancel_job(JobRecord& job) {
  job.ending = true;
  job.reservations.clear();
  const std::string id = job.spec.id;
  stop_all(job, 0, audit::StopReason::job_over, true);
  erase_if_settled(id);
}

void Controller::conclude(JobRecord& job) {
  job.ending = job.concluding = true;
  job.reservations.clear();
  const std::string id = job.spec.id;
  const bool done = job.finished_count == job.spec.tasks;
  // What is cancelled with another follows from that one's end: nobody waits for its own.
  const Urgency urgency = upstream_cancelled(job) ? Urgency::progress : Urgency::final_status;
  records_.write_final_status(id, job.open_version,
                              done ? wire::Stage::done : wire::Stage::cancelled, job.finished_count,
                              urgency, [this, id](wire::Stage actual) { on_ended(id, actual); });
}

void Controller::on_ended(const std::string& id, wire::Stage stage) {
  JobRecord* found = find_job(id);
  if (!found) return;
  JobRecord& job = *found;
  job.ending = job.concluding = job.ended = true;
  job.stage = stage;
  const rpc::JobReply answer = status_of(job);
  status_reader_.remember(answer.status, jobs::JobStatusReader::Source::written);
  for (const auto& w : std::exchange(job.waiters, {})) w(answer);
  stop_all(job, 0, audit::StopReason::job_over);
  erase_if_settled(id);
  // Only now that it is durable: the next leader must not find a dependent at work on a job that it
  // does not know to be done, or queued behind one that is cancelled.
  dependencies_.on_final_status(id, stage);
  request_pass();
}

// A job that was called off ends once every task is off; an ended one stays until then, and until
// its records are gone.
void Controller::erase_if_settled(const std::string& id) {
  JobRecord* job = find_job(id);
  // (An unreadable record may hold attempts that are at work.)
  if (!job || !job->attempts.empty() || job->unreadable) return;
  if (job->ending && !job->concluding) conclude(*job);
  if (!job->ended) return;
  const auto erase = [this, id] {
    if (!jobs_.contains(id) || !records_.settled(id)) return;
    records_.forget(id);
    jobs_.erase(id);
  };
  for (const RecordId& record : records_.records(id))
    records_.write(id, record, Urgency::progress, erase);
  erase();
}

void Controller::finish_task(JobRecord& job, std::uint32_t task) {
  if (job.finished[task]) return;
  job.finished[task] = job.claimed[task] = true;
  ++job.finished_count;
}

void Controller::conclude_if_complete(JobRecord& job) {
  if (!job.concluding && job.finished_count == job.spec.tasks) conclude(job);
}

}  // namespace seampass::leader
