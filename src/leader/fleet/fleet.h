// The leader's machines: what is rented, booting, up, silent, idle or to be returned.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "cloud/client.h"
#include "cloud/machine_catalog.h"
#include "config/settings.h"
#include "leader/ids.h"
#include "net/runtime.h"
#include "sched/snapshot.h"

namespace seampass::leader {

struct TaskAttempt;

struct Machine {
  std::string name, addr, type, zone;
  bool spot = false;
  bool registered = false;  // has shown this leader's epoch: it lives now, and hears us
  bool deleting = false;
  bool draining = false;            // takes nothing new
  net::Ms rented_at = 0;            // rented, as far as known
  net::Ms last_heartbeat_at = -1;   // last check-in that this leader may have answered; -1: none
  net::Ms first_heartbeat_at = -1;  // first check-in of this term; -1: none
  net::Ms listed_up = -1;           // first listed as running in this term; -1: not yet
  // The first command without an answer since the last with one.
  std::optional<net::Ms> unresponsive_since;
  std::uint64_t incarnation = 0, sequence = 0, token = 0;
  // Session and sequence of the latest check-in that showed this leader's epoch, and of the latest
  // that did not.
  std::pair<std::uint64_t, std::uint64_t> last_heartbeat, last_unconfirmed_heartbeat;
  net::Ms last_command_ack_at = -1;  // last command that was, or may have been, executed; -1: none
  bool inspecting = false;           // an inspection is on its way
  std::optional<net::Ms> preemption_at;  // spot notice
  net::Ms idle_since = 0;
  net::Ms quarantined_until = 0;
  std::set<std::string> failed_jobs;  // since a task was done here
  std::map<TaskId, TaskAttempt*> attempts;
  std::string nominated_job;  // a job that room is being cleared for
  net::Ms nominated_until = 0;
  std::size_t unknown_tasks = 0;  // reported tasks that no attempt accounts for
  std::set<std::string> images;
  std::set<AttemptId> exited;  // reported as ended and not forgotten yet
  // Starts sent to /commands in this incarnation: until it changes, each may be executed late, or
  // once more by a late copy. The worker ignores it for as long as it knows the attempt.
  std::set<AttemptId> replayable_starts;
  // Its place among the snapshot's machines, and whether it has changed since it was drawn there.
  std::size_t slot = kNoSlot;
  bool stale = true;
  static constexpr std::size_t kNoSlot = static_cast<std::size_t>(-1);

  // Whether a start of this task, of whichever attempt, may still come late.
  bool may_replay_start(const TaskId& task) const {
    const auto first = replayable_starts.lower_bound({task.job, task.task, 0});
    return first != replayable_starts.end() && first->task_id() == task;
  }
  void note_heartbeat(net::Ms now) {
    last_heartbeat_at = now;
    if (first_heartbeat_at < 0) first_heartbeat_at = now;
  }
};

// An order that does not depend on where machines lie in memory.
struct ByName {
  bool operator()(const Machine* a, const Machine* b) const { return a->name < b->name; }
};

class Fleet {
 public:
  // gone: the machine, and all that is on it, surely no longer exists.
  Fleet(net::Runtime& runtime, cloud::Client& cloud, const cloud::MachineCatalog& catalog,
        const config::Settings& settings, const config::OperatorSettings& operator_settings,
        std::function<void(Machine&)> gone);

  void start_term(std::uint64_t epoch);
  void end_term();
  bool active() const { return epoch_ != 0; }

  Machine* find(const std::string& name);
  Machine& ensure(const std::string& name);
  std::map<std::string, Machine>& machines() { return machines_; }
  const std::map<std::string, Machine>& machines() const { return machines_; }
  bool deleted(const std::string& name) const { return deleted_.contains(name); }

  // Returns machines to the cloud; `gone` follows once it has confirmed.
  void remove(Machine& machine);
  // Whether a report of this machine should have come.
  bool is_overdue(const Machine& machine) const;
  // Idle, overdue and silent machines.
  void tick(const std::set<std::string>& kept);

  std::vector<sched::ScaleOutOption> options() const;
  void rent(const sched::ScaleOutOption& option, int count);
  // Rentals asked for and not yet answered.
  struct PendingScaleOut {
    std::string type, zone;
    bool spot = false;
    int count = 0;
  };
  const std::map<std::string, PendingScaleOut>& pending_scale_out() const {
    return pending_scale_out_;
  }

 private:
  struct ZoneHealth {
    int up = 0;       // machines that this leader has heard
    int overdue = 0;  // of them: a report has not come
    int silent = 0;   // of them: none for most of a lease
    int unheard = 0;  // up by the list, for long enough to have reported
  };

  net::Ms silence(const Machine& machine) const;
  bool is_silent(const Machine& machine) const;
  std::map<std::string, ZoneHealth> zone_health() const;
  void update_cut_zones(const std::map<std::string, ZoneHealth>& zones);
  bool is_given_up(const Machine& machine) const;
  bool is_lost(const Machine& silent, const ZoneHealth& zone) const;
  double boot_s(const Machine& machine) const;
  bool is_surplus(Machine& machine, bool kept);

  void poll_list(const std::string& after);
  void take_list(const wire::MachinePage& page);
  void mark_for_removal(Machine& machine);
  void flush_removals();

  net::Runtime& runtime_;
  cloud::Client& cloud_;
  const cloud::MachineCatalog& catalog_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  std::function<void(Machine&)> gone_;
  std::uint64_t epoch_ = 0, counter_ = 0;
  net::Ms began_ = 0;
  std::map<std::string, Machine> machines_;
  std::set<std::string> deleted_;
  std::set<std::string> to_delete_;
  bool deletion_busy_ = false;
  std::map<std::string, PendingScaleOut> pending_scale_out_;
  std::map<std::tuple<std::string, std::string, bool>, net::Ms> refused_until_;
  // Zones that look cut off: nothing is rented where it could not be heard.
  std::map<std::string, net::Ms> cut_until_;
};

}  // namespace seampass::leader
