// A fake of the worker on a machine, written from its published protocol. CloudService owns one for
// each machine that is up. Times are in simulated milliseconds.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fakes/invariant_checker.h"
#include "fakes/sim_net.h"
#include "wire/codec.h"

namespace seampass::fakes {

struct WorkerTiming {
  Ms heartbeat_interval = 0;
  // The worker ends all its tasks once this time has passed since it sent the last heartbeat that
  // was answered.
  Ms lease = 0;
  // The time from the command to start a task until the task starts.
  Ms image_fetch_time = 300;
};

// The worker of one machine, from the machine's boot on. It reports to the checker each task that
// starts or stops. The jobs in the checker define how long the tasks run and whether they fail.
class Worker {
 public:
  Worker(SimNet& net, InvariantChecker& checker, WorkerTiming timing, std::string name,
         MachineSpec spec, std::vector<std::string> nodes);
  ~Worker() { crash(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // Switches the machine off permanently. Its tasks end with it.
  void crash();
  // Makes the next task that starts on this machine exit immediately with `cause`.
  void fail_next(wire::ExitCause cause) { next_failure_ = cause; }
  // Suspends the worker's process for `duration`. Requests that arrive in this time are handled
  // afterwards, in order. The lease is not suspended: when it expires during the hang, all tasks
  // end.
  void hang(Ms duration) { hangs_until_ = now() + duration; }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitCause cause = wire::ExitCause::none;
    bool started = false;
    std::uint64_t run_id = 0;  // distinguishes this run from earlier runs of the same task
  };

  [[nodiscard]] Ms now() const { return net_.time().now(); }
  [[nodiscard]] bool hangs() const { return now() < hangs_until_; }
  [[nodiscard]] std::string endpoint() const { return name_ + ":9000"; }
  // Calls `then` after `delay`, or at the end of a hang if that is later. Does not call it once the
  // machine is off.
  void after(Ms delay, std::function<void()> then);

  std::string heartbeat_body();
  void send_heartbeat();
  void schedule_heartbeat(Ms pause);
  // Sends the next heartbeat early, because the list of tasks has changed.
  void report_change();
  // Handles the reply to a heartbeat. Returns the pause before the next heartbeat.
  Ms on_heartbeat_reply(const net::Reply& reply, Ms sent, std::uint64_t incarnation);
  // Directs heartbeats to the node that the reply names as leader, or to the next node if it names
  // no other. Returns the pause before the next heartbeat.
  Ms follow_redirect(const net::Reply& reply);
  void try_next_node() { node_index_ = (node_index_ + 1) % nodes_.size(); }
  void apply_heartbeat_reply(const wire::Json& body, Ms sent, std::uint64_t incarnation);

  void handle(const net::Request& request, const net::Answer& answer);
  void execute(const wire::Json& commands);

  void start(const TaskKey& key, std::uint64_t attempt);
  void on_image_fetched(const TaskKey& key, std::uint64_t run_id);
  void start_gang_once_complete(const TaskKey& key, std::uint64_t run_id);
  void finish_after_run_time(const TaskKey& key, std::uint64_t run_id, const wire::Job& spec);
  void finish(const TaskKey& key);
  void exit(const TaskKey& key, wire::ExitCause cause);
  // The task, or null if that run has ended.
  Task* find(const TaskKey& key, std::uint64_t run_id);

  void drop_all_tasks();
  void check_lease_regularly();

  SimNet& net_;
  InvariantChecker& checker_;
  WorkerTiming timing_;
  std::string name_;
  MachineSpec spec_;
  std::vector<std::string> nodes_;
  std::shared_ptr<bool> alive_;
  std::size_t node_index_ = 0;  // index of the node that receives the heartbeats
  bool heartbeat_in_flight_ = false;
  bool change_unreported_ = false;
  bool last_heartbeat_answered_ = false;
  Ms last_heartbeat_at_ = 0;
  std::uint64_t heartbeat_schedule_ = 0;  // identifies the latest schedule of the next heartbeat
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;  // sequence number of the last heartbeat
  // The highest epoch of a leader that the worker has accepted. Lower epochs are rejected.
  std::uint64_t epoch_ = 0;
  std::uint64_t last_run_id_ = 0;
  Ms lease_start_ = 0;  // when the last heartbeat that was answered was sent
  Ms hangs_until_ = 0;
  std::map<TaskKey, Task> tasks_;
  std::set<std::string> images_;  // the images that the machine has fetched
  std::optional<wire::ExitCause> next_failure_;
};

}  // namespace seampass::fakes
