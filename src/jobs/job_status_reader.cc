#include "jobs/job_status_reader.h"

#include <utility>
#include <variant>

namespace seampass::jobs {

namespace {

// What a job that is not open was read as.
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
  if (const auto known = cache_.find(job)) return done({Lookup::ended, *known, {}});
  if (!state_.admit_query()) return done({});
  read_open(job, UpstreamWalk::Budget::queries, done);
}

void JobStatusReader::read(const std::string& job, const Done& done) {
  if (const auto known = cache_.find(job)) return done({Lookup::ended, *known, {}});
  read_open(job, UpstreamWalk::Budget::work, done);
}

// A job without a final status may have got one since its open record was listed, or may be open:
// then both are read, in the order that misses nothing.
void JobStatusReader::read_ended(const std::string& job, const Done& done) {
  if (const auto known = cache_.find(job)) return done({Lookup::ended, *known, {}});
  reader_.read_final_status(job, [this, job, done](const StoredJob& stored) {
    if (std::holds_alternative<JobNotFound>(stored))
      return read_open(job, UpstreamWalk::Budget::work, done);
    done(lookup_of(job, stored));
  });
}

void JobStatusReader::read_open(const std::string& job, UpstreamWalk::Budget budget,
                                const Done& done) {
  reader_.read(job, [this, job, budget, done](StoredJob stored) {
    if (auto* open = std::get_if<OpenJob>(&stored))
      return UpstreamWalk::start({state_, cache_, reader_}, job, std::move(*open), budget, done);
    done(lookup_of(job, stored));
  });
}

}  // namespace seampass::jobs
