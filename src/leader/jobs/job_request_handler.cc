#include "leader/jobs/job_request_handler.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace seampass::leader {

using jobs::Lookup;

JobRequestHandler::JobRequestHandler(const LeaderContext& context, const JobTable& jobs,
                                     const RecordStore& records,
                                     const DependencyTracker& dependencies,
                                     jobs::JobStatusReader& status_reader, JobLifecycle& lifecycle)
    : context_(context),
      jobs_(jobs),
      records_(records),
      dependencies_(dependencies),
      status_reader_(status_reader),
      lifecycle_(lifecycle) {}

void JobRequestHandler::handle(const std::string& id, JobRequestKind kind, Reply reply) {
  if (!context_.term.ready()) return reply({});
  JobRecord* job = jobs_.find(id);
  // A job recovered after its end has no stage here; its final status is read.
  if (!job || (job->ended() && job->stage == wire::Stage::queued))
    return look_up(id, kind, std::move(reply));
  if (job->ended() || lifecycle_.upstream_cancelled(*job)) return reply(lifecycle_.status_of(*job));
  if (kind == JobRequestKind::poll) return answer_poll(*job, reply);
  cancel(*job, std::move(reply));
}

// A final status whose transaction is out may have been read by another node already: until this
// one knows, only the store can tell.
void JobRequestHandler::answer_poll(const JobRecord& job, const Reply& reply) const {
  if (records_.outcome_unknown(job.spec.id) || !upstream_certain(job.spec.id)) return reply({});
  reply(lifecycle_.status_of(job));
}

void JobRequestHandler::cancel(JobRecord& job, Reply reply) {
  job.waiters.push_back(std::move(reply));
  // Whoever asked is told soon to come again, while the rest goes on.
  const net::Ms patience = net::ms(context_.settings.heartbeat_interval_s / 3);
  context_.runtime.after(patience, context_.term.callbacks().wrap([this, id = job.spec.id] {
    JobRecord* late = jobs_.find(id);
    if (!late) return;
    for (const auto& waiter : std::exchange(late->waiters, {})) waiter({});
  }));
  if (job.active()) lifecycle_.cancel(job);
}

void JobRequestHandler::look_up(const std::string& id, JobRequestKind kind, Reply reply) {
  // Not wrapped in the term's scope: whoever asked gets an answer after the term as well.
  const auto found = [this, term = context_.term.callbacks().period(), id, kind,
                      reply = std::move(reply)](const jobs::JobLookup& job) {
    if (!term.current() || !context_.term.ready() || job.lookup == Lookup::unavailable)
      return reply({});
    if (job.lookup == Lookup::open) {
      // Accepted, and the news had not come yet.
      lifecycle_.apply_open_record(id, job.open.value, job.open.version);
      if (!jobs_.contains(id)) return reply({});
      return handle(id, kind, reply);
    }
    rpc::JobReply answer;
    answer.status = job.status;
    answer.lookup = job.lookup == Lookup::not_found ? rpc::Lookup::not_found : rpc::Lookup::found;
    reply(answer);
  };
  if (kind == JobRequestKind::cancellation) return status_reader_.read(id, found);
  status_reader_.query(id, found);
}

// Another node may have read the end of a job that this one depends on, and have derived its own
// from that, while the outcome is not known here.
bool JobRequestHandler::upstream_certain(const std::string& id) const {
  const sched::DependencyGraph& graph = dependencies_.graph();
  if (graph.ready(id)) return true;
  if (graph.undecided(id)) return false;
  if (!records_.any_outcome_unknown()) return true;
  const std::vector<std::string> upstream = graph.upstream(id);
  return std::none_of(upstream.begin(), upstream.end(),
                      [this](const std::string& other) { return records_.outcome_unknown(other); });
}

}  // namespace seampass::leader
