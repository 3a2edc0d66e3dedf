#include "jobs/final_status.h"

namespace seampass::jobs {

wire::Json encode(const FinalStatus& status) {
  return {{"stage", wire::stage_name(status.stage)}, {"done", status.done}};
}

FinalStatus decode_final_status(const wire::Json& value) {
  FinalStatus status;
  status.stage = wire::stage_from(wire::text_field(value, "stage"));
  status.done = wire::count_field(value, "done");
  const bool final = status.stage == wire::Stage::done || status.stage == wire::Stage::cancelled;
  if (!final) throw wire::Malformed("a stage that is not final");
  return status;
}

}  // namespace seampass::jobs
