// Encodes and decodes the stored record of an open job, which is one that was accepted and has not
// ended. The record is the value under the key open/<job>.
#pragma once

#include <cstdint>

#include "wire/codec.h"
#include "wire/types.h"

namespace seampass::leader {

struct OpenRecord {
  wire::Job job;
  std::int64_t created_ms = 0;  // when the job was accepted, in milliseconds of the wall clock
};

[[nodiscard]] wire::Json encode_open_record(const wire::Job& job, std::int64_t created_ms);
// Throws an exception derived from std::exception (wire::Malformed, or one of the JSON library) if
// the value is not such a record.
[[nodiscard]] OpenRecord decode_open_record(const wire::Json& value);

}  // namespace seampass::leader
