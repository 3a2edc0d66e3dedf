// What the SchedulingLoop does at regular intervals: leases that ended, holds, spot notices, making
// way.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/scheduling/scheduling_loop.h"

namespace seampass::leader {

using net::Ms;
using wire::TaskState;

namespace {

// A leader makes way if reports of so large a share of its machines, and at least so many, are
// overdue.
constexpr double kIsolatedShare = 0.9;
constexpr std::size_t kIsolatedLeast = 3;
// Arrivals of a class that are remembered.
constexpr std::size_t kMaxArrivals = 500;

}  // namespace

// No worker reaches this node, though the state service does: each is sent back to it by all others
// until its lease is over. Two ticks in a row, since after standing still everything looks silent
// until the sockets have been read.
bool SchedulingLoop::is_isolated() {
  const Ms now = runtime_.now();
  const bool in_time = now - ticked_ < net::ms(settings_.heartbeat_interval_s);
  ticked_ = now;
  std::size_t due = 0;
  std::size_t silent = 0;
  for (const auto& [name, m] : fleet_.machines()) {
    // (Those that never heard this leader may all be dead, with copies of their reports on the
    // way: making way for that would go round for ever.)
    if (m.deleting || !m.registered) continue;
    ++due;
    silent += fleet_.is_overdue(m) ? 1 : 0;
  }
  const bool most_silent = static_cast<double>(silent) >= kIsolatedShare * static_cast<double>(due);
  isolated_ticks_ = in_time && due >= kIsolatedLeast && most_silent ? isolated_ticks_ + 1 : 0;
  return isolated_ticks_ >= 2;
}

void SchedulingLoop::tick() {
  const Ms due = runtime_.now() + net::ms(settings_.heartbeat_interval_s / 3);
  runtime_.after(due - runtime_.now(), term_.wrap([this, due] {
    lateness_ = runtime_.now() - due;
    tick();
  }));
  if (runtime_.now() >= load_logged_ + net::ms(settings_.lease_s)) log_load();
  if (!may_schedule()) return;
  if (is_isolated() && election_.resign()) return;
  release_expired();
  for (auto& [job_class, a] : arrivals_)
    while (a.recent.size() > kMaxArrivals) a.recent.pop_front();
  std::set<std::string> kept = expire_reservations();
  kept.insert(headroom_machines_.begin(), headroom_machines_.end());
  drain_preempted();
  if (spdlog::should_log(spdlog::level::debug)) log_use();
  fleet_.tick(kept);
  request_pass();
}

// What is on a machine that has been silent for longer than its worker's lease.
void SchedulingLoop::release_expired() {
  const Ms lease = net::ms(settings_.lease_s);
  // Twice the drift of 0.05% each way, and a little.
  const Ms margin = lease / 500 + 50;
  const ExpiryTimes times{lease + margin, net::ms(settings_.cancel_s) + margin};
  std::vector<Machine*> expired;
  for (auto& [name, m] : fleet_.machines()) {
    if (m.attempts.empty()) continue;
    const bool confirmed = m.last_heartbeat_at >= 0 && m.token >= election_.epoch();
    if (attempts_.lease_expired(m, began_, confirmed, times)) expired.push_back(&m);
  }
  for (Machine* m : expired) actions_.release_machine(*m, audit::AbsenceProof::lease_expired);
}

// A gang that has held room for too long gives it back. The machines that are held still.
std::set<std::string> SchedulingLoop::expire_reservations() {
  const Ms now = runtime_.now();
  std::set<std::string> held;
  for (const auto& [id, job] : jobs_) {
    if (!job->reservations.empty() && !job->all_or_nothing &&
        now - job->reservations_since > net::ms(operator_settings_.hold_timeout_s)) {
      job->reservations.clear();
      job->all_or_nothing = true;
      request_pass();
    }
    for (const auto& [task, name] : job->reservations) held.insert(name);
  }
  return held;
}

// Once in a worker's lease.
void SchedulingLoop::log_load() {
  load_logged_ = runtime_.now();
  audit::Load load;
  load.store = state_.counters();
  load.waiting_reads = state_.waiting(state::RequestKind::read);
  load.waiting_writes = state_.waiting(state::RequestKind::write);
  load.backlog = state_.backlog(state::Urgency::progress);
  load.lateness = lateness_;
  load.since_grant = election_.since_grant();
  audit::load(load);
}

// By machine type: what is paid for, and what it is used for.
void SchedulingLoop::log_use() const {
  struct Use {
    int up = 0, booting = 0, idle = 0, closed = 0, starting = 0, waiting = 0, running = 0;
  };
  std::map<std::string, Use> by_type;
  for (const auto& [name, m] : fleet_.machines()) {
    Use& u = by_type[m.type];
    ++(m.registered ? u.up : u.booting);
    if (!m.registered) continue;
    if (m.attempts.empty()) ++u.idle;
    if (m.draining || m.deleting || m.preemption_at) ++u.closed;
    for (const auto& [key, c] : m.attempts)
      ++(c->state == TaskState::running   ? u.running
         : c->state == TaskState::waiting ? u.waiting
                                          : u.starting);
  }
  for (const auto& [type, u] : by_type)
    spdlog::debug(
        "{}: {} up, {} not yet, {} idle, {} closed; tasks {} starting, {} waiting, {} running",
        type, u.up, u.booting, u.idle, u.closed, u.starting, u.waiting, u.running);
}

// Before the cloud takes a spot machine, what can save is told to.
void SchedulingLoop::drain_preempted() {
  const Ms now = runtime_.now();
  std::vector<TaskAttempt*> singles;
  std::map<std::string, JobRecord*> gangs;
  for (auto& [name, m] : fleet_.machines()) {
    if (!m.preemption_at) continue;
    for (const auto& [key, c] : m.attempts) {
      const wire::Job& spec = c->job->spec;
      if (c->stop || !c->sent || spec.checkpoint_s <= 0) continue;
      const double margin = spec.save_s + settings_.gang_peer_s + settings_.heartbeat_interval_s;
      if (now + net::ms(margin) < *m.preemption_at) continue;
      if (c->job->gang()) {
        gangs.emplace(spec.id, c->job);
      } else {
        actions_.stop_to_checkpoint(*c, audit::StopReason::machine_leaving);
        singles.push_back(c);
      }
    }
  }
  actions_.send_stops(singles);
  for (const auto& [id, job] : gangs) {
    actions_.stop_all(*job, job->spec.save_s + settings_.gang_peer_s,
                      audit::StopReason::machine_leaving);
  }
}

}  // namespace seampass::leader
