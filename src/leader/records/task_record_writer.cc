#include "leader/records/task_record_writer.h"

#include <utility>
#include <vector>

#include "leader/records/task_record.h"
#include "sched/sched.h"

namespace seampass::leader {

using state::Urgency;
using wire::Json;

TaskRecordWriter::TaskRecordWriter(const JobTable& jobs, RecordStore& records, RecordSpans spans)
    : jobs_(jobs), records_(records), layout_(spans) {}

// Replaces the chunks of every job that has a write of a chunk pending. The chunks of another job
// are replaced at the next change of that job.
void TaskRecordWriter::use_segments(RecordSpans spans) {
  layout_.use(Layout::segments, spans);
  for (const std::string& job_id : records_.jobs_writing(Layout::chunks)) replace_chunks(job_id);
}

// Replaces each chunk of the job by the segments that cover its tasks. The chunk is deleted once
// all of these segments are durable. Until then, Recovery reads the chunk for the tasks that no
// segment covers, so the stored records are complete after every transaction in between.
void TaskRecordWriter::replace_chunks(const std::string& job_id) {
  while (const auto chunk = records_.chunk_in_use(job_id)) {
    // A callback that ran in the previous pass may have ended the job and removed it.
    const JobRecord* job = jobs_.find(job_id);
    if (job == nullptr || job->has_unreadable_record) return;
    const TaskRange range = layout_.range(*chunk, job->spec.tasks);
    std::vector<RecordId> segments;
    for (std::uint32_t task = range.first; task < range.end;
         task = layout_.range(segments.back(), job->spec.tasks).end)
      segments.push_back(layout_.record_of(task));
    records_.replace(job_id, *chunk, segments);
  }
}

void TaskRecordWriter::record_changed(const std::string& job_id, std::uint32_t task,
                                      Urgency urgency, std::function<void()> on_durable) {
  if (layout_.layout() == Layout::segments) replace_chunks(job_id);
  records_.write(job_id, layout_.record_of(task), urgency, std::move(on_durable));
}

bool TaskRecordWriter::record_settled(const std::string& job_id, std::uint32_t task) const {
  return records_.settled(job_id, layout_.record_of(task)) &&
         records_.settled(job_id, layout_.chunk_of(task));
}

std::optional<Json> TaskRecordWriter::render(const std::string& job_id,
                                             const RecordId& record_id) const {
  const JobRecord* job = jobs_.find(job_id);
  if (job == nullptr) return std::nullopt;
  TaskRecord record;
  record.id = record_id;
  record.range = layout_.range(record_id, job->spec.tasks);
  const auto end = job->attempts.lower_bound(record.range.end);
  for (auto entry = job->attempts.lower_bound(record.range.first); entry != end; ++entry) {
    const auto& [task, attempt] = *entry;
    if (attempt.revoked) continue;
    record.assignments.push_back(
        {task, attempt.number, attempt.machine->name, attempt.incarnation});
  }
  if (job->ended() && record.assignments.empty()) return std::nullopt;
  record.last_attempt = job->last_attempt;
  record.team = job->spec.team;
  record.request = sched::request_of(job->spec);
  record.job_tasks = job->spec.tasks;
  record.finished.assign(job->finished.begin() + record.range.first,
                         job->finished.begin() + record.range.end);
  return encode(record);
}

}  // namespace seampass::leader
