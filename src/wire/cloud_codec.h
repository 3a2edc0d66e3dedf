// What the cloud is sent and answers: its machine types, renting, deleting and listing machines.
// No I/O. The functions that read throw Malformed, naming the member that is wrong.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wire/types.h"

namespace seampass::wire {

[[nodiscard]] std::vector<MachineType> catalog_from(std::string_view text);

[[nodiscard]] std::string rental_body(const Rental& rental);
// The names of the machines that were rented.
[[nodiscard]] std::vector<std::string> rented_from(std::string_view text);
[[nodiscard]] std::string delete_body(const std::vector<std::string>& machines);

[[nodiscard]] MachinePage machines_from(std::string_view text);

}  // namespace seampass::wire
