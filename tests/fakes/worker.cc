// The workers' protocol has field names of its own, which appear here only in string literals:
// `pour` is a task, `try` is an attempt, `shift` is the incarnation, `tally` is the heartbeat's
// sequence number, `warrant` is the leader's epoch, `orders` are the commands, `verb` is a
// command's kind, and `steward` is the leader. `barrel` and `cellar` are the machine's type and
// zone, and `lent_racks` is true for a spot instance.
#include "fakes/worker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace seampass::fakes {
namespace {

constexpr Ms kHeartbeatTimeout = 4000;
constexpr Ms kRetryPause = 1000;
constexpr Ms kMinHeartbeatPause = 500;  // also after a change
constexpr Ms kPauseAfterNewEpoch = 500;
constexpr Ms kPauseAfterRedirect = 50;
constexpr Ms kGangPollInterval = 100;
constexpr Ms kLeaseCheckInterval = 200;

constexpr std::array kStates{"pulling", "gathering", "running", "saving", "ended"};
constexpr std::array kCauses{"",      "done", "halted", "peers",  "alone",
                             "error", "full", "busy",   "no_such"};

std::string task_name(const TaskKey& key) { return key.job + "/" + std::to_string(key.index); }

TaskKey task_key(const std::string& name) {
  const auto slash = name.find('/');
  return {name.substr(0, slash), static_cast<std::uint32_t>(std::stoul(name.substr(slash + 1)))};
}

}  // namespace

Worker::Worker(SimNet& net, InvariantChecker& checker, WorkerTiming timing, std::string name,
               MachineSpec spec, std::vector<std::string> nodes)
    : net_(net),
      checker_(checker),
      timing_(timing),
      name_(std::move(name)),
      spec_(std::move(spec)),
      nodes_(std::move(nodes)),
      alive_(std::make_shared<bool>(true)),
      lease_start_(net.time().now()) {
  net_.serve(
      endpoint(),
      [this](const net::Request& request, const net::Answer& answer) { handle(request, answer); },
      Connections::end_with_service);
  checker_.machines[name_] = spec_;
  send_heartbeat();
  check_lease_regularly();
}

void Worker::crash() {
  if (!*alive_) return;
  *alive_ = false;
  net_.stop_serving(endpoint());
  drop_all_tasks();
}

void Worker::after(Ms delay, std::function<void()> then) {
  net_.time().after(delay, [alive = alive_, this, then = std::move(then)] {
    if (!*alive) return;
    if (hangs()) return after(hangs_until_ - now(), then);
    then();
  });
}

std::string Worker::heartbeat_body() {
  wire::Json tasks = wire::Json::array();
  for (const auto& [key, task] : tasks_) {
    wire::Json entry{{"pour", task_name(key)},
                     {"try", task.attempt},
                     {"stage", kStates.at(static_cast<std::size_t>(task.state))}};
    if (task.state == wire::TaskState::exited)
      entry["exit_cause"] = kCauses.at(static_cast<std::size_t>(task.cause));
    tasks.push_back(entry);
  }
  return wire::Json{{"host", name_},        {"addr", endpoint()},       {"barrel", spec_.type},
                    {"cellar", spec_.zone}, {"lent_racks", spec_.spot}, {"shift", incarnation_},
                    {"tally", ++sequence_}, {"warrant", epoch_},        {"recall_s", wire::Json()},
                    {"pours", tasks}}
      .dump();
}

void Worker::send_heartbeat() {
  const Ms sent = now();
  const std::uint64_t incarnation = incarnation_;
  heartbeat_in_flight_ = true;
  change_unreported_ = false;
  last_heartbeat_at_ = sent;
  net_.call(
      name_, alive_,
      {nodes_[node_index_] + ":8080", "POST", "/checkin", heartbeat_body(), kHeartbeatTimeout},
      [this, sent, incarnation](const net::Reply& reply) {
        heartbeat_in_flight_ = false;
        last_heartbeat_answered_ = reply.is(200);
        schedule_heartbeat(on_heartbeat_reply(reply, sent, incarnation));
        if (change_unreported_) report_change();
      });
}

void Worker::schedule_heartbeat(Ms pause) {
  after(pause, [this, schedule = ++heartbeat_schedule_] {
    if (schedule == heartbeat_schedule_ && !heartbeat_in_flight_) send_heartbeat();
  });
}

void Worker::report_change() {
  change_unreported_ = true;
  if (heartbeat_in_flight_ || !last_heartbeat_answered_) return;
  schedule_heartbeat(std::max<Ms>(0, last_heartbeat_at_ + kMinHeartbeatPause - now()));
}

Ms Worker::on_heartbeat_reply(const net::Reply& reply, Ms sent, std::uint64_t incarnation) {
  if (hangs()) return kRetryPause;  // counts as lost: the reply is too late once the hang ends
  if (reply.is(200)) {
    checker_.longest_reply = std::max(checker_.longest_reply, reply.body.size());
    const std::uint64_t previous_epoch = epoch_;
    apply_heartbeat_reply(wire::Json::parse(reply.body), sent, incarnation);
    return epoch_ > previous_epoch ? kPauseAfterNewEpoch : timing_.heartbeat_interval;
  }
  if (reply.is(421)) return follow_redirect(reply);
  try_next_node();
  return kRetryPause;
}

Ms Worker::follow_redirect(const net::Reply& reply) {
  const std::string leader = wire::Json::parse(reply.body).value("steward", "");
  const auto it = std::find(nodes_.begin(), nodes_.end(), leader);
  if (it == nodes_.end() || *it == nodes_[node_index_]) {
    try_next_node();
    return kRetryPause;
  }
  node_index_ = static_cast<std::size_t>(it - nodes_.begin());
  return kPauseAfterRedirect;
}

void Worker::apply_heartbeat_reply(const wire::Json& body, Ms sent, std::uint64_t incarnation) {
  const std::uint64_t epoch = body.value("warrant", std::uint64_t{0});
  if (epoch < epoch_ || epoch == 0 || incarnation != incarnation_) return;
  epoch_ = epoch;
  lease_start_ = std::max(lease_start_, sent);
  execute(body.at("orders"));
}

void Worker::handle(const net::Request& request, const net::Answer& answer) {
  if (hangs())
    return after(hangs_until_ - now(), [this, request, answer] { handle(request, answer); });
  if (request.path == "/inspect") return answer({200, heartbeat_body(), 0});
  const auto body = wire::Json::parse(request.body);
  if (body.at("warrant").get<std::uint64_t>() < epoch_ || body.at("shift") != incarnation_)
    return answer({409, heartbeat_body(), 0});
  epoch_ = body.at("warrant");
  execute(body.at("orders"));
  answer({200, heartbeat_body(), 0});
}

void Worker::execute(const wire::Json& commands) {
  for (const auto& command : commands) {
    const TaskKey key = task_key(command.at("pour"));
    const std::uint64_t attempt = command.at("try");
    const auto it = tasks_.find(key);
    if (command.at("verb") == "run") {
      if (it != tasks_.end()) continue;
      start(key, attempt);
    } else if (it == tasks_.end() || it->second.attempt != attempt) {
      continue;
    } else if (command.at("verb") == "halt") {
      if (it->second.state != wire::TaskState::exited) exit(key, wire::ExitCause::stopped);
    } else if (it->second.state == wire::TaskState::exited) {
      tasks_.erase(it);
    }
    report_change();
  }
}

void Worker::start(const TaskKey& key, std::uint64_t attempt) {
  Task& task = tasks_[key];
  task.attempt = attempt;
  task.run_id = ++last_run_id_;
  const auto job = checker_.jobs.find(key.job);
  if (job == checker_.jobs.end() || key.index >= job->second.spec.tasks)
    return exit(key, wire::ExitCause::unknown);
  // A task whose image is on the machine starts at once, so a stop later in the same message comes
  // too late to prevent the start.
  if (images_.contains(checker_.jobs[key.job].spec.image))
    return on_image_fetched(key, task.run_id);
  after(timing_.image_fetch_time,
        [this, key, run_id = task.run_id] { on_image_fetched(key, run_id); });
}

void Worker::on_image_fetched(const TaskKey& key, std::uint64_t run_id) {
  Task* task = find(key, run_id);
  if (task == nullptr) return;
  images_.insert(checker_.jobs[key.job].spec.image);
  task->started = true;
  checker_.task_started(key, name_, now());
  if (checker_.finished.contains(key)) return exit(key, wire::ExitCause::done);
  if (checker_.jobs[key.job].fails_everywhere) return exit(key, wire::ExitCause::error);
  if (next_failure_) return exit(key, *std::exchange(next_failure_, std::nullopt));
  const wire::Job& spec = checker_.jobs[key.job].spec;
  if (spec.kind == wire::JobKind::gang) {
    task->state = wire::TaskState::waiting;
    start_gang_once_complete(key, run_id);
    return;
  }
  task->state = wire::TaskState::running;
  if (spec.kind == wire::JobKind::array) finish_after_run_time(key, run_id, spec);
}

void Worker::start_gang_once_complete(const TaskKey& key, std::uint64_t run_id) {
  Task* task = find(key, run_id);
  if (task == nullptr) return;
  const wire::Job& spec = checker_.jobs[key.job].spec;
  for (std::uint32_t i = 0; i < spec.tasks; ++i)
    if (!checker_.running_on.contains({key.job, i}))
      return after(kGangPollInterval,
                   [this, key, run_id] { start_gang_once_complete(key, run_id); });
  task->state = wire::TaskState::running;
  finish_after_run_time(key, run_id, spec);
}

void Worker::finish_after_run_time(const TaskKey& key, std::uint64_t run_id,
                                   const wire::Job& spec) {
  after(net::ms(spec.estimate_s), [this, key, run_id] {
    if (find(key, run_id) != nullptr) finish(key);
  });
}

void Worker::finish(const TaskKey& key) {
  const wire::Job& spec = checker_.jobs[key.job].spec;
  if (spec.kind == wire::JobKind::gang && !checker_.finished.contains(key)) {
    // All tasks of a gang finish at the same time. If one of them does not run, this task exits
    // with the cause `peers`.
    for (std::uint32_t i = 0; i < spec.tasks; ++i)
      if (!checker_.running_on.contains({key.job, i}))
        return exit(key, wire::ExitCause::gang_task_lost);
    for (std::uint32_t i = 0; i < spec.tasks; ++i) checker_.finished.insert({key.job, i});
  }
  checker_.finished.insert(key);
  exit(key, wire::ExitCause::done);
}

void Worker::exit(const TaskKey& key, wire::ExitCause cause) {
  Task& task = tasks_[key];
  if (task.started) checker_.task_stopped(key, name_, now());
  task.started = false;
  task.state = wire::TaskState::exited;
  task.cause = cause;
}

Worker::Task* Worker::find(const TaskKey& key, std::uint64_t run_id) {
  const auto it = tasks_.find(key);
  const bool is_running = it != tasks_.end() && it->second.run_id == run_id &&
                          it->second.state != wire::TaskState::exited;
  return is_running ? &it->second : nullptr;
}

void Worker::drop_all_tasks() {
  for (const auto& [key, task] : tasks_)
    if (task.started) checker_.task_stopped(key, name_, now());
  tasks_.clear();
}

// Uses the simulation's timer, which a hang does not delay: the tasks of a worker that hangs may
// run until its lease expires and must end then.
void Worker::check_lease_regularly() {
  net_.time().after(kLeaseCheckInterval, [this, alive = alive_] {
    if (!*alive) return;
    if (now() - lease_start_ > timing_.lease) {
      drop_all_tasks();
      ++incarnation_;
      lease_start_ = now();
    }
    check_lease_regularly();
  });
}

}  // namespace seampass::fakes
