// The record of a job's final status, which the state service holds under the key ends/<job>. Only
// the functions here encode and decode it. The leader writes the record and every controller reads
// it. Pure functions.
#pragma once

#include <cstdint>

#include "wire/codec.h"
#include "wire/types.h"

namespace seampass::jobs {

struct FinalStatus {
  wire::Stage stage = wire::Stage::done;  // done or cancelled
  std::uint64_t done = 0;                 // number of tasks that completed
};

[[nodiscard]] wire::Json encode(const FinalStatus& status);
// Throws wire::Malformed unless the record is well formed and its stage is `done` or `withdrawn`
// (cancelled). The caller must then treat the job's outcome as unknown. If it assumed `done`, jobs
// that depend on this one would start without reason; if it assumed `withdrawn`, they would be
// cancelled without reason.
FinalStatus decode_final_status(const wire::Json& value);

}  // namespace seampass::jobs
