// Includes all codecs of this folder, for code that exchanges messages with more than one kind of
// program (users, workers, the cloud).
#pragma once

#include "wire/cloud_codec.h"   // IWYU pragma: export
#include "wire/json_fields.h"   // IWYU pragma: export
#include "wire/user_codec.h"    // IWYU pragma: export
#include "wire/worker_codec.h"  // IWYU pragma: export
