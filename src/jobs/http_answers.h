// The answers that several kinds of requests have in common.
#pragma once

#include <string>

#include "net/http_server.h"
#include "wire/json_fields.h"

namespace seampass::jobs {

// What no repetition of the request would change.
[[nodiscard]] inline net::Response refusal(int status, const std::string& reason) {
  return {status, wire::Json{{"error", reason}}.dump(), 0};
}

// What can't be done now is answered at once, with the time after which to ask again: users retry
// sooner than they would after a timeout.
[[nodiscard]] inline net::Response unavailable(const char* reason) {
  constexpr int retry_after_s = 1;
  return {503, wire::Json{{"error", reason}}.dump(), retry_after_s};
}

}  // namespace seampass::jobs
