// Converts the messages between controllers to and from Cap'n Proto bytes (peer.capnp).
//
// During an upgrade, controllers of the previous version read and write the same bytes. The Formats
// tests therefore compare the bytes with literals.
#pragma once

#include <string>
#include <string_view>

#include "rpc/peer.h"

namespace seampass::rpc {

// Encodes a message in an Envelope that states this program's version (kOwnVersion).
[[nodiscard]] std::string encode(const Message& message);
// Throws std::runtime_error if the bytes are malformed.
Envelope decode(std::string_view bytes);

}  // namespace seampass::rpc
