#include "jobs/job_status_reader.h"

#include <spdlog/spdlog.h>

#include <memory>
#include <unordered_set>
#include <utility>

#include "jobs/final_status.h"
#include "leader/records/keys.h"

namespace seampass::jobs {

using state::Outcome;
using wire::Stage;

namespace {

// Unfinished jobs that are looked up for one answer; a job that depends on more can be answered for
// by the leader alone, which has the whole graph.
constexpr int kMostUpstreamReads = 64;

// Throws wire::Malformed, or the JSON library's own error.
std::vector<std::string> dependencies_of(const state::Item& open) {
  return wire::job_from(open.value.at("job")).dependencies;
}

}  // namespace

std::optional<wire::JobStatus> JobStatusReader::final_status(const std::string& job) {
  const auto entry = cache_.find(job);
  if (entry == cache_.end()) return std::nullopt;
  order_.splice(order_.begin(), order_, entry->second);
  return entry->second->status;
}

bool JobStatusReader::written(const std::string& job) const {
  const auto entry = cache_.find(job);
  return entry != cache_.end() && entry->second->source == Source::written;
}

void JobStatusReader::remember(const wire::JobStatus& status, Source source) {
  const auto entry = cache_.find(status.id);
  if (entry != cache_.end()) {
    if (source == Source::written) entry->second->source = source;
    return;
  }
  order_.push_front({status, source});
  cache_[status.id] = order_.begin();
  if (order_.size() <= most_) return;
  cache_.erase(order_.back().status.id);
  order_.pop_back();
}

void JobStatusReader::query(const std::string& job, const Done& done) {
  if (const auto known = final_status(job)) return done(Lookup::ended, *known, {});
  if (!state_.admit_query()) return done(Lookup::unavailable, {}, {});
  read_open(job, Purpose::query, done);
}

void JobStatusReader::read(const std::string& job, const Done& done) {
  if (const auto known = final_status(job)) return done(Lookup::ended, *known, {});
  read_open(job, Purpose::other, done);
}

// (A job that is not in `ends/` may have moved there since its `open/` was listed, or may be open:
// then both are read, in the order that misses nothing.)
void JobStatusReader::read_ended(const std::string& job, Done done) {
  if (const auto known = final_status(job)) return done(Lookup::ended, *known, {});
  read_final(job, [this, job, done = std::move(done)](Lookup found, const wire::JobStatus& status,
                                                      const state::Item& item) {
    if (found == Lookup::not_found) return read_open(job, Purpose::other, done);
    done(found, status, item);
  });
}

// A chain of dependencies that is being walked upwards from one open job.
struct JobStatusReader::UpstreamWalk {
  state::Item open;
  wire::JobStatus status;
  Purpose purpose = Purpose::other;
  Done done;
  std::vector<std::string> next;
  std::unordered_set<std::string> seen;
  int reads = 0;

  void add(const std::vector<std::string>& jobs) {
    for (const std::string& job : jobs)
      if (seen.insert(job).second) next.push_back(job);
  }
};

void JobStatusReader::read_open(const std::string& job, Purpose purpose, const Done& done) {
  const auto on_open = [this, job, purpose, done](const state::Item& open,
                                                  const std::vector<std::string>& dependencies) {
    const auto walk = std::make_shared<UpstreamWalk>();
    walk->open = open;
    walk->status.id = job;
    walk->purpose = purpose;
    walk->done = done;
    walk->add(dependencies);
    walk_upstream(walk);
  };
  read_record(job, on_open, done);
}

// `open/` is read before `ends/`: a job moves from the first to the second in one transaction, so
// in this order one that exists can't be missed in both.
void JobStatusReader::read_record(const std::string& job, OnOpen on_open, Done otherwise) {
  const std::string key = leader::open_key(job);
  state_.get(key, [this, job, on_open = std::move(on_open),
                   otherwise = std::move(otherwise)](const state::GetResult& open) {
    if (open.outcome == Outcome::missing) return read_final(job, otherwise);
    wire::JobStatus status;
    status.id = job;
    if (open.outcome != Outcome::ok) return otherwise(Lookup::unavailable, status, {});
    std::vector<std::string> dependencies;
    try {
      dependencies = dependencies_of(open.item);
    } catch (const std::exception& error) {
      // An unreadable record is no answer.
      spdlog::error("unreadable record {}: {}", open.item.key, error.what());
      return otherwise(Lookup::unavailable, status, {});
    }
    on_open(open.item, dependencies);
  });
}

void JobStatusReader::read_final(const std::string& job, Done done) {
  const std::string key = leader::final_status_key(job);
  state_.get(key, [this, job, done = std::move(done)](const state::GetResult& ends) {
    wire::JobStatus status;
    status.id = job;
    if (ends.outcome == Outcome::missing) return done(Lookup::not_found, status, {});
    if (ends.outcome != Outcome::ok) return done(Lookup::unavailable, status, {});
    try {
      const FinalStatus final_status = decode_final_status(ends.item.value);
      status.stage = final_status.stage;
      status.done = final_status.done;
    } catch (const wire::Malformed& error) {
      // An unreadable record is no answer, and what depends on the job waits.
      spdlog::error("unreadable record {}: {}", ends.item.key, error.what());
      return done(Lookup::unavailable, status, {});
    }
    remember(status, Source::written);
    done(Lookup::ended, status, {});
  });
}

// One job of the walk at a time. Its answer is not `open` before every job upstream was seen.
void JobStatusReader::walk_upstream(const std::shared_ptr<UpstreamWalk>& walk) {
  while (!walk->next.empty()) {
    const std::string job = std::move(walk->next.back());
    walk->next.pop_back();
    if (const auto known = final_status(job)) {
      if (known->stage != Stage::cancelled) continue;
      walk->status.stage = Stage::cancelled;
      remember(walk->status, Source::derived);
      return walk->done(Lookup::ended, walk->status, {});
    }
    const bool admitted = walk->purpose == Purpose::other || state_.admit_query();
    if (!admitted || ++walk->reads > kMostUpstreamReads)
      return walk->done(Lookup::unavailable, walk->status, {});
    const auto on_open = [this, walk](const state::Item&,
                                      const std::vector<std::string>& dependencies) {
      walk->add(dependencies);
      walk_upstream(walk);
    };
    return read_record(job, on_open, [this, walk, job](Lookup found, const auto&, const auto&) {
      if (found != Lookup::ended) return walk->done(Lookup::unavailable, walk->status, {});
      walk->next.push_back(job);  // it is in the cache now
      walk_upstream(walk);
    });
  }
  walk->done(Lookup::open, walk->status, walk->open);
}

}  // namespace seampass::jobs
