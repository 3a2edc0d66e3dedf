// Answers that requests have in common.
#pragma once

#include <string>

#include "net/http_server.h"
#include "wire/codec.h"

namespace seampass::jobs {

inline net::Response refusal(int status, const std::string& why) {
  return {status, wire::Json{{"error", why}}.dump(), 0};
}

// What can't be done now is answered at once, saying when to come back.
inline net::Response later(const char* why) { return {503, wire::Json{{"error", why}}.dump(), 1}; }

}  // namespace seampass::jobs
