#include "jobs/upstream_walk.h"

#include <utility>
#include <variant>

namespace seampass::jobs {

namespace {

// The maximum number of jobs that one walk reads from the state service. If a job depends on more
// unfinished jobs, only the leader can answer for it, because the leader has the whole graph.
constexpr int kMaxReads = 64;

}  // namespace

state::Urgency UpstreamWalk::urgency_of(Budget budget) {
  switch (budget) {
    case Budget::status_queries:
      return state::Urgency::admitted_query;
    case Budget::controller_work:
      return state::Urgency::final_status;
    case Budget::dependencies:
      break;
  }
  return state::Urgency::assignment;
}

void UpstreamWalk::start(const Context& context, const std::string& job, OpenJob open_job,
                         Budget budget, Done done) {
  std::make_shared<UpstreamWalk>(context, job, std::move(open_job), budget, std::move(done))->run();
}

UpstreamWalk::UpstreamWalk(const Context& context, const std::string& job, OpenJob open_job,
                           Budget budget, Done done)
    : context_(context), budget_(budget), done_(std::move(done)) {
  result_.status.id = job;
  enqueue_unseen(open_job.dependencies);
  result_.open_record = std::move(open_job.record);
}

void UpstreamWalk::enqueue_unseen(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs)
    if (seen_.insert(job).second) to_visit_.push_back(job);
}

void UpstreamWalk::run() {
  while (!to_visit_.empty()) {
    const std::string job = std::move(to_visit_.back());
    to_visit_.pop_back();
    if (const auto cached = context_.cache.find(job)) {
      if (cached->stage != wire::Stage::cancelled) continue;
      result_.status.stage = wire::Stage::cancelled;
      context_.cache.remember(result_.status, FinalStatusCache::Source::derived);
      return finish(Lookup::ended);
    }
    if (!admit_read()) return finish(Lookup::unavailable);
    return context_.reader.read(
        job, urgency_of(budget_),
        [walk = shared_from_this(), job](const StoredJob& stored) { walk->on_read(job, stored); });
  }
  finish(Lookup::open);
}

bool UpstreamWalk::admit_read() {
  const bool admitted = budget_ != Budget::status_queries || context_.state.admit_query();
  return admitted && ++reads_ <= kMaxReads;
}

void UpstreamWalk::on_read(const std::string& job, const StoredJob& stored) {
  if (const auto* open_job = std::get_if<OpenJob>(&stored)) {
    enqueue_unseen(open_job->dependencies);
  } else if (std::holds_alternative<EndedJob>(stored)) {
    to_visit_.push_back(job);  // the reader has cached it, so `run` finds it there
  } else {
    return finish(Lookup::unavailable);
  }
  run();
}

void UpstreamWalk::finish(Lookup lookup) {
  result_.lookup = lookup;
  done_(result_);
}

}  // namespace seampass::jobs
