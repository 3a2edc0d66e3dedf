// The keys of everything that the controllers store in the state service. Only this file builds and
// parses them. Every version of the program uses the same keys (docs/storage.md, "Keys").
//
//   leader               the node that leads; the version at which the key was created is the
//                        leader's epoch
//   cluster              the record layout that all controllers can read (cluster_version.h)
//   open/<job>           a job that was accepted and has no final status yet
//   ends/<job>           the final status of a job (jobs/final_status.h)
//   work/<job>/<record>  a durable record of some of a job's tasks (task_record.h)
//
// These are pure functions, which any part of the program may call.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "leader/records/record_layout.h"

namespace seampass::leader {

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kClusterKey = "cluster";
// Prefixes by which the controllers list and watch keys.
inline constexpr const char* kOpenPrefix = "open/";
inline constexpr const char* kFinalStatusPrefix = "ends/";
inline constexpr const char* kWorkPrefix = "work/";

[[nodiscard]] std::string open_key(const std::string& job);
[[nodiscard]] std::string final_status_key(const std::string& job);
[[nodiscard]] std::string work_key(const std::string& job, const RecordId& id);

// Returns the job of an open/<job> key, or none if the key has another form.
[[nodiscard]] std::optional<std::string> job_from_open_key(std::string_view key);

struct WorkKey {
  std::string job;
  // None if this version does not recognize the last part of the key. A newer version may have
  // written that record, so the caller must not treat the record as absent.
  std::optional<RecordId> record;

  bool operator==(const WorkKey&) const = default;
};
// Returns none if the key does not have the form work/<job>/<anything>.
[[nodiscard]] std::optional<WorkKey> parse_work_key(std::string_view key);

// Returns the last part of a record's key: the index of a chunk, or `s` and the index of a segment.
[[nodiscard]] std::string record_name(const RecordId& id);
// Returns none if this is not the name of a record.
[[nodiscard]] std::optional<RecordId> record_id_from(std::string_view name);

}  // namespace seampass::leader
