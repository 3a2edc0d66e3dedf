// Answers POST /api/jobs: it validates the job, checks the jobs that it depends on and passes it to
// JobAcceptance. It owns no state; the ApiHandler calls it.
#pragma once

#include <string>

#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "jobs/job_acceptance.h"
#include "jobs/job_admission.h"
#include "jobs/job_status_finder.h"
#include "jobs/job_status_reader.h"
#include "net/http_server.h"
#include "net/runtime.h"
#include "state/client.h"
#include "wire/json_fields.h"

namespace seampass::jobs {

class Submissions {
 public:
  Submissions(net::Runtime& runtime, state::Client& state, const cloud::MachineCatalog& catalog,
              JobStatusReader& status_reader, JobStatusFinder& finder, JobAcceptance& acceptance,
              const config::Settings& settings);

  // Answers 201 if this request made the job durable, 200 if the job was accepted before, 400 if
  // the request is malformed, 422 if the job can never run, and 503 if this can't be decided now.
  // Calls `answer` exactly once, possibly after this function has returned.
  void submit(const net::Request& request, const net::Answer& answer);

 private:
  // The stage in which a newly accepted job begins.
  enum class InitialStage { queued, cancelled_with_dependency };

  void submit(const wire::Job& job, const net::Answer& answer);
  void check_dependencies_and_accept(const wire::Job& job, const wire::Json& record,
                                     const net::Answer& answer);
  void reject(const std::string& job, const std::string& reason, const net::Answer& answer);
  void accept(const std::string& job, const wire::Json& record, InitialStage initial_stage,
              const net::Answer& answer);

  net::Runtime& runtime_;
  state::Client& state_;
  const cloud::MachineCatalog& catalog_;
  JobStatusReader& status_reader_;
  JobStatusFinder& finder_;
  JobAcceptance& acceptance_;
  JobAdmission admission_;
  net::Ms max_backlog_;  // the maximum wait for a turn at the state service
};

}  // namespace seampass::jobs
