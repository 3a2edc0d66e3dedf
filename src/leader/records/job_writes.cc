#include "leader/records/job_writes.h"

#include <algorithm>
#include <utility>

namespace seampass::leader {

void RecordState::mark_dirty(state::Urgency at_least) {
  urgency = dirty ? std::min(urgency, at_least) : at_least;
  dirty = true;
}

void RecordState::mark_unwritten() {
  sending = false;
  dirty = true;
}

void RecordState::move_waiters_to(std::vector<std::function<void()>>& destination) {
  for (auto& waiter : waiters) destination.push_back(std::move(waiter));
  waiters.clear();
}

bool JobWrites::settled(const RecordId& id) const {
  const auto record = records.find(id);
  return record == records.end() || record->second.settled();
}

bool JobWrites::no_task_records_left() const {
  if (!transmission.idle() || final_status_pending()) return false;
  return std::none_of(records.begin(), records.end(),
                      [](const auto& entry) { return entry.second.exists(); });
}

std::vector<RecordId> JobWrites::existing_records() const {
  std::vector<RecordId> ids;
  for (const auto& [id, record] : records)
    if (record.exists()) ids.push_back(id);
  return ids;
}

std::optional<RecordId> JobWrites::chunk_in_use() const {
  // Record ids sort all segments before all chunks, so the search starts at the first chunk.
  const auto chunk = std::find_if(
      records.lower_bound({Layout::chunks, 0}), records.end(),
      [](const auto& entry) { return !entry.second.being_replaced && entry.second.exists(); });
  if (chunk == records.end()) return std::nullopt;
  return chunk->first;
}

bool JobWrites::has_pending_writes(Layout layout) const {
  return std::any_of(records.begin(), records.end(), [layout](const auto& entry) {
    return entry.first.layout == layout && !entry.second.settled();
  });
}

}  // namespace seampass::leader
