#include "jobs/stored_job_reader.h"

#include <spdlog/spdlog.h>

#include <exception>
#include <utility>

#include "jobs/final_status.h"
#include "leader/records/keys.h"
#include "wire/user_codec.h"

namespace seampass::jobs {

using state::Outcome;

namespace {

// A record that can't be decoded says nothing about the job's status. The job counts as
// unavailable, so the jobs that depend on it wait.
JobUnavailable log_unreadable(const std::string& key, const std::exception& error) {
  spdlog::error("unreadable record {}: {}", key, error.what());
  return {};
}

StoredJob parse_open_job(state::GetResult result) {
  if (result.outcome != Outcome::ok) return JobUnavailable{};
  try {
    OpenJob open_job;
    open_job.dependencies = wire::job_from(result.item.value.at("job")).dependencies;
    open_job.record = std::move(result.item);
    return open_job;
  } catch (const std::exception& error) {  // wire::Malformed or an exception of the JSON library
    return log_unreadable(result.item.key, error);
  }
}

}  // namespace

// Reads `open/` before `ends/`. One transaction deletes a job's open record and writes its final
// status, so in this order the reads can't miss both records of a job that exists.
void StoredJobReader::read(const std::string& job, state::Urgency urgency, Done done) {
  state_.get(
      leader::open_key(job),
      [this, job, urgency, done = std::move(done)](state::GetResult result) mutable {
        if (result.outcome == Outcome::missing)
          return read_final_status(job, urgency, std::move(done));
        done(parse_open_job(std::move(result)));
      },
      urgency);
}

void StoredJobReader::read_final_status(const std::string& job, state::Urgency urgency, Done done) {
  state_.get(
      leader::final_status_key(job),
      [this, job, done = std::move(done)](const state::GetResult& result) {
        done(on_final_status(job, result));
      },
      urgency);
}

StoredJob StoredJobReader::on_final_status(const std::string& job, const state::GetResult& result) {
  if (result.outcome == Outcome::missing) return JobNotFound{};
  if (result.outcome != Outcome::ok) return JobUnavailable{};
  EndedJob ended;
  ended.status.id = job;
  try {
    const FinalStatus final_status = decode_final_status(result.item.value);
    ended.status.stage = final_status.stage;
    ended.status.done = final_status.done;
  } catch (const wire::Malformed& error) {
    return log_unreadable(result.item.key, error);
  }
  cache_.remember(ended.status, FinalStatusCache::Source::written);
  return ended;
}

}  // namespace seampass::jobs
