// Decides whether a submitted job could ever run, given the settings and the cloud's machine types.
// Pure: it owns no state. Submissions calls it once the machine types are known.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "config/settings.h"
#include "wire/json_fields.h"
#include "wire/types.h"

namespace seampass::jobs {

class JobAdmission {
 public:
  using MachineTypes = std::map<std::string, wire::MachineType>;

  explicit JobAdmission(const config::Settings& settings) : settings_(settings) {}

  // Returns the reason why the job can never run, as an error text for the user, or nothing if the
  // job could run. `record` is the open record that would be stored for the job.
  [[nodiscard]] std::optional<std::string> rejection(const wire::Job& job, const wire::Json& record,
                                                     const MachineTypes& types) const;

 private:
  [[nodiscard]] bool storable(const wire::Json& record) const;

  const config::Settings& settings_;
};

}  // namespace seampass::jobs
