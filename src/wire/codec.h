// All of the wire's codecs, for those that speak with more than one kind of peer.
#pragma once

#include "wire/cloud_codec.h"   // IWYU pragma: export
#include "wire/json_fields.h"   // IWYU pragma: export
#include "wire/user_codec.h"    // IWYU pragma: export
#include "wire/worker_codec.h"  // IWYU pragma: export
