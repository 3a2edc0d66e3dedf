// The user requests of a simulated cluster, and what users can observe of its jobs.
#include <algorithm>

#include "fakes/simulated_cluster.h"

namespace seampass::fakes {
namespace {

constexpr Ms kUserTimeout = 5000;

}  // namespace

JobAnswer SimulatedCluster::request(const std::string& node, const char* method,
                                    const std::string& path, const std::string& body) {
  JobAnswer answer;
  bool answered = false;
  const auto waiting = std::make_shared<bool>(true);
  net.call("user", waiting, {node + ":8080", method, path, body, kUserTimeout},
           [&](const net::Reply& reply) {
             answered = true;
             answer = {reply.status, wire::Json::parse(reply.body, nullptr, false)};
           });
  for (Ms waited = 0; waited < kUserTimeout + 100 && !answered; ++waited) time.run_for(1);
  *waiting = false;
  return answer;
}

JobAnswer SimulatedCluster::submit(const std::string& node, const wire::Job& job) {
  checker.jobs[job.id].spec = job;
  JobAnswer answer = request(node, "POST", "/api/jobs", wire::to_json(job).dump());
  if (answer.accepted()) {
    checker.jobs[job.id].accepted = true;
    checker.job_answered(job.id, answer.status, answer.stage(), time.now());
  }
  return answer;
}

bool SimulatedCluster::submit_until_accepted(const std::string& node, const wire::Job& job,
                                             Ms timeout) {
  const Ms end = time.now() + timeout;
  while (time.now() < end) {
    if (submit(node, job).accepted()) return true;
    time.run_for(1000);
  }
  return false;
}

bool SimulatedCluster::submit_and_run(const wire::Job& job, Ms timeout) {
  submit("n0", job);
  return reaches(job.id, "running", timeout);
}

JobAnswer SimulatedCluster::poll(const std::string& node, const std::string& id) {
  return record_answer(id, request(node, "GET", "/api/jobs/" + id));
}

JobAnswer SimulatedCluster::cancel(const std::string& node, const std::string& id) {
  checker.jobs[id].cancel_requested = true;
  return record_answer(id, request(node, "POST", "/api/jobs/" + id + "/abort"));
}

JobAnswer SimulatedCluster::cancel_until_final(const std::string& node, const std::string& id,
                                               Ms timeout) {
  constexpr Ms max_refusal_ms = 2000;
  const Ms end = time.now() + timeout;
  while (time.now() < end) {
    const Ms before = time.now();
    JobAnswer answer = cancel(node, id);
    if (answer.status == 200) return answer;
    EXPECT_EQ(answer.status, 503);
    EXPECT_LT(time.now() - before, max_refusal_ms);
    time.run_for(1000);
  }
  return {};
}

void SimulatedCluster::cancel_without_waiting(const std::string& node, const std::string& id) {
  checker.jobs[id].cancel_requested = true;
  net.call("user", user_alive_,
           {node + ":8080", "POST", "/api/jobs/" + id + "/abort", "", kUserTimeout},
           [this, id](const net::Reply& reply) {
             record_answer(id, {reply.status, wire::Json::parse(reply.body, nullptr, false)});
           });
}

// Passes the answer to the checker. The job counts as cancelled from the first answer that says so,
// whichever node gave it and whichever request it answers.
JobAnswer SimulatedCluster::record_answer(const std::string& id, const JobAnswer& answer) {
  checker.job_answered(id, answer.status, answer.stage(), time.now());
  if (answer.status == 200 && answer.stage() == "withdrawn" && !checker.jobs[id].cancelled) {
    checker.jobs[id].cancelled = true;
    checker.jobs[id].cancelled_at = time.now();
  }
  return answer;
}

bool SimulatedCluster::reaches(const std::string& id, const std::string& stage, Ms timeout) {
  const Ms end = time.now() + timeout;
  while (time.now() < end) {
    for (const char* node : kNodes)
      if (runs(node) && poll(node, id).stage() == stage) return true;
    time.run_for(500);
  }
  return false;
}

int SimulatedCluster::running_tasks(const std::string& id) const {
  return static_cast<int>(
      std::count_if(checker.running_on.begin(), checker.running_on.end(),
                    [&id](const auto& entry) { return entry.first.job == id; }));
}

int SimulatedCluster::unfinished_tasks(const std::string& id) const {
  int unfinished = 0;
  for (std::uint32_t i = 0; i < checker.jobs.at(id).spec.tasks; ++i)
    unfinished += checker.finished.contains({id, i}) ? 0 : 1;
  return unfinished;
}

int SimulatedCluster::unplaced_tasks(const std::string& id) const {
  int unplaced = 0;
  for (std::uint32_t i = 0; i < checker.jobs.at(id).spec.tasks; ++i)
    unplaced += checker.finished.contains({id, i}) || checker.running_on.contains({id, i}) ? 0 : 1;
  return unplaced;
}

int SimulatedCluster::start_count() const {
  int count = 0;
  for (const auto& [task, starts] : checker.starts) count += starts;
  return count;
}

}  // namespace seampass::fakes
