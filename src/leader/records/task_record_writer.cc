#include "leader/records/task_record_writer.h"

#include <utility>
#include <vector>

#include "leader/records/task_record.h"
#include "sched/snapshot.h"

namespace seampass::leader {

using state::Urgency;
using wire::Json;

TaskRecordWriter::TaskRecordWriter(const JobTable& jobs, RecordStore& records, RecordSpans spans)
    : jobs_(jobs), records_(records), layout_(spans) {}

// What was about to be written as a chunk is written as segments instead; the other chunks follow
// when something of their job changes.
void TaskRecordWriter::use_segments(RecordSpans spans) {
  layout_.use(Layout::segments, spans);
  for (const std::string& id : records_.jobs_writing(Layout::chunks)) replace_chunks(id);
}

// A chunk goes once segments cover all of it. Until then it counts for the tasks that no segment
// covers (Recovery), so that each transaction on the way leaves records that are complete.
void TaskRecordWriter::replace_chunks(const std::string& id) {
  while (const auto chunk = records_.chunk_in_use(id)) {
    // (Who waited for a record may have ended the job.)
    const JobRecord* job = jobs_.find(id);
    if (job == nullptr || job->unreadable) return;
    const TaskRange range = layout_.range(*chunk, job->spec.tasks);
    std::vector<RecordId> segments;
    for (std::uint32_t task = range.first; task < range.end;
         task = layout_.range(segments.back(), job->spec.tasks).end)
      segments.push_back(layout_.record_of(task));
    records_.replace(id, *chunk, segments);
  }
}

void TaskRecordWriter::record_changed(const std::string& id, std::uint32_t task, Urgency urgency,
                                      std::function<void()> durable) {
  if (layout_.layout() == Layout::segments) replace_chunks(id);
  records_.write(id, layout_.record_of(task), urgency, std::move(durable));
}

bool TaskRecordWriter::record_settled(const std::string& id, std::uint32_t task) const {
  return records_.settled(id, layout_.record_of(task)) &&
         records_.settled(id, layout_.chunk_of(task));
}

std::optional<Json> TaskRecordWriter::render(const std::string& id, const RecordId& record) const {
  const JobRecord* job = jobs_.find(id);
  if (job == nullptr) return std::nullopt;
  TaskRecord held;
  held.id = record;
  held.range = layout_.range(record, job->spec.tasks);
  const auto end = job->attempts.lower_bound(held.range.end);
  for (auto entry = job->attempts.lower_bound(held.range.first); entry != end; ++entry) {
    const auto& [task, attempt] = *entry;
    held.assignments.push_back({task, attempt.number, attempt.machine->name, attempt.incarnation});
  }
  if (job->ended() && held.assignments.empty()) return std::nullopt;
  held.last_attempt = job->last_attempt;
  held.team = job->spec.team;
  held.request = sched::request_of(job->spec);
  held.job_tasks = job->spec.tasks;
  held.finished.assign(job->finished.begin() + held.range.first,
                       job->finished.begin() + held.range.end);
  return encode(held);
}

}  // namespace seampass::leader
