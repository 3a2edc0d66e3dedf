#include "jobs/job_queries.h"

#include "jobs/http_answers.h"
#include "leader/audit_log.h"
#include "wire/user_codec.h"

namespace seampass::jobs {

using net::Answer;

void JobQueries::answer_status(const std::string& job, const Answer& answer) {
  finder_.find(job, JobStatusFinder::Purpose::status_query, [answer](const rpc::JobReply& reply) {
    if (reply.lookup == rpc::Lookup::unavailable) return answer(unavailable("state not available"));
    if (reply.lookup == rpc::Lookup::not_found) return answer(refusal(404, "no such job"));
    answer({200, wire::status_answer(reply.status), 0});
  });
}

// Unless the final status is cached, the leader decides on the cancellation. Only the leader ends
// jobs, so its answer can't be older than the final status.
void JobQueries::cancel(const std::string& job, const Answer& answer) {
  if (const auto cached = status_reader_.final_status(job))
    return answer({200, wire::accepted_answer(*cached), 0});
  leader_.request_cancellation(job, [answer](const rpc::JobReply& reply) {
    if (reply.lookup == rpc::Lookup::unavailable)
      return answer(unavailable("no leader can answer"));
    if (reply.lookup == rpc::Lookup::not_found) return answer(refusal(404, "no such job"));
    const wire::Stage stage = reply.status.stage;
    if (stage != wire::Stage::cancelled && stage != wire::Stage::done)
      return answer(unavailable("not decided yet"));
    leader::audit::answer(reply.status, leader::audit::AnswerBasis::leader);
    answer({200, wire::accepted_answer(reply.status), 0});
  });
}

}  // namespace seampass::jobs
