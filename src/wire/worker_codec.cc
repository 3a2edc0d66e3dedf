#include "wire/worker_codec.h"

#include <charconv>
#include <system_error>
#include <tuple>
#include <utility>

#include "wire/enum_names.h"
#include "wire/json_fields.h"
#include "wire/user_codec.h"

namespace seampass::wire {
namespace {

constexpr EnumNames<TaskState, 5> kTaskStateNames{{{TaskState::fetching, "pulling"},
                                                   {TaskState::waiting, "gathering"},
                                                   {TaskState::running, "running"},
                                                   {TaskState::saving, "saving"},
                                                   {TaskState::exited, "ended"}}};
constexpr EnumNames<ExitCause, 8> kExitCauseNames{{{ExitCause::done, "done"},
                                                   {ExitCause::stopped, "halted"},
                                                   {ExitCause::gang_task_lost, "peers"},
                                                   {ExitCause::gang_timeout, "alone"},
                                                   {ExitCause::error, "error"},
                                                   {ExitCause::no_room, "full"},
                                                   {ExitCause::busy, "busy"},
                                                   {ExitCause::unknown, "no_such"}}};
constexpr EnumNames<Verb, 3> kVerbNames{
    {{Verb::start, "run"}, {Verb::stop, "halt"}, {Verb::forget, "reap"}}};

// Reads the name of a task, which has the form "<job>/<index>".
std::pair<std::string, std::uint32_t> task_name_field(const Json& object, const char* name) {
  const std::string text = text_field(object, name);
  const auto slash = text.find('/');
  if (slash == std::string::npos || !valid_job_id(std::string_view(text).substr(0, slash)))
    throw Malformed(name, "bad form");
  std::uint32_t index = 0;
  const char* begin = text.data() + slash + 1;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(begin, end, index);
  if (error != std::errc() || parsed_end != end || begin == end || index >= kMaxTasks)
    throw Malformed(name, "bad number");
  return {text.substr(0, slash), index};
}

TaskStatus task_status_from(const Json& object) {
  TaskStatus task;
  std::tie(task.job, task.index) = task_name_field(object, "pour");
  task.attempt = count_field(object, "try");
  task.state = enum_field(kTaskStateNames, object, "stage");
  if (task.state == TaskState::exited)
    task.cause = enum_field(kExitCauseNames, object, "exit_cause");
  task.saved = optional_field(object, "kept", flag_field).value_or(false);
  return task;
}

Json commands_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) {
    Json object{{"verb", name_of(kVerbNames, command.verb)},
                {"pour", command.job + "/" + std::to_string(command.index)},
                {"try", command.attempt}};
    if (command.verb == Verb::stop) object["wind_down_s"] = command.termination_grace_s;
    list.push_back(std::move(object));
  }
  return list;
}

}  // namespace

Heartbeat heartbeat_from(std::string_view text) {
  const Json object = parse_object(text);
  Heartbeat heartbeat;
  heartbeat.machine = short_text_field(object, "host");
  heartbeat.addr = short_text_field(object, "addr");
  heartbeat.type = short_text_field(object, "barrel");
  heartbeat.zone = short_text_field(object, "cellar");
  heartbeat.spot = flag_field(object, "lent_racks");
  heartbeat.incarnation = count_field(object, "shift");
  heartbeat.sequence = count_field(object, "tally");
  heartbeat.token = count_field(object, "warrant");
  heartbeat.preemption_notice_s = optional_field(object, "recall_s", amount_field);
  for (const Json& task : list_field(object, "pours")) {
    require_object(task, "pours");
    heartbeat.tasks.push_back(task_status_from(task));
  }
  return heartbeat;
}

std::string heartbeat_answer(std::uint64_t token, const std::vector<Command>& commands) {
  return Json{{"warrant", token}, {"orders", commands_json(commands)}}.dump();
}

std::string redirect_answer(const std::string& node) {
  return node.empty() ? "{}" : Json{{"steward", node}}.dump();
}

std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return Json{{"warrant", token}, {"shift", incarnation}, {"orders", commands_json(commands)}}
      .dump();
}

}  // namespace seampass::wire
