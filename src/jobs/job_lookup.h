// The result of looking up a job in the state service.
#pragma once

#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

// A job counts as cancelled as soon as one of its direct or indirect dependencies is cancelled,
// even if the job's own final status is not written yet. So the result is `open` only if none of
// these dependencies was read as cancelled.
enum class Lookup { ended, open, not_found, unavailable };

struct JobLookup {
  Lookup lookup = Lookup::unavailable;
  wire::JobStatus status;   // for an open job, only the id is set
  state::Item open_record;  // the job's open record, if the job is open
};

}  // namespace seampass::jobs
