#include "jobs/submissions.h"

#include "jobs/dependency_check.h"
#include "jobs/http_answers.h"
#include "leader/jobs/open_record.h"
#include "leader/leader_term.h"
#include "wire/user_codec.h"

namespace seampass::jobs {

using net::Answer;

Submissions::Submissions(net::Runtime& runtime, state::Client& state,
                         const cloud::MachineCatalog& catalog, JobStatusReader& status_reader,
                         JobStatusFinder& finder, JobAcceptance& acceptance,
                         const config::Settings& settings)
    : runtime_(runtime),
      state_(state),
      catalog_(catalog),
      status_reader_(status_reader),
      finder_(finder),
      acceptance_(acceptance),
      admission_(settings),
      max_backlog_(net::ms(settings.heartbeat_interval_s / 3)) {}

void Submissions::submit(const net::Request& request, const Answer& answer) {
  wire::Job job;
  try {
    job = wire::job_from(wire::parse_object(request.body));
  } catch (const wire::Malformed& error) {
    return answer(refusal(400, error.what()));
  }
  submit(job, answer);
}

void Submissions::submit(const wire::Job& job, const Answer& answer) {
  if (const auto cached = status_reader_.final_status(job.id))
    return answer({200, wire::accepted_answer(*cached), 0});
  if (!catalog_.loaded()) return answer(unavailable("machine types not known yet"));
  const wire::Json record = leader::encode_open_record(job, runtime_.unix_time_ms());
  if (const auto rejection = admission_.rejection(job, record, catalog_.types()))
    return reject(job.id, *rejection, answer);
  // The write of the job's record would wait for its turn at the state service for longer than the
  // user waits for an answer.
  if (state_.backlog(state::Urgency::final_status) > max_backlog_)
    return answer(unavailable("busy"));
  if (job.dependencies.empty()) return accept(job.id, record, InitialStage::queued, answer);
  check_dependencies_and_accept(job, record, answer);
}

void Submissions::check_dependencies_and_accept(const wire::Job& job, const wire::Json& record,
                                                const Answer& answer) {
  check_dependencies(finder_, job.dependencies,
                     [this, id = job.id, record, answer](DependencyState dependency_state) {
                       switch (dependency_state) {
                         case DependencyState::accepted:
                           return accept(id, record, InitialStage::queued, answer);
                         case DependencyState::cancelled:
                           return accept(id, record, InitialStage::cancelled_with_dependency,
                                         answer);
                         case DependencyState::unknown:
                           return answer(unavailable("dependencies not known yet"));
                         case DependencyState::never_accepted:
                           return reject(id, "it depends on a job that was never accepted", answer);
                       }
                     });
}

// An accepted job stays accepted, even if the settings, the machine types or the status of other
// jobs have changed since and would rule it out now. So the state service is read before the
// refusal.
void Submissions::reject(const std::string& job, const std::string& reason, const Answer& answer) {
  status_reader_.read(job, [answer, reason](const JobLookup& found) {
    if (found.lookup == Lookup::unavailable) return answer(unavailable("state not available"));
    if (found.lookup == Lookup::not_found) return answer(refusal(422, reason));
    answer({200, wire::accepted_answer(found.status), 0});
  });
}

void Submissions::accept(const std::string& job, const wire::Json& record,
                         InitialStage initial_stage, const Answer& answer) {
  acceptance_.accept(
      job, record, Forwarding::allowed, [answer, initial_stage](const rpc::JobReply& reply) {
        if (reply.lookup != rpc::Lookup::found) return answer(unavailable("state not available"));
        wire::JobStatus status = reply.status;
        // A job that depends on a cancelled job is accepted as well, and counts as cancelled at
        // once.
        if (reply.created && initial_stage == InitialStage::cancelled_with_dependency)
          status.stage = wire::Stage::cancelled;
        answer({reply.created ? 201 : 200, wire::accepted_answer(status), 0});
      });
}

}  // namespace seampass::jobs
