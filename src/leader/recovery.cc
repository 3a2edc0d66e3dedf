// The Controller's take-over: what the records say, then news of accepted jobs.
#include <spdlog/spdlog.h>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using state::Outcome;
using state::Urgency;
using wire::Json;

void Controller::load(const std::string& prefix, const std::string& after, bool first) {
  const std::uint64_t term = term_;
  state_.list(prefix, after, [this, term, prefix, after, first](const state::ListResult& r) {
    if (term != term_) return;
    if (r.outcome != Outcome::ok) {
      runtime_.after(net::ms(settings_.report_s / 10), [this, term, prefix, after, first] {
        if (term == term_) load(prefix, after, first);
      });
      return;
    }
    const bool open = prefix == "open/";
    // Jobs accepted from here on come by the watch.
    if (open && first) {
      watched_ = r.revision;
      if (listed_ == 0) listed_ = r.revision;
    }
    for (const state::Item& item : r.items) {
      if (open)
        accepted(item.key.substr(prefix.size()), item.value, item.version);
      else
        take_work(item);
    }
    if (r.more && !r.items.empty()) return load(prefix, r.items.back().key, false);
    if (open && loaded_) return watch();  // listed again after the watch had fallen behind
    if (open) return load("work/", "", true);
    loaded_ = true;
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_) ids.push_back(id);
    for (const std::string& id : ids) {
      JobRecord& job = *jobs_.at(id);
      if (job.ended) {
        for (auto& [task, attempt] : job.attempts) attempt.stop = true;
        erase_if_settled(id);
      } else {
        // Half an attempt in the records: the former leader did not get to start it all.
        if (job.gang() && !job.attempts.empty() &&
            job.attempts.size() + job.finished_count < job.spec.tasks)
          lost_attempt(job);
        maybe_done(job);
      }
    }
    spdlog::info("recovered {} jobs", jobs_.size());
    watch();
    request_pass();
  });
}

void Controller::take_work(const state::Item& item) {
  const std::string rest = item.key.substr(5);
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return;
  const std::string id = rest.substr(0, slash);
  const Json& v = item.value;
  try {
    const auto chunk = static_cast<std::uint32_t>(std::stoul(rest.substr(slash + 1)));
    auto it = jobs_.find(id);
    if (it == jobs_.end()) {
      // Ended, but some of its tasks were not known to be gone.
      auto job = std::make_unique<JobRecord>();
      job->spec.id = id;
      job->spec.team = wire::text_field(v, "team");
      job->spec.cpus = wire::amount_field(v, "cpus");
      job->spec.gpus = wire::amount_field(v, "gpus");
      job->spec.memory_gb = wire::amount_field(v, "memory");
      job->spec.tasks = static_cast<std::uint32_t>(wire::count_field(v, "of"));
      job->ending = job->concluding = job->ended = true;
      job->taken.assign(job->spec.tasks, true);
      job->finished.assign(job->spec.tasks, false);
      it = jobs_.emplace(id, std::move(job)).first;
    }
    JobRecord& job = *it->second;
    records_.found(id, chunk, item.version);
    job.last_attempt = std::max(job.last_attempt, wire::count_field(v, "attempt"));
    const std::string bits = v.value("finished", "");
    const std::uint32_t base = chunk * chunk_tasks_;
    for (std::size_t i = 0; i < bits.size() * 4; ++i) {
      const char c = bits[i / 4];
      const int digit = c <= '9' ? c - '0' : c - 'a' + 10;
      const std::uint32_t task = base + static_cast<std::uint32_t>(i);
      if ((digit >> (i % 4) & 1) != 0 && task < job.spec.tasks && !job.finished[task]) {
        job.finished[task] = job.taken[task] = true;
        ++job.finished_count;
      }
    }
    for (const Json& t : v.at("tasks")) {
      const auto task = t.at(0).get<std::uint32_t>();
      if (task >= job.spec.tasks || job.attempts.contains(task)) continue;
      TaskAttempt& attempt =
          attempts_.add(job, task, t.at(1).get<std::uint64_t>(),
                        fleet_.ensure(t.at(2).get<std::string>()), t.at(3).get<std::uint64_t>());
      attempt.durable = attempt.sent = true;
    }
  } catch (const std::exception& e) {
    spdlog::error("unreadable record {}: {}", item.key, e.what());
  }
}

void Controller::watch() {
  const std::uint64_t term = term_;
  state_.watch("open/", watched_, net::ms(settings_.lease_s),
               [this, term](const state::WatchResult& r) {
                 if (term != term_) return;
                 if (r.outcome == Outcome::missing) {
                   // Too far behind: list again. Jobs known already are not touched.
                   return load("open/", "", true);
                 }
                 if (r.outcome != Outcome::ok) {
                   runtime_.after(net::ms(settings_.report_s / 10), [this, term] {
                     if (term == term_) watch();
                   });
                   return;
                 }
                 watched_ = r.revision;
                 for (const state::Event& e : r.events)
                   if (e.value) accepted(e.key.substr(5), *e.value, e.version);
                 watch();
               });
}

}  // namespace seampass::leader
