#include "jobs/upstream_walk.h"

#include <utility>
#include <variant>

namespace seampass::jobs {

namespace {

// Unfinished jobs that are looked up for one answer; a job that depends on more can be answered for
// by the leader alone, which has the whole graph.
constexpr int kMaxReads = 64;

}  // namespace

void UpstreamWalk::start(const Context& context, const std::string& job, OpenJob open,
                         Budget budget, Done done) {
  std::make_shared<UpstreamWalk>(context, job, std::move(open), budget, std::move(done))->run();
}

UpstreamWalk::UpstreamWalk(const Context& context, const std::string& job, OpenJob open,
                           Budget budget, Done done)
    : context_(context), budget_(budget), done_(std::move(done)) {
  result_.status.id = job;
  add(open.dependencies);
  result_.open = std::move(open.record);
}

void UpstreamWalk::add(const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs)
    if (seen_.insert(job).second) next_.push_back(job);
}

void UpstreamWalk::run() {
  while (!next_.empty()) {
    const std::string job = std::move(next_.back());
    next_.pop_back();
    if (const auto known = context_.cache.find(job)) {
      if (known->stage != wire::Stage::cancelled) continue;
      result_.status.stage = wire::Stage::cancelled;
      context_.cache.remember(result_.status, FinalStatusCache::Source::derived);
      return finish(Lookup::ended);
    }
    if (!may_read()) return finish(Lookup::unavailable);
    return context_.reader.read(job, [walk = shared_from_this(), job](const StoredJob& stored) {
      walk->on_read(job, stored);
    });
  }
  finish(Lookup::open);
}

bool UpstreamWalk::may_read() {
  const bool admitted = budget_ == Budget::work || context_.state.admit_query();
  return admitted && ++reads_ <= kMaxReads;
}

void UpstreamWalk::on_read(const std::string& job, const StoredJob& stored) {
  if (const auto* open = std::get_if<OpenJob>(&stored)) {
    add(open->dependencies);
  } else if (std::holds_alternative<EndedJob>(stored)) {
    next_.push_back(job);  // it is in the cache now
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
