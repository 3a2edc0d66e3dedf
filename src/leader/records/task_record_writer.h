// TaskRecordWriter decides which durable record a task belongs to, renders the record from the
// JobTable and requests its writes. The RecordStore performs the writes.
//
// TaskRecordWriter owns the layout in which records are written: chunks until all controllers are
// known to read segments, and segments from then on. The parts of LeaderTerm call it on the event
// loop's thread, during a term of leadership.
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

  // Starts a term. Records are written as chunks until use_segments() is called.
  void start_term(RecordSpans spans) { layout_.use(Layout::chunks, spans); }
  // Switches to segments. The caller has established that all controllers read them.
  void use_segments(RecordSpans spans);

  // Requests a write after a change of this task. `on_durable` runs once the task's record is
  // durable with the content that it has at the time of this call.
  void record_changed(const std::string& job_id, std::uint32_t task, state::Urgency urgency,
                      std::function<void()> on_durable = nullptr);
  // Returns true if no record that covers this task has a write queued or in flight.
  [[nodiscard]] bool record_settled(const std::string& job_id, std::uint32_t task) const;
  // Returns the record to which a change of this task is written in the current layout.
  [[nodiscard]] RecordId record_of(std::uint32_t task) const { return layout_.record_of(task); }
  // Returns the content that the record should have now, or none if it should not exist.
  [[nodiscard]] std::optional<wire::Json> render(const std::string& job_id,
                                                 const RecordId& record_id) const;
  [[nodiscard]] const RecordLayout& layout() const { return layout_; }

 private:
  void replace_chunks(const std::string& job_id);

  const JobTable& jobs_;
  RecordStore& records_;
  RecordLayout layout_;
};

}  // namespace seampass::leader
