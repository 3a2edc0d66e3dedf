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

// An unreadable record is no answer, and what depends on the job waits.
JobUnavailable unreadable(const std::string& key, const std::exception& error) {
  spdlog::error("unreadable record {}: {}", key, error.what());
  return {};
}

StoredJob open_job(state::GetResult result) {
  if (result.outcome != Outcome::ok) return JobUnavailable{};
  try {
    OpenJob open;
    open.dependencies = wire::job_from(result.item.value.at("job")).dependencies;
    open.record = std::move(result.item);
    return open;
  } catch (const std::exception& error) {  // wire::Malformed, or the JSON library's own
    return unreadable(result.item.key, error);
  }
}

}  // namespace

// `open/` is read before `ends/`: a job moves from the first to the second in one transaction, so
// in this order one that exists can't be missed in both.
void StoredJobReader::read(const std::string& job, Done done) {
  state_.get(leader::open_key(job),
             [this, job, done = std::move(done)](state::GetResult result) mutable {
               if (result.outcome == Outcome::missing)
                 return read_final_status(job, std::move(done));
               done(open_job(std::move(result)));
             });
}

void StoredJobReader::read_final_status(const std::string& job, Done done) {
  state_.get(leader::final_status_key(job),
             [this, job, done = std::move(done)](const state::GetResult& result) {
               done(on_final_status(job, result));
             });
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
    return unreadable(result.item.key, error);
  }
  cache_.remember(ended.status, FinalStatusCache::Source::written);
  return ended;
}

}  // namespace seampass::jobs
