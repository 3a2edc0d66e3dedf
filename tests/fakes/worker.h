// Our own fake of the worker on a machine, after its published protocol.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fakes/invariant_checker.h"
#include "fakes/sim_net.h"
#include "wire/codec.h"

namespace seampass::fakes {

struct WorkerTiming {
  Ms heartbeat_interval = 0;
  // Without an answer to a heartbeat sent within so long, the worker ends all tasks.
  Ms lease = 0;
  // From the command to the start of a task.
  Ms image_fetch = 300;
};

// One machine from its boot on. It tells the checker of each task that starts and stops; what its
// tasks do is written in the checker's jobs.
class Worker {
 public:
  Worker(SimNet& net, InvariantChecker& checker, WorkerTiming timing, std::string name,
         MachineSpec spec, std::vector<std::string> nodes);
  ~Worker() { crash(); }
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // The machine is off for good, and its tasks with it.
  void crash();
  // The next task that would start exits with this instead.
  void fail_next(wire::ExitCause cause) { next_failure_ = cause; }
  // The worker's process does nothing for so long; what arrives meanwhile is handled afterwards, in
  // order. Its lease runs on, and is enforced all the same.
  void hang(Ms duration) { hangs_until_ = now() + duration; }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitCause cause = wire::ExitCause::none;
    bool started = false;
    std::uint64_t run = 0;  // tells it from earlier runs under the same key
  };

  [[nodiscard]] Ms now() const { return net_.time().now(); }
  [[nodiscard]] bool hangs() const { return now() < hangs_until_; }
  [[nodiscard]] std::string endpoint() const { return name_ + ":9000"; }
  // Not before the end of a hang, and not at all once the machine is off.
  void after(Ms delay, std::function<void()> then);

  std::string heartbeat_body();
  void send_heartbeat();
  // How long to wait before the next heartbeat.
  Ms on_heartbeat_reply(const net::Reply& reply, Ms sent, std::uint64_t incarnation);
  // The next node, or the one that the reply names as leader; as above.
  Ms follow_redirect(const net::Reply& reply);
  void try_next_node() { node_ = (node_ + 1) % nodes_.size(); }
  void apply_heartbeat_reply(const wire::Json& body, Ms sent, std::uint64_t incarnation);

  void handle(const net::Request& request, const net::Answer& answer);
  void execute(const wire::Json& commands);

  void start(const TaskKey& key, std::uint64_t attempt);
  void on_image_fetched(const TaskKey& key, std::uint64_t run);
  void start_gang_once_complete(const TaskKey& key, std::uint64_t run);
  void finish_after_run_time(const TaskKey& key, std::uint64_t run, const wire::Job& spec);
  void finish(const TaskKey& key);
  void exit(const TaskKey& key, wire::ExitCause cause);
  // Null if that run has ended.
  Task* find(const TaskKey& key, std::uint64_t run);

  void drop_all_tasks();
  void check_lease_regularly();

  SimNet& net_;
  InvariantChecker& checker_;
  WorkerTiming timing_;
  std::string name_;
  MachineSpec spec_;
  std::vector<std::string> nodes_;
  std::shared_ptr<bool> alive_;
  std::size_t node_ = 0;  // the one that heartbeats go to
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;  // of heartbeats
  std::uint64_t epoch_ = 0;     // the highest of a leader that it obeys
  std::uint64_t runs_ = 0;
  Ms lease_began_ = 0;  // the sending of the last heartbeat that was answered
  Ms hangs_until_ = 0;
  std::map<TaskKey, Task> tasks_;
  std::optional<wire::ExitCause> next_failure_;
};

}  // namespace seampass::fakes
