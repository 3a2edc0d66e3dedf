#include "wire/codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace seampass::wire {
namespace {

template <typename E, std::size_t N>
using Names = std::array<std::pair<E, const char*>, N>;

constexpr Names<JobKind, 3> kKinds{
    {{JobKind::array, "sweep"}, {JobKind::gang, "group"}, {JobKind::service, "standing"}}};
constexpr Names<Priority, 4> kPriorities{{{Priority::critical, "critical"},
                                          {Priority::high, "high"},
                                          {Priority::normal, "normal"},
                                          {Priority::low, "idle"}}};
constexpr Names<Stage, 4> kStages{{{Stage::queued, "queued"},
                                   {Stage::running, "running"},
                                   {Stage::done, "done"},
                                   {Stage::cancelled, "withdrawn"}}};
constexpr Names<TaskState, 5> kTaskStates{{{TaskState::fetching, "pulling"},
                                           {TaskState::waiting, "gathering"},
                                           {TaskState::running, "running"},
                                           {TaskState::saving, "saving"},
                                           {TaskState::exited, "ended"}}};
constexpr Names<ExitCause, 8> kCauses{{{ExitCause::done, "done"},
                                       {ExitCause::stopped, "halted"},
                                       {ExitCause::peers, "peers"},
                                       {ExitCause::alone, "alone"},
                                       {ExitCause::error, "error"},
                                       {ExitCause::no_room, "full"},
                                       {ExitCause::busy, "busy"},
                                       {ExitCause::unknown, "no_such"}}};
constexpr Names<Verb, 3> kVerbs{
    {{Verb::start, "run"}, {Verb::stop, "halt"}, {Verb::forget, "reap"}}};
constexpr Names<MachineStage, 3> kMachineStages{{{MachineStage::booting, "starting"},
                                                 {MachineStage::running, "running"},
                                                 {MachineStage::failed, "failed"}}};

template <typename E, std::size_t N>
const char* name_of(const Names<E, N>& names, E value) {
  for (const auto& [v, name] : names)
    if (v == value) return name;
  return "";
}

template <typename E, std::size_t N>
E value_of(const Names<E, N>& names, std::string_view text, const char* field) {
  for (const auto& [v, name] : names)
    if (text == name) return v;
  throw Malformed(std::string(field) + ": unknown value");
}

const Json& member(const Json& o, const char* name) {
  const auto it = o.find(name);
  if (it == o.end()) throw Malformed(std::string(name) + ": missing");
  return *it;
}

bool absent(const Json& o, const char* name) {
  const auto it = o.find(name);
  return it == o.end() || it->is_null();
}

constexpr std::size_t kMaxText = 200;

std::string short_text(const Json& o, const char* name) {
  std::string s = text_field(o, name);
  if (s.empty() || s.size() > kMaxText) throw Malformed(std::string(name) + ": bad length");
  return s;
}

const Json& list_field(const Json& o, const char* name) {
  const Json& v = member(o, name);
  if (!v.is_array()) throw Malformed(std::string(name) + ": not a list");
  return v;
}

std::pair<std::string, std::uint32_t> task_name(const std::string& text) {
  const auto slash = text.find('/');
  std::uint32_t index = 0;
  if (slash == std::string::npos || !valid_job_id(std::string_view(text).substr(0, slash)))
    throw Malformed("pour: bad form");
  const char* begin = text.data() + slash + 1;
  const char* end = text.data() + text.size();
  const auto [p, ec] = std::from_chars(begin, end, index);
  if (ec != std::errc() || p != end || begin == end || index >= kMaxTasks)
    throw Malformed("pour: bad number");
  return {text.substr(0, slash), index};
}

// Ids in the order given, each once.
std::vector<std::string> job_ids(const Json& list) {
  std::vector<std::string> ids;
  std::unordered_set<std::string> seen;
  for (const Json& item : list) {
    if (!item.is_string()) throw Malformed("waits_on: not a job id");
    auto id = item.get<std::string>();
    if (!valid_job_id(id)) throw Malformed("waits_on: bad form");
    if (seen.insert(id).second) ids.push_back(std::move(id));
  }
  return ids;
}

Json orders_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& c : commands) {
    Json o{{"verb", name_of(kVerbs, c.verb)},
           {"pour", c.job + "/" + std::to_string(c.index)},
           {"try", c.attempt}};
    if (c.verb == Verb::stop) o["wind_down_s"] = c.termination_grace_s;
    list.push_back(std::move(o));
  }
  return list;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  constexpr std::string_view prefix = "wk-";
  constexpr std::size_t longest = 40;
  if (!id.starts_with(prefix) || id.size() == prefix.size() || id.size() > longest) return false;
  id.remove_prefix(prefix.size());
  return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

Json parse_object(std::string_view text) {
  // Depth is bounded first: the parser recurses, and a body of 64 KiB of brackets is no message.
  int depth = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      if (c == '"') quoted = false;
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      if (++depth > 64) throw Malformed("nested too deeply");
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  Json o = Json::parse(text, nullptr, false);
  if (o.is_discarded()) throw Malformed("not JSON");
  if (!o.is_object()) throw Malformed("not an object");
  return o;
}

std::string text_field(const Json& o, const char* name) {
  const Json& v = member(o, name);
  if (!v.is_string()) throw Malformed(std::string(name) + ": not a string");
  return v.get<std::string>();
}

std::uint64_t count_field(const Json& o, const char* name) {
  const Json& v = member(o, name);
  if (v.is_number_unsigned()) return v.get<std::uint64_t>();
  throw Malformed(std::string(name) + ": not a count");
}

double amount_field(const Json& o, const char* name) {
  const Json& v = member(o, name);
  if (!v.is_number()) throw Malformed(std::string(name) + ": not a number");
  const double d = v.get<double>();
  if (!std::isfinite(d) || d < 0 || d > 1e9) throw Malformed(std::string(name) + ": out of range");
  return d;
}

bool flag_field(const Json& o, const char* name) {
  const Json& v = member(o, name);
  if (!v.is_boolean()) throw Malformed(std::string(name) + ": not true or false");
  return v.get<bool>();
}

Job job_from(const Json& o) {
  Job j;
  j.id = text_field(o, "ref");
  if (!valid_job_id(j.id)) throw Malformed("ref: bad form");
  j.job_class = short_text(o, "cuvee_class");
  j.team = short_text(o, "owner_crew");
  j.kind = value_of(kKinds, text_field(o, "shape"), "shape");
  j.priority = value_of(kPriorities, text_field(o, "rank"), "rank");
  const std::uint64_t tasks = count_field(o, "pours");
  if (tasks < 1 || tasks > kMaxTasks) throw Malformed("pours: out of range");
  j.tasks = static_cast<std::uint32_t>(tasks);
  j.cpus = amount_field(o, "cpus");
  j.gpus = amount_field(o, "accelerators");
  j.memory_gb = amount_field(o, "memory_gb");
  j.image = short_text(o, "blend");
  j.image_gb = amount_field(o, "pull_gb");
  if (!absent(o, "barrels")) {
    j.types.emplace();
    for (const Json& t : list_field(o, "barrels")) {
      if (!t.is_string() || j.types->size() >= kMaxText) throw Malformed("barrels: bad list");
      j.types->push_back(t.get<std::string>());
    }
  }
  if (!absent(o, "cellar")) j.zone = short_text(o, "cellar");
  j.one_zone = flag_field(o, "together");
  j.spread = flag_field(o, "apart");
  j.spot = flag_field(o, "lent_racks");
  j.estimate_s = amount_field(o, "expected_s");
  j.checkpoint_s = amount_field(o, "rack_every_s");
  j.save_s = amount_field(o, "rack_s");
  if (!absent(o, "due_s")) j.deadline_s = amount_field(o, "due_s");
  if (!absent(o, "waits_on")) j.dependencies = job_ids(list_field(o, "waits_on"));
  return j;
}

Json to_json(const Job& j) {
  Json o{{"ref", j.id},
         {"cuvee_class", j.job_class},
         {"owner_crew", j.team},
         {"shape", name_of(kKinds, j.kind)},
         {"rank", name_of(kPriorities, j.priority)},
         {"pours", j.tasks},
         {"cpus", j.cpus},
         {"accelerators", j.gpus},
         {"memory_gb", j.memory_gb},
         {"blend", j.image},
         {"pull_gb", j.image_gb},
         {"barrels", j.types ? Json(*j.types) : Json()},
         {"cellar", j.zone ? Json(*j.zone) : Json()},
         {"together", j.one_zone},
         {"apart", j.spread},
         {"lent_racks", j.spot},
         {"expected_s", j.estimate_s},
         {"rack_every_s", j.checkpoint_s},
         {"rack_s", j.save_s},
         {"due_s", j.deadline_s ? Json(*j.deadline_s) : Json()}};
  // (Left out where there are none, so that the record of such a job is as it always was.)
  if (!j.dependencies.empty()) o["waits_on"] = j.dependencies;
  return o;
}

const char* stage_name(Stage stage) { return name_of(kStages, stage); }
Stage stage_from(std::string_view name) { return value_of(kStages, name, "stage"); }

std::string to_json(const JobStatus& s) {
  return Json{
      {"ref", s.id}, {"stage", stage_name(s.stage)}, {"done", s.done}, {"running", s.running}}
      .dump();
}

std::string accepted_json(const JobStatus& s) {
  return Json{{"ref", s.id}, {"stage", stage_name(s.stage)}}.dump();
}

Heartbeat heartbeat_from(std::string_view text) {
  const Json o = parse_object(text);
  Heartbeat r;
  r.machine = short_text(o, "host");
  r.addr = short_text(o, "addr");
  r.type = short_text(o, "barrel");
  r.zone = short_text(o, "cellar");
  r.spot = flag_field(o, "lent_racks");
  r.incarnation = count_field(o, "shift");
  r.sequence = count_field(o, "tally");
  r.token = count_field(o, "warrant");
  if (!absent(o, "recall_s")) r.notice_s = amount_field(o, "recall_s");
  for (const Json& t : list_field(o, "pours")) {
    if (!t.is_object()) throw Malformed("pours: not an object");
    TaskStatus task;
    std::tie(task.job, task.index) = task_name(text_field(t, "pour"));
    task.attempt = count_field(t, "try");
    task.state = value_of(kTaskStates, text_field(t, "stage"), "stage");
    if (task.state == TaskState::exited)
      task.cause = value_of(kCauses, text_field(t, "exit_cause"), "exit_cause");
    task.saved = !absent(t, "kept") && flag_field(t, "kept");
    r.tasks.push_back(std::move(task));
  }
  return r;
}

std::string heartbeat_answer(std::uint64_t token, const std::vector<Command>& commands) {
  return Json{{"warrant", token}, {"orders", orders_json(commands)}}.dump();
}

std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return Json{{"warrant", token}, {"shift", incarnation}, {"orders", orders_json(commands)}}.dump();
}

std::string redirect_answer(const std::string& node) {
  return node.empty() ? "{}" : Json{{"steward", node}}.dump();
}

std::vector<MachineType> catalog_from(std::string_view text) {
  const Json o = parse_object(text);
  std::vector<MachineType> types;
  for (const Json& t : list_field(o, "barrels")) {
    if (!t.is_object()) throw Malformed("barrels: not an object");
    MachineType m;
    m.name = short_text(t, "name");
    m.cpus = amount_field(t, "cpus");
    m.gpus = absent(t, "accelerators") ? 0 : amount_field(t, "accelerators");
    m.memory_gb = amount_field(t, "memory_gb");
    m.cache_gb = absent(t, "cache_gb") ? 0 : amount_field(t, "cache_gb");
    m.fetch_gb_per_s = absent(t, "fetch_gb_per_s") ? 0 : amount_field(t, "fetch_gb_per_s");
    m.price = amount_field(t, "price");
    m.spot_price = absent(t, "low_price") ? m.price : amount_field(t, "low_price");
    m.boot_s = amount_field(t, "ready_s");
    for (const Json& z : list_field(t, "cellars")) {
      if (!z.is_string()) throw Malformed("cellars: not a string");
      m.zones.push_back(z.get<std::string>());
    }
    types.push_back(std::move(m));
  }
  return types;
}

std::string rental_body(const Rental& r) {
  return Json{{"hire_ask", r.request},
              {"barrel", r.type},
              {"cellar", r.zone},
              {"lent_racks", r.spot},
              {"count", r.count}}
      .dump();
}

std::vector<std::string> rented_from(std::string_view text) {
  const Json o = parse_object(text);
  std::vector<std::string> names;
  for (const Json& n : list_field(o, "hosts")) {
    if (!n.is_string()) throw Malformed("hosts: not a string");
    names.push_back(n.get<std::string>());
  }
  return names;
}

std::string delete_body(const std::vector<std::string>& machines) {
  return Json{{"hosts", machines}}.dump();
}

MachinePage machines_from(std::string_view text) {
  const Json o = parse_object(text);
  MachinePage page;
  page.more = !absent(o, "has_next") && flag_field(o, "has_next");
  for (const Json& h : list_field(o, "hosts")) {
    if (!h.is_object()) throw Malformed("hosts: not an object");
    ListedMachine m;
    m.name = short_text(h, "ref");
    m.addr = absent(h, "addr") ? "" : text_field(h, "addr");
    m.type = short_text(h, "barrel");
    m.zone = short_text(h, "cellar");
    m.spot = flag_field(h, "lent_racks");
    m.stage = value_of(kMachineStages, text_field(h, "stage"), "stage");
    m.age_s = amount_field(h, "age_s");
    page.machines.push_back(std::move(m));
  }
  return page;
}

}  // namespace seampass::wire
