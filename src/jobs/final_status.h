// The record of how a job ended, ends/<job>: the one place that writes and reads its form. The
// leader writes it; every controller reads it. Pure functions.
#pragma once

#include <cstdint>

#include "wire/codec.h"
#include "wire/types.h"

namespace seampass::jobs {

struct FinalStatus {
  wire::Stage stage = wire::Stage::done;  // done or cancelled
  std::uint64_t done = 0;                 // tasks that were done
};

[[nodiscard]] wire::Json encode(const FinalStatus& status);
// Throws wire::Malformed for anything that does not say `done` or `withdrawn`. Such a record must
// count as neither, and the outcome as unknown: dependents of the job would otherwise start, or be
// cancelled, without reason.
FinalStatus decode_final_status(const wire::Json& value);

}  // namespace seampass::jobs
