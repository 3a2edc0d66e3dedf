// Messages between controllers to and from Cap'n Proto bytes (peer.capnp).
//
// During an upgrade controllers of the previous version read and write the same bytes: the Formats
// tests hold them as literals.
#pragma once

#include <string>
#include <string_view>

#include "rpc/peer.h"

namespace seampass::rpc {

// With the version of this program.
[[nodiscard]] std::string encode(const Message& message);
// Throws std::runtime_error on anything malformed.
Envelope decode(std::string_view bytes);

}  // namespace seampass::rpc
