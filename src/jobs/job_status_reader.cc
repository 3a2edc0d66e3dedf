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
  auto& waiting = waiting_queries_[job];
  waiting.push_back(done);
  if (waiting.size() > 1) return;
  queries_.add(job, [this, job](QueryQueue::Turn turn) { on_turn(job, turn); });
}

// The queries that waited for the same job share its turn. A query that arrives later needs a read
// of its own: the job's status may have changed since this read began.
void JobStatusReader::on_turn(const std::string& job, QueryQueue::Turn turn) {
  auto entry = waiting_queries_.extract(job);
  const auto answer_all = [queries = std::move(entry.mapped())](const JobLookup& result) {
    for (const Done& done : queries) done(result);
  };
  if (turn == QueryQueue::Turn::refused) return answer_all({});
  // The job's final status may have become known while the queries waited.
  if (const auto cached = cache_.find(job)) return answer_all({Lookup::ended, *cached, {}});
  read_open(job, UpstreamWalk::Budget::status_queries, answer_all);
}

void JobStatusReader::query_without_waiting(const std::string& job, const Done& done) {
  if (const auto cached = cache_.find(job)) return done({Lookup::ended, *cached, {}});
  if (!queries_.admit_at_once()) return done({});
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
  constexpr auto budget = UpstreamWalk::Budget::dependencies;
  reader_.read_final_status(job, UpstreamWalk::urgency_of(budget),
                            [this, job, done](const StoredJob& stored) {
                              if (std::holds_alternative<JobNotFound>(stored))
                                return read_open(job, budget, done);
                              done(lookup_of(job, stored));
                            });
}

void JobStatusReader::read_open(const std::string& job, UpstreamWalk::Budget budget,
                                const Done& done) {
  reader_.read(job, UpstreamWalk::urgency_of(budget), [this, job, budget, done](StoredJob stored) {
    if (auto* open_job = std::get_if<OpenJob>(&stored))
      return UpstreamWalk::start({state_, cache_, reader_}, job, std::move(*open_job), budget,
                                 done);
    done(lookup_of(job, stored));
  });
}

}  // namespace seampass::jobs
