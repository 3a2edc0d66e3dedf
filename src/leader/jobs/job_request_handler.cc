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
  // A job that had ended before it was recovered has no final stage in its JobRecord, so its final
  // status is read from the state service.
  if (!job || (job->ended() && job->stage == wire::Stage::queued))
    return look_up(id, kind, std::move(reply));
  if (job->ended() || lifecycle_.upstream_cancelled(*job)) return reply(lifecycle_.status_of(*job));
  if (kind == JobRequestKind::poll) return answer_poll(*job, reply);
  cancel(*job, std::move(reply));
}

// While the outcome of the transaction that writes the final status is unknown, another node may
// have read that status already. An answer from memory could contradict it, so the reply is empty
// until the outcome is known (docs/safety.md, "A final status whose outcome is unknown").
void JobRequestHandler::answer_poll(const JobRecord& job, const Reply& reply) const {
  if (records_.final_status_unknown(job.spec.id) || !upstream_known(job.spec.id)) return reply({});
  reply(lifecycle_.status_of(job));
}

void JobRequestHandler::cancel(JobRecord& job, Reply reply) {
  job.waiters.push_back(std::move(reply));
  // If the cancellation takes longer than this, the client gets an empty reply and has to ask
  // again. The cancellation itself continues.
  const net::Ms reply_timeout = net::ms(context_.settings.heartbeat_interval_s / 3);
  context_.runtime.after(reply_timeout, context_.term.callbacks().wrap([this, id = job.spec.id] {
    JobRecord* unfinished = jobs_.find(id);
    if (!unfinished) return;
    for (const auto& waiter : std::exchange(unfinished->waiters, {})) waiter({});
  }));
  if (job.active()) lifecycle_.cancel(job);
}

void JobRequestHandler::look_up(const std::string& id, JobRequestKind kind, Reply reply) {
  // This callback is not wrapped in the term's scope, so that the client gets a reply even if the
  // term ends first.
  const auto on_result = [this, term = context_.term.callbacks().period(), id, kind,
                          reply = std::move(reply)](const jobs::JobLookup& result) {
    if (!term.current() || !context_.term.ready() || result.lookup == Lookup::unavailable)
      return reply({});
    if (result.lookup == Lookup::open) {
      // The job was accepted, and this leader has not received the message about it yet.
      lifecycle_.apply_open_record(id, result.open_record.value, result.open_record.version);
      if (!jobs_.contains(id)) return reply({});
      return handle(id, kind, reply);
    }
    rpc::JobReply answer;
    answer.status = result.status;
    answer.lookup =
        result.lookup == Lookup::not_found ? rpc::Lookup::not_found : rpc::Lookup::found;
    reply(answer);
  };
  if (kind == JobRequestKind::cancellation) return status_reader_.read(id, on_result);
  // A poll does not wait here: the node that was asked has a queue and a share of its own, and
  // would take the reply for lost.
  status_reader_.query_without_waiting(id, on_result);
}

// While the outcome of an upstream job's final status is unknown here, another node may have read
// that status and derived from it that this job is cancelled. An answer from memory could
// contradict that node's answer.
bool JobRequestHandler::upstream_known(const std::string& id) const {
  const sched::DependencyGraph& graph = dependencies_.graph();
  if (graph.ready(id)) return true;
  if (graph.undecided(id)) return false;
  if (!records_.any_final_status_unknown()) return true;
  const std::vector<std::string> upstream = graph.upstream(id);
  return std::none_of(upstream.begin(), upstream.end(), [this](const std::string& upstream_job) {
    return records_.final_status_unknown(upstream_job);
  });
}

}  // namespace seampass::leader
