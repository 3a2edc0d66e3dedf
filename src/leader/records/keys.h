// The keys of everything that the controllers store in the state service, and the one place that
// makes and parses them. Every version of the program shares these forms (docs/storage.md).
//
//   leader               who leads; the version of its creation is the leader's epoch
//   cluster              what all controllers are known to read (cluster_version.h)
//   open/<job>           a job that was accepted and has not ended
//   ends/<job>           the final status of a job (jobs/final_status.h)
//   work/<job>/<record>  a record of a job's tasks (task_record.h)
//
// Pure functions: any actor may call them.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "leader/records/record_layout.h"

namespace seampass::leader {

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kClusterKey = "cluster";
// To list and to watch by.
inline constexpr const char* kOpenPrefix = "open/";
inline constexpr const char* kFinalStatusPrefix = "ends/";
inline constexpr const char* kWorkPrefix = "work/";

[[nodiscard]] std::string open_key(const std::string& job);
[[nodiscard]] std::string final_status_key(const std::string& job);
[[nodiscard]] std::string work_key(const std::string& job, const RecordId& id);

// The job that an open key names; none if it is no open key.
[[nodiscard]] std::optional<std::string> job_from_open_key(std::string_view key);

struct WorkKey {
  std::string job;
  // None: the last part names no record that this version knows. A newer version may have written
  // it, so that it must not be taken for absent.
  std::optional<RecordId> record;

  bool operator==(const WorkKey&) const = default;
};
// None if the key is not of the form work/<job>/<anything>.
[[nodiscard]] std::optional<WorkKey> parse_work_key(std::string_view key);

// The last part of a record's key: the number of a chunk, or `s` and the number of a segment.
[[nodiscard]] std::string record_name(const RecordId& id);
// None if this names no record.
[[nodiscard]] std::optional<RecordId> record_id_from(std::string_view name);

}  // namespace seampass::leader
