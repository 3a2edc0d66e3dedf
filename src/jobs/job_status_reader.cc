#include "jobs/job_status_reader.h"

#include <utility>
#include <variant>

namespace seampass::jobs {

namespace {

// Converts the record that was read for a job that is not open. JobUnavailable leaves the default,
// `unavailable`.
JobLookup lookup_of(const std::string& job, const StoredJob& stored) {
  JobLookup result;
  result.status.id = job;
  if (const auto* ended = std::get_if<EndedJob>(&stored)) {
    result.lookup = Lookup::ended;
    result.status = ended->status;
  } else if (std::holds_alternative<JobNotFound>(stored)) {
    result.lookup = Lookup::not_found;
  }
  return result;
}

}  // namespace

void JobStatusReader::query(const std::string& job, const Done& done) {
  if (const auto cached = cache_.find(job)) return done({Lookup::ended, *cached, {}});
  if (!state_.admit_query()) return done({});
  read_open(job, UpstreamWalk::Budget::status_queries, done);
}

void JobStatusReader::read(const std::string& job, const Done& done) {
  if (const auto cached = cache_.find(job)) return done({Lookup::ended, *cached, {}});
  read_open(job, UpstreamWalk::Budget::controller_work, done);
}

// The job may have ended since its open record was listed, so its final status is read first. A job
// without one may be open, or may have ended after that read. Then both records are read, in the
// order that can't miss an existing job (see StoredJobReader::read).
void JobStatusReader::read_final_status_first(const std::string& job, const Done& done) {
  if (const auto cached = cache_.find(job)) return done({Lookup::ended, *cached, {}});
  reader_.read_final_status(job, [this, job, done](const StoredJob& stored) {
    if (std::holds_alternative<JobNotFound>(stored))
      return read_open(job, UpstreamWalk::Budget::controller_work, done);
    done(lookup_of(job, stored));
  });
}

void JobStatusReader::read_open(const std::string& job, UpstreamWalk::Budget budget,
                                const Done& done) {
  reader_.read(job, [this, job, budget, done](StoredJob stored) {
    if (auto* open_job = std::get_if<OpenJob>(&stored))
      return UpstreamWalk::start({state_, cache_, reader_}, job, std::move(*open_job), budget,
                                 done);
    done(lookup_of(job, stored));
  });
}

}  // namespace seampass::jobs
