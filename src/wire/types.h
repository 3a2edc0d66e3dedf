// The messages that users, workers and the cloud exchange with controllers, as plain structures.
// Their members have descriptive names; only the codecs of this folder know the JSON member names.
// Members whose names end in _s are times in seconds, those in _gb are sizes in GB. CPUs, GPUs and
// memory are per task or per machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace seampass::wire {

// array: independent tasks, each of which runs to completion. gang: tasks that run all at the same
// time or not at all. service: replicas that run until the job is cancelled.
enum class JobKind { array, gang, service };
enum class Priority { critical, high, normal, low };
// Stage of a job. `done` and `cancelled` are final.
enum class Stage { queued, running, done, cancelled };
// State of an attempt on its machine. fetching: the worker fetches the task's image. waiting: the
// attempt waits for the other tasks of its gang. saving: the attempt has received a stop command
// and writes a checkpoint.
enum class TaskState { fetching, waiting, running, saving, exited };
// Why an attempt exited. done: it completed. stopped: a command stopped it. gang_task_lost: another
// task of its gang is gone. gang_timeout: its gang was not complete in time. error: it failed.
// no_room, busy and unknown: the worker refused to start it, because the machine has too little
// free capacity (no_room), runs another attempt of the same task (busy) or cannot get the job's
// description (unknown). none: it has not exited; this value is never sent.
enum class ExitCause {
  none,
  done,
  stopped,
  gang_task_lost,
  gang_timeout,
  error,
  no_room,
  busy,
  unknown
};
// What a command asks the worker to do. start and stop: start or stop the attempt. forget: delete
// the worker's record of an attempt that has exited.
enum class Verb { start, stop, forget };

inline constexpr std::uint32_t kMaxTasks = 100000;  // per job
inline constexpr int kMaxMachinesPerRental = 50;

// A job as submitted by a user. It never changes after its submission.
struct Job {
  // "wk-" and digits. The user chooses it, so that a repeated submission is idempotent.
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;  // from 1 to kMaxTasks
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; nullopt: all
  std::optional<std::string> zone;                // the only zone for its tasks; nullopt: any
  bool one_zone = false;                          // all its tasks must run in the same zone
  bool spread = false;      // each zone runs at most half of its tasks, rounded up
  bool spot = false;        // its tasks may run on spot machines
  double estimate_s = 0;    // estimated run time of a task without its image fetch; 0 for services
  double checkpoint_s = 0;  // run time between two checkpoints; 0: the job writes none
  double save_s = 0;        // time that a task needs to write a checkpoint when it is stopped
  std::optional<double> deadline_s;       // counted from the submission
  std::vector<std::string> dependencies;  // ids of jobs that must be done first, no duplicates
};

// A job's status as returned to users.
struct JobStatus {
  std::string id;
  Stage stage = Stage::queued;
  std::uint64_t done = 0;     // number of completed tasks
  std::uint64_t running = 0;  // number of running tasks
};

// The status of one attempt, as reported in a worker's heartbeat.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;  // the attempt was stopped and has written a checkpoint
};

// A worker's heartbeat. The worker sends one at each heartbeat interval and whenever a status
// changes, and returns one in response to commands and inspections.
struct Heartbeat {
  std::string machine;
  std::string addr;  // ADDRESS:PORT at which the worker accepts commands
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // starts at 1; increases with each expiry of the worker's lease
  std::uint64_t sequence = 0;     // increases with each heartbeat
  std::uint64_t token = 0;        // the highest epoch (fencing token) that the worker has seen
  // Preemption notice: the cloud will take the machine back after this time; nullopt: no notice.
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};

// A command to a worker about one attempt.
struct Command {
  Verb verb = Verb::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double termination_grace_s = 0;  // only for stop: time allowed for writing a checkpoint
};

// A machine type that the cloud offers.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;             // size of the image cache
  double fetch_gb_per_s = 0;       // rate at which images are fetched; 0: not specified
  double price = 0;                // per hour
  double spot_price = 0;           // per hour; equal to `price` if the cloud specifies none
  double boot_s = 0;               // time from rental until the machine is ready
  std::vector<std::string> zones;  // zones that offer this type
};

// Stage of a machine as the cloud reports it.
enum class MachineStage { booting, running, failed };

// A rented machine, as an entry of the cloud's machine list.
struct ListedMachine {
  std::string name;
  std::string addr;  // empty while the machine boots
  std::string type;
  std::string zone;
  bool spot = false;
  MachineStage stage = MachineStage::booting;
  double age_s = 0;  // time since the machine was rented
};

// One page of the cloud's machine list. If `has_next_page` is set, further pages follow; the next
// one starts after the name of the last machine of this page.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool has_next_page = false;
};

// A request to rent `count` machines of one type in one zone.
struct Rental {
  // Idempotency key: repeating a request under the same name rents no additional machines.
  std::string request;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 1;
};

}  // namespace seampass::wire
