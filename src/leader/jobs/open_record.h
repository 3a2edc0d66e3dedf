// The stored form of a job that was accepted and has not ended: the value under open/<job>.
#pragma once

#include <cstdint>

#include "wire/codec.h"
#include "wire/types.h"

namespace seampass::leader {

struct OpenRecord {
  wire::Job job;
  std::int64_t created_ms = 0;  // when it was accepted, by the time of day
};

[[nodiscard]] wire::Json encode_open_record(const wire::Job& job, std::int64_t created_ms);
// Throws an exception derived from std::exception (wire::Malformed or the JSON library's) if the
// value has not this form.
[[nodiscard]] OpenRecord decode_open_record(const wire::Json& value);

}  // namespace seampass::leader
