// What workers send and are sent: heartbeats, their answers, and commands. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace seampass::wire {

// Throws Malformed, naming the first member that is wrong. Unknown members are ignored.
[[nodiscard]] Heartbeat heartbeat_from(std::string_view text);
// The leader's answer; `token` is its epoch.
[[nodiscard]] std::string heartbeat_answer(std::uint64_t token,
                                           const std::vector<Command>& commands);
// The answer of a node that does not lead: where to send heartbeats. `node` is empty if not known.
[[nodiscard]] std::string redirect_answer(const std::string& node);

// Commands that are sent without a heartbeat, to the worker of this incarnation alone.
[[nodiscard]] std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                                        const std::vector<Command>& commands);

}  // namespace seampass::wire
