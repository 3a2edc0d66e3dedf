// Decodes the jobs that users submit and encodes the responses about their status. The JSON form of
// a job is also the form in which the state service stores it. Pure functions without I/O.
#pragma once

#include <string>
#include <string_view>

#include "wire/json_fields.h"
#include "wire/types.h"

namespace seampass::wire {

// Whether `id` is "wk-" followed by digits, at most 40 characters in total.
[[nodiscard]] bool valid_job_id(std::string_view id);

// Decodes a job. Throws Malformed, which names the first invalid member. Ignores unknown members.
[[nodiscard]] Job job_from(const Json& object);
[[nodiscard]] Json to_json(const Job& job);

// The response body for a status query.
[[nodiscard]] std::string status_answer(const JobStatus& status);
// The response body for a submission or a cancellation.
[[nodiscard]] std::string accepted_answer(const JobStatus& status);

// The name of a job's stage in JSON.
[[nodiscard]] std::string_view stage_name(Stage stage);
// The stage with this JSON name. Throws Malformed if there is none.
[[nodiscard]] Stage stage_from(std::string_view name);

}  // namespace seampass::wire
