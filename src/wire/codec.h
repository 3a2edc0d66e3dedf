// JSON <-> wire/types.h. No I/O. Whatever is malformed is refused with a one-line reason.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace seampass::wire {

using Json = nlohmann::json;

class Malformed : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

bool valid_job_id(std::string_view id);

// Parses text that must be one JSON object.
Json parse_object(std::string_view text);

// Reading with checks: throws Malformed, naming the field.
std::string text_field(const Json& o, const char* name);
std::uint64_t count_field(const Json& o, const char* name);
double amount_field(const Json& o, const char* name);
bool flag_field(const Json& o, const char* name);

Job job_from(const Json& o);
Json to_json(const Job& job);
std::string to_json(const JobStatus& status);
std::string accepted_json(const JobStatus& status);
const char* stage_name(Stage stage);
Stage stage_from(std::string_view name);

Heartbeat heartbeat_from(std::string_view text);
std::string heartbeat_answer(std::uint64_t token, const std::vector<Command>& commands);
std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
std::string redirect_answer(const std::string& node);

std::vector<MachineType> catalog_from(std::string_view text);
std::string rental_body(const Rental& rental);
std::vector<std::string> rented_from(std::string_view text);
std::string delete_body(const std::vector<std::string>& machines);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
MachinePage machines_from(std::string_view text);

}  // namespace seampass::wire
