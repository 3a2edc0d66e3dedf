// The messages that users, workers and the cloud exchange with controllers, as plain structures
// under the field's own terms. What the members are called on the wire is known to the codecs of
// this folder alone. Times end in _s (seconds), sizes in _gb; resources are those of one task or
// one machine.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace seampass::wire {

// array: independent tasks, each runs to completion. gang: all tasks run at the same time, or none.
// service: replicas that run until the job is cancelled.
enum class JobKind { array, gang, service };
enum class Priority { critical, high, normal, low };
// Of a job. The last two are final.
enum class Stage { queued, running, done, cancelled };
// Of an attempt on its machine. fetching: waits for its image. waiting: for the rest of its gang.
// saving: was told to stop, and writes a checkpoint.
enum class TaskState { fetching, waiting, running, saving, exited };
// Why an attempt exited. stopped: by command. peers: another task of its gang is gone. alone: its
// gang was not complete in time. error: it failed. no_room, busy and unknown: its start was
// refused, since the machine is full, runs another attempt of the task, or can't get the job's
// description. none: it has not exited; never sent.
enum class ExitCause { none, done, stopped, peers, alone, error, no_room, busy, unknown };
// forget: the worker drops what it knows of an attempt that has exited.
enum class Verb { start, stop, forget };

inline constexpr std::uint32_t kMaxTasks = 100000;  // of one job

// A job as it is submitted. It never changes afterwards.
struct Job {
  std::string id;  // "wk-" and digits, chosen by the user: submissions are idempotent
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
  std::optional<std::vector<std::string>> types;  // machine types that are allowed; none: all
  std::optional<std::string> zone;                // where all its tasks have to run
  bool one_zone = false;                          // its tasks have to run in the same zone
  bool spread = false;      // at most half of its tasks, rounded up, in one zone
  bool spot = false;        // may run on spot machines
  double estimate_s = 0;    // how long a task runs, without its image fetch; 0 for services
  double checkpoint_s = 0;  // progress between two checkpoints; 0: none are written
  double save_s = 0;        // that a task needs for a checkpoint when it is stopped
  std::optional<double> deadline_s;       // after its submission
  std::vector<std::string> dependencies;  // jobs that have to be done first; each named once
};

// What users are told of a job.
struct JobStatus {
  std::string id;
  Stage stage = Stage::queued;
  std::uint64_t done = 0;     // tasks
  std::uint64_t running = 0;  // tasks
};

// What a worker reports of one attempt.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;  // it was stopped, and its progress saved
};

// What a worker reports: at each interval, on changes, and in answer to commands and inspections.
struct Heartbeat {
  std::string machine;
  std::string addr;  // ADDRESS:PORT that takes commands
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;   // from 1; larger after each expiry of its lease
  std::uint64_t sequence = 0;      // larger with each report
  std::uint64_t token = 0;         // the highest epoch that it has seen
  std::optional<double> notice_s;  // the cloud will take the machine back after this long
  std::vector<TaskStatus> tasks;
};

// What a worker has to do with one attempt.
struct Command {
  Verb verb = Verb::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double termination_grace_s = 0;  // of a stop: what a checkpoint may take
};

// A kind of machine that the cloud offers.
struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;        // for images
  double fetch_gb_per_s = 0;  // of images; 0: not said
  double price = 0;           // an hour
  double spot_price = 0;      // an hour; the price where none is said
  double boot_s = 0;
  std::vector<std::string> zones;  // where it is offered
};

// Of a machine, as the cloud sees it.
enum class MachineStage { booting, running, failed };

// A rented machine in the cloud's list.
struct ListedMachine {
  std::string name;
  std::string addr;  // empty while it boots
  std::string type;
  std::string zone;
  bool spot = false;
  MachineStage stage = MachineStage::booting;
  double age_s = 0;  // since it was rented
};

// A part of the cloud's list; the next part begins after the last name.
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};

// A request for machines.
struct Rental {
  std::string request;  // its name: the same request, repeated, rents nothing more
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 1;
};

}  // namespace seampass::wire
