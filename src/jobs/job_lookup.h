// What a look-up of a job in the state service has found.
#pragma once

#include "state/client.h"
#include "wire/types.h"

namespace seampass::jobs {

// `open` is said only of a job none of whose dependencies, direct or not, was read as cancelled:
// such a job counts as cancelled itself, whether that is written or not.
enum class Lookup { ended, open, not_found, unavailable };

struct JobLookup {
  Lookup lookup = Lookup::unavailable;
  wire::JobStatus status;  // of an open job: only its id is known
  state::Item open;        // its record, if it is open
};

}  // namespace seampass::jobs
