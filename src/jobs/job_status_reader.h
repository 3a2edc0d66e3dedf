// Jobs as the state service knows them, behind a bounded cache of verdicts, which never change.
#pragma once

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

class JobStatusReader {
 public:
  enum class Found { verdict, open, none, cannot };

  JobStatusReader(state::Client& state, std::size_t most) : state_(state), most_(most) {}

  std::optional<wire::JobStatus> verdict(const std::string& job) {
    const auto it = cache_.find(job);
    if (it == cache_.end()) return std::nullopt;
    order_.splice(order_.begin(), order_, it->second);
    return *it->second;
  }

  void remember(const wire::JobStatus& s) {
    if (cache_.contains(s.id)) return;
    order_.push_front(s);
    cache_[s.id] = order_.begin();
    if (order_.size() <= most_) return;
    cache_.erase(order_.back().id);
    order_.pop_back();
  }

  using Done = std::function<void(Found, const wire::JobStatus&, const state::Item& open)>;

  // For a status query: `cannot` at once if the state service has nothing left for it.
  void query(const std::string& job, Done done) {
    if (const auto v = verdict(job)) return done(Found::verdict, *v, {});
    if (!state_.admit_query()) return done(Found::cannot, {}, {});
    read(job, std::move(done));
  }

  // `open/` is read before `ends/`: a job moves from the first to the second in one transaction, so
  // in this order one that exists can't be missed in both.
  void read(const std::string& job, Done done) {
    if (const auto v = verdict(job)) return done(Found::verdict, *v, {});
    state_.get("open/" + job, [this, job, done = std::move(done)](const state::GetResult& open) {
      wire::JobStatus status;
      status.id = job;
      if (open.outcome == state::Outcome::ok) return done(Found::open, status, open.item);
      if (open.outcome != state::Outcome::missing) return done(Found::cannot, status, {});
      state_.get("ends/" + job, [this, status, done](const state::GetResult& ends) {
        if (ends.outcome == state::Outcome::missing) return done(Found::none, status, {});
        wire::JobStatus s = status;
        try {
          if (ends.outcome == state::Outcome::ok) {
            s.stage = wire::stage_from(wire::text_field(ends.item.value, "stage"));
            s.done = wire::count_field(ends.item.value, "done");
            remember(s);
            return done(Found::verdict, s, {});
          }
        } catch (const wire::Malformed&) {
          // An unreadable record is no answer.
        }
        done(Found::cannot, s, {});
      });
    });
  }

 private:
  state::Client& state_;
  std::size_t most_;
  std::list<wire::JobStatus> order_;
  std::unordered_map<std::string, std::list<wire::JobStatus>::iterator> cache_;
};

}  // namespace seampass::jobs
