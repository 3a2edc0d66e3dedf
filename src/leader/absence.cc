// The Controller's proof that an attempt which a report lacks is off its machine: an inspection.
#include <spdlog/spdlog.h>

#include <map>
#include <set>

#include "leader/controller.h"

namespace seampass::leader {

using net::Ms;
using wire::TaskState;

namespace {
// For so long a worker may take the answer to a check-in (by the protocol).
constexpr Ms kAnswerLife = 4000;
}  // namespace

// A report that lacks a task proves nothing by itself: it may have been held up since before the
// machine ended and was back, and its session and count may be above those of the machine's present
// life, in which the task runs. (That a report has the attempt as ended does prove it: attempts are
// numbered once.) So the machine is asked what is on it now, by a request whose answer can come
// from nobody else.
void Controller::confirm_missing(Machine& m) {
  if (m.inspecting || m.deleting) return;
  std::vector<AttemptName> asked;
  for (const auto& [key, c] : m.attempts) {
    // A start that was never seen may be on its way, in the answer to a check-in; the worker takes
    // no answer that is older than this.
    const bool settled = c->seen || runtime_.now() - c->start_sent_at > kAnswerLife;
    if (c->missing && c->in_flight == 0 && settled)
      asked.emplace_back(key.first, key.second, c->attempt);
  }
  if (asked.empty()) return;
  m.inspecting = true;
  const std::uint64_t term = term_;
  workers_.inspect(
      m.addr, [this, term, name = m.name, asked](const std::optional<wire::WorkerReport>& report) {
        Machine* machine = term == term_ ? fleet_.find(name) : nullptr;
        if (!machine) return;
        machine->inspecting = false;
        if (!report || report->machine != name) return unanswered(*machine);
        if (report->token > election_.warrant()) return election_.lost();
        take_inspection(*machine, *report, asked);
      });
}

void Controller::take_inspection(Machine& m, const wire::WorkerReport& report,
                                 const std::vector<AttemptName>& asked) {
  std::map<AttemptName, const wire::TaskReport*> there;
  for (const wire::TaskReport& t : report.tasks) there[{t.job, t.index, t.attempt}] = &t;
  std::vector<TaskAttempt*> gone;
  std::vector<std::pair<AttemptName, wire::TaskReport>> exits;
  for (const AttemptName& name : asked) {
    const auto it = m.attempts.find({std::get<0>(name), std::get<1>(name)});
    if (it == m.attempts.end() || it->second->attempt != std::get<2>(name)) continue;
    TaskAttempt* c = it->second;
    if (!c->missing || c->in_flight > 0) continue;
    const auto found = there.find(name);
    if (found == there.end()) {
      gone.push_back(c);
      continue;
    }
    c->missing = false;
    c->seen = true;
    if (found->second->state == TaskState::exited) exits.emplace_back(name, *found->second);
  }
  release_missing(gone);
  for (const auto& [name, t] : exits) {
    TaskAttempt* c = find_attempt(t.job, t.index);
    if (c && c->attempt == t.attempt && c->machine == &m) task_exited(*c, t);
  }
}

void Controller::release_missing(const std::vector<TaskAttempt*>& missing) {
  std::set<std::string> jobs;
  for (TaskAttempt* c : missing) {
    jobs.insert(c->job->spec.id);
    spdlog::debug("{}/{} try {} is not on {} any more", c->job->spec.id, c->task, c->attempt,
                  c->machine->name);
    release(*c);
  }
  for (const std::string& id : jobs) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    lost_attempt(*it->second);
    const auto again = jobs_.find(id);
    if (again != jobs_.end()) maybe_done(*again->second);
  }
}

}  // namespace seampass::leader
