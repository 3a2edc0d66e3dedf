// The Controller's attempts: what is on which machine, what its worker reports, and what it is
// told.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using sched::need_of;
using state::Urgency;
using wire::ExitCause;
using wire::TaskState;
using wire::Verb;

namespace {
// Attempts on one machine that can't be forgotten, since their starts may come once more: they make
// its reports longer.
constexpr std::size_t kMostLeft = 8;
// A machine on which so many jobs failed that do not fail elsewhere is returned.
constexpr std::size_t kMostFailed = 3;
}  // namespace

TaskAttempt& Controller::add_attempt(JobRecord& job, std::uint32_t task, std::uint64_t attempt,
                                     Machine& machine, std::uint64_t session) {
  TaskAttempt& c = job.attempts[task];
  c.job = &job;
  c.task = task;
  c.attempt = attempt;
  c.machine = &machine;
  c.session = session;
  job.taken[task] = true;
  machine.attempts[{job.spec.id, task}] = &c;
  team_use_[job.spec.team] += need_of(job.spec);
  machine.stale = true;
  return c;
}

TaskAttempt* Controller::find_attempt(const std::string& job, std::uint32_t task) {
  const auto j = jobs_.find(job);
  if (j == jobs_.end()) return nullptr;
  const auto c = j->second->attempts.find(task);
  return c == j->second->attempts.end() ? nullptr : &c->second;
}

void Controller::set_state(TaskAttempt& c, TaskState state) {
  if (c.state == state) return;
  if (c.state == TaskState::running) --c.job->running;
  c.state = state;
  c.machine->stale = true;
  if (c.state != TaskState::running) return;
  ++c.job->running;
  if (c.running_since == 0) c.running_since = runtime_.now();
  if (c.job->running == c.job->spec.tasks) spdlog::debug("all of {} run", c.job->spec.id);
}

void Controller::release(TaskAttempt& c) {
  JobRecord& job = *c.job;
  const std::uint32_t task = c.task;
  set_state(c, TaskState::exited);
  c.machine->attempts.erase({job.spec.id, task});
  c.machine->idle_since = runtime_.now();
  c.machine->stale = true;
  team_use_[job.spec.team] -= need_of(job.spec);
  job.attempts.erase(task);
  if (!job.ended) job.taken[task] = job.finished[task];
  job.hint = std::min(job.hint, task);
  const std::string id = job.spec.id;
  records_.changed(id, chunk_of(task), Urgency::progress);
  erase_if_settled(id);
  request_pass();
}

// A gang's attempt is over for all its tasks once it is for one.
void Controller::lost_attempt(JobRecord& job) {
  if (!job.gang() || job.ended || job.attempts.empty()) return;
  stop_all(job, 0);
}

void Controller::stop_attempt(TaskAttempt& c, double grace_s) {
  if (c.stop) return;
  c.stop = true;
  c.machine->stale = true;
  c.grace_s = grace_s;
  c.stop_since = runtime_.now();
}

// Long enough to save, and for the order to arrive.
void Controller::stop_to_save(TaskAttempt& c) {
  stop_attempt(c, c.job->spec.save_s + settings_.report_s / 3);
}

// `again`: also what was told to stop before, with this grace now.
void Controller::stop_all(JobRecord& job, double grace_s, bool again) {
  std::vector<TaskAttempt*> fresh;
  std::vector<TaskAttempt*> unsent;
  for (auto& [task, c] : job.attempts) {
    if (c.stop && !again) continue;
    stop_attempt(c, grace_s);
    c.grace_s = grace_s;
    (c.sent ? fresh : unsent).push_back(&c);
  }
  send_stops(fresh);
  // Never told to any worker: off already.
  for (TaskAttempt* c : unsent) release(*c);
}

void Controller::send_stops(const std::vector<TaskAttempt*>& attempts) {
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  for (TaskAttempt* c : attempts)
    by_machine[c->machine].push_back(
        {Verb::stop, c->job->spec.id, c->task, c->attempt, c->grace_s});
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
}

void Controller::machine_gone(Machine& machine) {
  std::vector<TaskAttempt*> list;
  for (const auto& [key, c] : machine.attempts) list.push_back(c);
  std::set<std::string> gangs;
  for (TaskAttempt* c : list) {
    if (c->job->gang()) gangs.insert(c->job->spec.id);
    release(*c);
  }
  for (const std::string& id : gangs) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) lost_attempt(*it->second);
  }
}

// Its place in the snapshot is free for another.
void Controller::forget_machine(Machine& machine) {
  machine_gone(machine);
  if (machine.slot == Machine::kNoSlot) return;
  snapshot_.machines[machine.slot] = {};
  free_slots_.push_back(machine.slot);
}

// ---- Workers ----

CheckinAnswer Controller::checkin(const wire::WorkerReport& report) {
  if (!active_ || !election_.may_answer()) return {503, "{}"};
  if (report.token > election_.warrant()) {  // another leads already
    election_.lost();
    return {503, "{}"};
  }
  if (fleet_.deleted(report.machine)) return {503, "{}"};  // only late reports come from it
  Machine& m = fleet_.ensure(report.machine);
  if (m.type.empty() || m.addr.empty()) {
    m.addr = report.addr;
    m.type = report.type;
    m.zone = report.zone;
    m.spot = report.spot;
  }
  const std::pair checkin{report.session, report.seq};
  if (report.token < election_.warrant()) {
    // It has not heard this leader. Or it is a late copy, perhaps from a former life of the machine
    // with more sessions than this one: so it is answered, to be heard, and proves nothing.
    // A worker keeps the highest warrant that it has seen; one that shows less than before is a
    // copy, or has begun anew, and what it had is given up like that of any silent machine.
    if (report.token < m.token || checkin == m.last_unconfirmed_heartbeat) return {503, "{}"};
    m.last_unconfirmed_heartbeat = checkin;
    m.heard = runtime_.now();
    if (m.first_heartbeat_at < 0) m.first_heartbeat_at = runtime_.now();
    return {200, wire::checkin_answer(election_.warrant(), {})};
  }
  if (report.session < m.session) return {503, "{}"};
  // A copy that comes late is no sign of life: its worker got the answer to the first, or none. But
  // it may also be a machine that ended and was back at once, counting from the start again. So it
  // gets no answer that renews a lease: every one that does must count as heard.
  if (checkin <= m.checkin) return {503, "{}"};
  m.heard = runtime_.now();
  m.checkin = checkin;
  if (m.first_heartbeat_at < 0) m.first_heartbeat_at = runtime_.now();
  // (The answer to a command may have overtaken it.)
  const bool newer = report.session > m.session || report.seq > m.seq;
  if (!loaded_ || !newer) return {200, wire::checkin_answer(election_.warrant(), {})};
  take_report(m, report, true);
  return {200, wire::checkin_answer(election_.warrant(), orders_for(m, report))};
}

void Controller::take_report(Machine& m, const wire::WorkerReport& report, bool checkin) {
  const bool newer =
      report.session > m.session || (report.session == m.session && report.seq > m.seq);
  if (!newer || report.token < election_.warrant()) return;
  if (report.session > m.session) m.started.clear();
  m.session = report.session;
  m.seq = report.seq;
  m.token = report.token;
  if (!m.up) {  // it lives now, and hears us
    m.up = true;
    m.idle_since = runtime_.now();
    request_pass();
  }
  if (report.notice_s) {
    m.taken_at = runtime_.now() + net::ms(*report.notice_s);
  } else {
    m.taken_at.reset();
  }
  std::vector<TaskAttempt*> absent;
  std::set<std::pair<std::string, std::uint32_t>> present;
  std::vector<std::pair<TaskAttempt*, wire::TaskReport>> exits;
  m.unknown_tasks = 0;
  m.exited.clear();
  for (const wire::TaskReport& t : report.tasks) {
    if (t.state == TaskState::exited) m.exited.insert({t.job, t.index, t.attempt});
    const auto it = m.attempts.find({t.job, t.index});
    TaskAttempt* c = it == m.attempts.end() ? nullptr : it->second;
    if (c && c->attempt != t.attempt) c = nullptr;
    if (!c && t.state != TaskState::exited) {
      // Nothing should be here. If the job is open and the task free, it is charged again, so that
      // it is started nowhere else; in any case the machine takes nothing until it is settled.
      const auto j = jobs_.find(t.job);
      if (j != jobs_.end() && t.index < j->second->spec.tasks &&
          !j->second->attempts.contains(t.index)) {
        JobRecord& job = *j->second;
        c = &add_attempt(job, t.index, t.attempt, m, m.session);
        c->durable = c->sent = true;
        job.last_attempt = std::max(job.last_attempt, t.attempt);
        records_.changed(t.job, chunk_of(t.index), Urgency::assignment);
        if (job.ending || job.finished[t.index] || job.gang()) stop_attempt(*c, 0);
      } else {
        ++m.unknown_tasks;
      }
    }
    if (!c) continue;
    present.insert({t.job, t.index});
    if (!c->seen) m.unresponsive_since.reset();
    c->seen = true;
    c->missing = false;
    const auto& image = c->job->spec.image;
    if (t.state == TaskState::exited) {
      exits.emplace_back(c, t);
    } else {
      if (t.state != TaskState::fetching && m.images.insert(image).second) m.stale = true;
      set_state(*c, t.state);
    }
  }
  bool any_missing = false;
  for (const auto& [key, c] : m.attempts) {
    if (present.contains(key)) continue;
    // Its session is over, or the machine has begun anew with fewer; or it was there, and a
    // check-in lacks it.
    c->missing = c->missing || c->session != m.session || (checkin && c->seen);
    any_missing = any_missing || c->missing;
  }
  // Releasing can end jobs and move others, so what follows goes by name.
  std::set<std::string> touched;
  for (auto& [c, t] : exits) {
    touched.insert(t.job);
    task_exited(*c, t);
  }
  for (const std::string& id : touched) {
    const auto it = jobs_.find(id);
    if (it != jobs_.end()) maybe_done(*it->second);
  }
  if (m.draining && m.attempts.empty() && !m.deleting) fleet_.remove(m);
  if (any_missing) confirm_missing(m);
}

// A late copy of a start finds the attempt for as long as the worker knows it, and does nothing.
// Once it is forgotten the copy would start it again: an attempt that ended without a result while
// another runs elsewhere, and any of a cancelled job. (One that is done would only say so again,
// but its job may be cancelled yet.)
bool Controller::may_forget(const Machine& m, const wire::TaskReport& t) const {
  if (!m.started.contains({t.job, t.index, t.attempt})) return true;
  if (t.cause != ExitCause::done) return false;
  const auto j = jobs_.find(t.job);
  if (j != jobs_.end() && !j->second->ended) return false;
  const auto verdict = status_reader_.verdict(t.job);
  return verdict && verdict->stage == wire::Stage::done;
}

// The machine is the likelier culprit, unless the job fails elsewhere as well, with nothing of it
// done in between: then nothing is held against any machine that it failed on.
void Controller::record_failure(JobRecord& job, Machine& m) {
  job.failed_on.insert(m.name);
  if (job.broken()) {
    for (const std::string& name : job.failed_on) {
      Machine* other = fleet_.find(name);
      if (other && other->failed_jobs.erase(job.spec.id) != 0 && other->failed_jobs.empty())
        other->suspect_until = 0;
    }
    return;
  }
  m.failed_jobs.insert(job.spec.id);
  m.suspect_until = runtime_.now() + net::ms(settings_.lease_s);
  if (m.failed_jobs.size() >= kMostFailed) m.draining = true;
}

void Controller::task_exited(TaskAttempt& c, const wire::TaskReport& t) {
  JobRecord& job = *c.job;
  Machine& m = *c.machine;
  const Ms now = runtime_.now();
  const Ms report = net::ms(settings_.report_s);
  const bool gang = job.gang();
  const bool told = c.stop;
  spdlog::debug("{}/{} try {} on {} ended, cause {} told {}", job.spec.id, c.task, c.attempt,
                m.name, static_cast<int>(t.cause), told);
  if (t.cause == ExitCause::done) {
    m.images.insert(job.spec.image);
    m.failed_jobs.clear();
    job.failures = 0;
    job.failed_on.clear();
    if (job.spec.kind != wire::JobKind::service) {
      if (gang) {
        // They complete together: one that is done says so of all.
        for (std::uint32_t i = 0; i < job.spec.tasks; ++i) finish_task(job, i);
      } else {
        finish_task(job, c.task);
      }
    }
    maybe_done(job);
    release(c);
    return;
  }
  switch (t.cause) {
    case ExitCause::error:
      ++job.failures;
      record_failure(job, m);
      job.retry_at =
          now + std::min(report * (1 << std::min(job.failures, 5)), net::ms(settings_.lease_s));
      break;
    case ExitCause::unknown:
    case ExitCause::busy:
      job.retry_at = now + report;
      break;
    case ExitCause::no_room:
      m.suspect_until = now + report;
      break;
    default:
      break;
  }
  const std::string id = job.spec.id;
  if (m.started.contains({id, c.task, c.attempt})) job.unreaped_attempts.insert({c.task, m.name});
  release(c);
  const auto it = jobs_.find(id);
  if (gang && it != jobs_.end()) lost_attempt(*it->second);
}

std::vector<wire::Command> Controller::orders_for(Machine& m, const wire::WorkerReport& report) {
  std::vector<wire::Command> orders;
  std::set<std::pair<std::string, std::uint32_t>> present;
  const Ms now = runtime_.now();
  for (const wire::TaskReport& t : report.tasks) {
    const auto it = m.attempts.find({t.job, t.index});
    const TaskAttempt* c =
        it == m.attempts.end() || it->second->attempt != t.attempt ? nullptr : it->second;
    if (t.state == TaskState::exited) {
      // Forgotten only after the record of its end is durable.
      if (!c && records_.settled(t.job, chunk_of(t.index)) && may_forget(m, t)) {
        m.started.erase({t.job, t.index, t.attempt});
        orders.push_back({Verb::forget, t.job, t.index, t.attempt, 0});
      }
      continue;
    }
    if (!c) {
      orders.push_back({Verb::stop, t.job, t.index, t.attempt, 0});
      continue;
    }
    present.insert({t.job, t.index});
    if (c->stop) {
      const bool overdue = now - c->stop_since > net::ms(c->grace_s + 2 * settings_.gang_peer_s);
      orders.push_back({Verb::stop, t.job, t.index, t.attempt, overdue ? 0 : c->grace_s});
    }
  }
  if (!election_.holds()) return orders;
  for (const auto& [key, c] : m.attempts) {
    if (present.contains(key) || !c->durable || c->in_flight > 0 || c->seen) continue;
    if (c->session != m.session) continue;
    if (c->stop) {
      c->start_sent_at = runtime_.now();
      // It was never seen, and its start may come at any time. Started and stopped in one go, the
      // attempt is known to the worker, the late start does nothing, and the next report has it as
      // ended.
      orders.push_back({Verb::start, key.first, key.second, c->attempt, 0});
      orders.push_back({Verb::stop, key.first, key.second, c->attempt, 0});
      continue;
    }
    if (c->job->ending) continue;
    c->sent = true;
    c->start_sent_at = runtime_.now();
    orders.push_back({Verb::start, key.first, key.second, c->attempt, 0});
  }
  return orders;
}

void Controller::send(Machine& m, const std::vector<wire::Command>& commands) {
  if (m.addr.empty() || !m.up) return;  // the next check-in carries them
  std::vector<AttemptName> starts;
  for (const wire::Command& cmd : commands)
    if (cmd.verb == Verb::start) starts.emplace_back(cmd.job, cmd.index, cmd.attempt);
  const std::uint64_t term = term_;
  const std::uint64_t session = m.session;
  const std::string name = m.name;
  m.started.insert(starts.begin(), starts.end());
  // A worker that began anew just now runs what it is told until its own lease is over, whether its
  // answer comes or not.
  if (!starts.empty()) m.last_command_ack_at = runtime_.now();
  workers_.send(
      m.addr, election_.warrant(), session, commands,
      [this, term, name, starts](workers::Sent sent,
                                 const std::optional<wire::WorkerReport>& report) {
        if (term != term_) return;
        for (const auto& [id, task, attempt] : starts) {
          TaskAttempt* c = find_attempt(id, task);
          if (c && c->attempt == attempt) --c->in_flight;
        }
        Machine* machine = fleet_.find(name);
        if (!machine) return;
        // Certainly not executed, and no copy of it ever will be.
        if (sent == workers::Sent::not_sent || sent == workers::Sent::rejected)
          for (const AttemptName& s : starts) machine->started.erase(s);
        if (sent == workers::Sent::executed || (sent == workers::Sent::unknown && !starts.empty()))
          machine->last_command_ack_at = runtime_.now();
        if (sent == workers::Sent::unknown || sent == workers::Sent::not_sent)
          unanswered(*machine);
        else
          machine->unresponsive_since.reset();
        if (!report || report->machine != name) return;
        if (report->token > election_.warrant()) return election_.lost();
        take_report(*machine, *report, false);
      });
}

// A machine can be heard and yet not hear us. New starts avoid it for a while; if it is the same
// then, it takes nothing more, and is returned once nothing is known to run on it.
void Controller::unanswered(Machine& m) {
  const Ms now = runtime_.now();
  const Ms pause = net::ms(settings_.lease_s) / 2;
  m.suspect_until = std::max(m.suspect_until, now + pause);
  if (!m.unresponsive_since) m.unresponsive_since = now;
  if (now - *m.unresponsive_since < pause || m.deleting) return;
  m.draining = true;
  const bool idle = std::none_of(m.attempts.begin(), m.attempts.end(), [](const auto& entry) {
    return entry.second->seen && !entry.second->missing;
  });
  if (idle) fleet_.remove(m);
}

void Controller::starts_durable(const std::string& id,
                                const std::vector<std::pair<std::uint32_t, std::uint64_t>>& tasks) {
  const auto j = jobs_.find(id);
  if (j == jobs_.end()) return;
  std::map<Machine*, std::vector<wire::Command>, ByName> by_machine;
  std::vector<TaskAttempt*> off;
  for (const auto& [task, attempt] : tasks) {
    const auto it = j->second->attempts.find(task);
    if (it == j->second->attempts.end() || it->second.attempt != attempt) continue;
    TaskAttempt& c = it->second;
    c.durable = true;
    if (c.stop || c.sent || j->second->ending || !election_.holds()) continue;
    // Each start that goes there by itself leaves an attempt that can't be forgotten for long.
    // Those beyond the bound travel in the answer to the next check-in, of which no copy comes
    // late.
    if (c.machine->started.size() >= kMostLeft) continue;
    if (c.machine->session != c.session) {
      off.push_back(&c);  // never sent, and void now
      continue;
    }
    c.sent = true;
    c.start_sent_at = runtime_.now();
    ++c.in_flight;
    auto& commands = by_machine[c.machine];
    // An earlier attempt that ended there would make this one `busy`. The record that is durable
    // now no longer has it, so it may be forgotten.
    for (auto e = c.machine->exited.lower_bound({id, task, 0});
         e != c.machine->exited.end() && std::get<0>(*e) == id && std::get<1>(*e) == task; ++e)
      if (!c.machine->started.contains(*e))
        commands.push_back({Verb::forget, id, task, std::get<2>(*e), 0});
    commands.push_back({Verb::start, id, task, attempt, 0});
  }
  for (const auto& [machine, commands] : by_machine) send(*machine, commands);
  const bool gang = j->second->gang();
  for (TaskAttempt* c : off) release(*c);
  const auto again = jobs_.find(id);
  if (gang && !off.empty() && again != jobs_.end()) lost_attempt(*again->second);
}

}  // namespace seampass::leader
