// Encodes requests to the cloud and decodes its responses: the catalog of machine types, and
// renting, deleting and listing machines. Pure functions without I/O; cloud::Client calls them. The
// decoding functions (`..._from`) throw Malformed, which names the invalid JSON member.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace seampass::wire {

// The machine types in a response to `GET /catalog`.
[[nodiscard]] std::vector<MachineType> catalog_from(std::string_view text);

// The body of `POST /rentals`.
[[nodiscard]] std::string rental_body(const Rental& rental);
// The names of the rented machines in the response to `POST /rentals`.
[[nodiscard]] std::vector<std::string> rented_from(std::string_view text);
// The body of `POST /rentals/delete`; `machines` holds machine names.
[[nodiscard]] std::string delete_body(const std::vector<std::string>& machines);

// One page of the machine list in a response to `GET /rentals`.
[[nodiscard]] MachinePage machines_from(std::string_view text);

}  // namespace seampass::wire
