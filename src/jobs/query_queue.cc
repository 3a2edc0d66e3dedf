#include "jobs/query_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace seampass::jobs {

using net::Ms;

namespace {

// The maximum number of jobs that have a place.
constexpr std::size_t kMaxPlaces = 2000;
// A job keeps its place for this many times the longest wait after its last query.
constexpr Ms kPlaceWaits = 30;
// While queries wait, the queue tries to grant turns this many times within the longest wait.
constexpr Ms kTriesPerWait = 10;
constexpr double kMsPerSecond = 1000;

}  // namespace

QueryQueue::QueryQueue(net::Runtime& runtime, state::Client& state, Ms max_wait)
    : runtime_(runtime),
      state_(state),
      max_wait_(max_wait),
      max_waiting_jobs_(std::max<std::size_t>(
          1, static_cast<std::size_t>(state.min_queries_per_s() * static_cast<double>(max_wait) /
                                      kMsPerSecond))) {}

bool QueryQueue::admit_at_once() { return waiting_jobs_.empty() && state_.admit_query(); }

void QueryQueue::add(const std::string& job, OnTurn on_turn) {
  if (admit_at_once()) {
    places_.erase(job);
    return on_turn(Turn::granted);
  }
  const auto entry = place_of(job);
  if (entry == places_.end()) return on_turn(Turn::refused);
  Place& place = entry->second;
  place.last_asked_at = runtime_.now();
  place.on_turn = std::move(on_turn);
  waiting_jobs_.insert({place.first_asked_at, job});
  schedule_turns();
  // Of too many waiting jobs, the last one has no turn in time.
  if (waiting_jobs_.size() <= max_waiting_jobs_) return;
  const std::string last = std::prev(waiting_jobs_.end())->second;
  end_wait(last)(Turn::refused);
}

QueryQueue::Places::iterator QueryQueue::place_of(const std::string& job) {
  const auto existing = places_.find(job);
  if (existing != places_.end()) return existing;
  if (places_.size() >= kMaxPlaces) forget_abandoned_places();
  if (places_.size() >= kMaxPlaces) return places_.end();
  const Ms now = runtime_.now();
  return places_.try_emplace(job, Place{now, now, nullptr}).first;
}

QueryQueue::OnTurn QueryQueue::end_wait(const std::string& job) {
  Place& place = places_.at(job);
  waiting_jobs_.erase({place.first_asked_at, job});
  return std::exchange(place.on_turn, nullptr);
}

void QueryQueue::schedule_turns() {
  if (waiting_jobs_.empty() || std::exchange(turns_scheduled_, true)) return;
  runtime_.after(std::max<Ms>(1, max_wait_ / kTriesPerWait), [this] {
    turns_scheduled_ = false;
    grant_turns();
    refuse_overdue_queries();
    forget_abandoned_places();
    schedule_turns();
  });
}

void QueryQueue::grant_turns() {
  while (!waiting_jobs_.empty() && state_.admit_query()) {
    const std::string job = waiting_jobs_.begin()->second;
    const OnTurn on_turn = end_wait(job);
    places_.erase(job);
    on_turn(Turn::granted);
  }
}

void QueryQueue::refuse_overdue_queries() {
  const Ms now = runtime_.now();
  std::vector<std::string> overdue;
  for (const auto& [first_asked_at, job] : waiting_jobs_)
    if (now - places_.at(job).last_asked_at >= max_wait_) overdue.push_back(job);
  for (const std::string& job : overdue) end_wait(job)(Turn::refused);
}

void QueryQueue::forget_abandoned_places() {
  const Ms now = runtime_.now();
  std::erase_if(places_, [&](const auto& entry) {
    const Place& place = entry.second;
    return !place.on_turn && now - place.last_asked_at > kPlaceWaits * max_wait_;
  });
}

}  // namespace seampass::jobs
