// Decodes the heartbeats of workers; encodes the responses to them and the commands for workers.
// Pure functions without I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace seampass::wire {

// Decodes a heartbeat. Throws Malformed, which names the first invalid member. Ignores unknown
// members.
[[nodiscard]] Heartbeat heartbeat_from(std::string_view text);
// The leader's response to a heartbeat. `token` is the leader's epoch.
[[nodiscard]] std::string heartbeat_answer(std::uint64_t token,
                                           const std::vector<Command>& commands);
// The response of a node that is not the leader: it names the node to which the worker should send
// its heartbeats. `node` is empty if no leader is known.
[[nodiscard]] std::string redirect_answer(const std::string& node);

// The body of a request that sends commands without waiting for a heartbeat. They are meant only
// for this incarnation of the worker; `token` is the leader's epoch.
[[nodiscard]] std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                                        const std::vector<Command>& commands);

}  // namespace seampass::wire
