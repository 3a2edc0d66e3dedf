// The error answers that the handlers of several kinds of HTTP requests share.
#pragma once

#include <string>

#include "net/http_server.h"
#include "wire/json_fields.h"

namespace seampass::jobs {

// The answer to a request that would fail again if the client repeated it; it has no Retry-After
// header.
[[nodiscard]] inline net::Response refusal(int status, const std::string& reason) {
  return {status, wire::Json{{"error", reason}}.dump(), 0};
}

// The answer to a request that can't be served now, with the time after which to retry in the
// Retry-After header. Handlers send it at once, because users then retry sooner than they would
// after a timeout.
[[nodiscard]] inline net::Response unavailable(const char* reason) {
  constexpr int retry_after_s = 1;
  return {503, wire::Json{{"error", reason}}.dump(), retry_after_s};
}

}  // namespace seampass::jobs
