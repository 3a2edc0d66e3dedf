#include "wire/user_codec.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "wire/enum_names.h"

namespace seampass::wire {
namespace {

constexpr EnumNames<JobKind, 3> kKindNames{
    {{JobKind::array, "sweep"}, {JobKind::gang, "group"}, {JobKind::service, "standing"}}};
constexpr EnumNames<Priority, 4> kPriorityNames{{{Priority::critical, "critical"},
                                                 {Priority::high, "high"},
                                                 {Priority::normal, "normal"},
                                                 {Priority::low, "idle"}}};
constexpr EnumNames<Stage, 4> kStageNames{{{Stage::queued, "queued"},
                                           {Stage::running, "running"},
                                           {Stage::done, "done"},
                                           {Stage::cancelled, "withdrawn"}}};

constexpr std::size_t kMaxTypes = 200;  // machine types listed by one job

std::string job_id_field(const Json& object, const char* name) {
  std::string id = text_field(object, name);
  if (!valid_job_id(id)) throw Malformed(name, "bad form");
  return id;
}

std::uint32_t task_count_field(const Json& object, const char* name) {
  const std::uint64_t tasks = count_field(object, name);
  if (tasks < 1 || tasks > kMaxTasks) throw Malformed(name, "out of range");
  return static_cast<std::uint32_t>(tasks);
}

std::vector<std::string> types_field(const Json& object, const char* name) {
  std::vector<std::string> types;
  for (const Json& item : list_field(object, name)) {
    if (!item.is_string() || types.size() >= kMaxTypes) throw Malformed(name, "bad list");
    types.push_back(item.get<std::string>());
  }
  return types;
}

// Reads a list of job ids and drops duplicates; the order is that of the first occurrences.
std::vector<std::string> job_ids_field(const Json& object, const char* name) {
  std::vector<std::string> ids;
  std::unordered_set<std::string> seen;
  for (const Json& item : list_field(object, name)) {
    if (!item.is_string()) throw Malformed(name, "not a job id");
    auto id = item.get<std::string>();
    if (!valid_job_id(id)) throw Malformed(name, "bad form");
    if (seen.insert(id).second) ids.push_back(std::move(id));
  }
  return ids;
}

template <typename Value>
Json null_unless_set(const std::optional<Value>& value) {
  return value ? Json(*value) : Json();
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view prefix = "wk-";
  constexpr std::size_t max_length = 40;
  if (!id.starts_with(prefix) || id.size() == prefix.size() || id.size() > max_length) return false;
  id.remove_prefix(prefix.size());
  return std::all_of(id.begin(), id.end(),
                     [](char character) { return character >= '0' && character <= '9'; });
}

// Reads the members in a fixed order. If several members are invalid, the user gets the error of
// the one that is read first.
Job job_from(const Json& object) {
  Job job;
  job.id = job_id_field(object, "ref");
  job.job_class = short_text_field(object, "cuvee_class");
  job.team = short_text_field(object, "owner_crew");
  job.kind = enum_field(kKindNames, object, "shape");
  job.priority = enum_field(kPriorityNames, object, "rank");
  job.tasks = task_count_field(object, "pours");
  job.cpus = amount_field(object, "cpus");
  job.gpus = amount_field(object, "accelerators");
  job.memory_gb = amount_field(object, "memory_gb");
  job.image = short_text_field(object, "blend");
  job.image_gb = amount_field(object, "pull_gb");
  job.types = optional_field(object, "barrels", types_field);
  job.zone = optional_field(object, "cellar", short_text_field);
  job.one_zone = flag_field(object, "together");
  job.spread = flag_field(object, "apart");
  job.spot = flag_field(object, "lent_racks");
  job.estimate_s = amount_field(object, "expected_s");
  job.checkpoint_s = amount_field(object, "rack_every_s");
  job.save_s = amount_field(object, "rack_s");
  job.deadline_s = optional_field(object, "due_s", amount_field);
  if (auto dependencies = optional_field(object, "waits_on", job_ids_field))
    job.dependencies = std::move(*dependencies);
  return job;
}

Json to_json(const Job& job) {
  Json object{{"ref", job.id},
              {"cuvee_class", job.job_class},
              {"owner_crew", job.team},
              {"shape", name_of(kKindNames, job.kind)},
              {"rank", name_of(kPriorityNames, job.priority)},
              {"pours", job.tasks},
              {"cpus", job.cpus},
              {"accelerators", job.gpus},
              {"memory_gb", job.memory_gb},
              {"blend", job.image},
              {"pull_gb", job.image_gb},
              {"barrels", null_unless_set(job.types)},
              {"cellar", null_unless_set(job.zone)},
              {"together", job.one_zone},
              {"apart", job.spread},
              {"lent_racks", job.spot},
              {"expected_s", job.estimate_s},
              {"rack_every_s", job.checkpoint_s},
              {"rack_s", job.save_s},
              {"due_s", null_unless_set(job.deadline_s)}};
  // Omits the member if the job has no dependencies. Program versions that predate dependencies
  // write such a job without this member, and the job's stored record must be the same in all
  // versions.
  if (!job.dependencies.empty()) object["waits_on"] = job.dependencies;
  return object;
}

std::string status_answer(const JobStatus& status) {
  return Json{{"ref", status.id},
              {"stage", stage_name(status.stage)},
              {"done", status.done},
              {"running", status.running}}
      .dump();
}

std::string accepted_answer(const JobStatus& status) {
  return Json{{"ref", status.id}, {"stage", stage_name(status.stage)}}.dump();
}

std::string_view stage_name(Stage stage) { return name_of(kStageNames, stage); }

Stage stage_from(std::string_view name) { return value_of(kStageNames, name, "stage"); }

}  // namespace seampass::wire
