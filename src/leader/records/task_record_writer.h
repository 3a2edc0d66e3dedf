// What the durable records of tasks hold, and when they are written.
//
// Owns the layout in which records are written: chunks until all controllers are known to read
// segments, segments from then on. The RecordStore sends the records; this class says which record
// a task belongs to and renders it from the JobTable. Used by the leader's loop only.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "leader/jobs/job_table.h"
#include "leader/records/record_layout.h"
#include "leader/records/record_store.h"
#include "state/client.h"
#include "wire/types.h"

namespace seampass::leader {

class TaskRecordWriter {
 public:
  TaskRecordWriter(const JobTable& jobs, RecordStore& records, RecordSpans spans);

  // A term begins: records are written as chunks until `use_segments`.
  void start_term(RecordSpans spans) { layout_.use(Layout::chunks, spans); }
  // All controllers read segments from now on.
  void use_segments(RecordSpans spans);

  // What the record of this task of the job should hold has changed; `durable` runs once it is in
  // the store.
  void record_changed(const std::string& id, std::uint32_t task, state::Urgency urgency,
                      std::function<void()> durable = nullptr);
  // Nothing of the records that hold this task waits or is on its way.
  [[nodiscard]] bool record_settled(const std::string& id, std::uint32_t task) const;
  // The record that a change of this task is written to now.
  [[nodiscard]] RecordId record_of(std::uint32_t task) const { return layout_.record_of(task); }
  // What a record should hold now; none: it should not exist.
  [[nodiscard]] std::optional<wire::Json> render(const std::string& id,
                                                 const RecordId& record) const;
  [[nodiscard]] const RecordLayout& layout() const { return layout_; }

 private:
  void replace_chunks(const std::string& id);

  const JobTable& jobs_;
  RecordStore& records_;
  RecordLayout layout_;
};

}  // namespace seampass::leader
