// What users send and are answered: jobs and their status. A job's JSON is also its form in the
// state service. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "wire/json_fields.h"
#include "wire/types.h"

namespace seampass::wire {

[[nodiscard]] bool valid_job_id(std::string_view id);

// Throws Malformed, naming the first member that is wrong. Unknown members are ignored.
[[nodiscard]] Job job_from(const Json& object);
[[nodiscard]] Json to_json(const Job& job);

// The body that answers a status query.
[[nodiscard]] std::string status_answer(const JobStatus& status);
// The body that answers a submission or a cancellation.
[[nodiscard]] std::string accepted_answer(const JobStatus& status);

[[nodiscard]] std::string_view stage_name(Stage stage);
// Throws Malformed.
[[nodiscard]] Stage stage_from(std::string_view name);

}  // namespace seampass::wire
