// Plain structures behind PROTOCOL's messages, under the field's own terms. The wire's words for
// them are known to codec.cc alone.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace seampass::wire {

enum class JobKind { array, gang, service };
enum class Priority { critical, high, normal, low };
enum class Stage { queued, running, done, cancelled };
enum class TaskState { fetching, waiting, running, saving, exited };
enum class ExitCause { none, done, stopped, peers, alone, error, no_room, busy, unknown };
enum class Verb { start, stop, forget };

struct Job {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 1;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  // Jobs that have to be done before any task of this one starts; each named once.
  std::vector<std::string> dependencies;
};

inline constexpr std::uint32_t kMaxTasks = 100000;

// What users are told of a job.
struct JobStatus {
  std::string id;
  Stage stage = Stage::queued;
  std::uint64_t done = 0, running = 0;
};

struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool saved = false;
};

struct Heartbeat {
  std::string machine, addr, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, sequence = 0, token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct Command {
  Verb verb = Verb::start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double termination_grace_s = 0;
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

enum class MachineStage { booting, running, failed };

struct ListedMachine {
  std::string name, addr, type, zone;
  bool spot = false;
  MachineStage stage = MachineStage::booting;
  double age_s = 0;
};

struct Rental {
  std::string request, type, zone;
  bool spot = false;
  int count = 1;
};

}  // namespace seampass::wire
