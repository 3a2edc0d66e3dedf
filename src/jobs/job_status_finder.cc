#include "jobs/job_status_finder.h"

#include "leader/audit_log.h"

namespace seampass::jobs {

namespace audit = leader::audit;
using audit::AnswerBasis;

namespace {

rpc::JobReply reply_of(const JobLookup& found) {
  rpc::JobReply reply;
  reply.status = found.status;
  switch (found.lookup) {
    case Lookup::ended:
    case Lookup::open:
      reply.lookup = rpc::Lookup::found;
      break;
    case Lookup::not_found:
      reply.lookup = rpc::Lookup::not_found;
      break;
    case Lookup::unavailable:
      reply.lookup = rpc::Lookup::unavailable;
      break;
  }
  return reply;
}

}  // namespace

void JobStatusFinder::find(const std::string& job, Purpose purpose,
                           const JobReplyHandler& on_found) {
  if (const auto cached = status_reader_.final_status(job)) {
    audit::answer(*cached, status_reader_.known_written(job) ? AnswerBasis::cache_written
                                                             : AnswerBasis::cache_derived);
    return on_found(reply_of({Lookup::ended, *cached, {}}));
  }
  leader_.request_status(job, [this, job, purpose, on_found](const rpc::JobReply& reply) {
    if (reply.lookup == rpc::Lookup::unavailable) return read_store(job, purpose, on_found);
    audit::answer(reply.status, AnswerBasis::leader);
    on_found(reply);
  });
}

void JobStatusFinder::read_store(const std::string& job, Purpose purpose,
                                 const JobReplyHandler& on_found) {
  const auto on_read = [on_found](const JobLookup& found) {
    if (found.lookup != Lookup::unavailable) audit::answer(found.status, AnswerBasis::store);
    on_found(reply_of(found));
  };
  if (purpose == Purpose::status_query) return status_reader_.query(job, on_read);
  status_reader_.read(job, on_read);
}

}  // namespace seampass::jobs
