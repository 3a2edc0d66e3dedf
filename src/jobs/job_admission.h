// Whether a job could ever run, by the settings and the cloud's machine types. Pure: owns no state.
// Used by Submissions, once the machine types are known.
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

  // Why the job can never run, as its user is told; none if it could. `record` is what would be
  // stored of it.
  [[nodiscard]] std::optional<std::string> rejection(const wire::Job& job, const wire::Json& record,
                                                     const MachineTypes& types) const;

 private:
  [[nodiscard]] bool storable(const wire::Json& record) const;

  const config::Settings& settings_;
};

}  // namespace seampass::jobs
