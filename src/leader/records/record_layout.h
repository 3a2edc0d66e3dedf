// RecordLayout divides the tasks of a job among the job's durable records. The id of a record
// determines the range of tasks that it covers, so a change of one task is written to one record.
//
// There are two layouts. Every version of the program reads chunks. Segments are smaller, and the
// leader writes them only once all controllers are known to read them (see cluster_version.h).
// These are plain values. The TaskRecordWriter owns the layout of the current term.
#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace seampass::leader {

// The values are in the order in which the records of one job are written. Segments come first, so
// that they are durable before, or together with, the deletion of the chunk that they replace.
enum class Layout { segments, chunks };

struct RecordId {
  Layout layout = Layout::chunks;
  std::uint32_t index = 0;

  bool operator==(const RecordId&) const = default;
  bool operator<(const RecordId& other) const {
    return std::tie(layout, index) < std::tie(other.layout, other.index);
  }
};

// The tasks from `first` up to, but not including, `end`.
struct TaskRange {
  std::uint32_t first = 0, end = 0;

  [[nodiscard]] std::uint32_t size() const { return end - first; }
  [[nodiscard]] bool contains(std::uint32_t task) const { return first <= task && task < end; }
};

// The number of tasks in one record of each layout.
struct RecordSpans {
  std::uint32_t chunk = 0, segment = 0;

  // Returns spans with which no stored value exceeds these sizes, in KiB. A size that is too small
  // for the minimum number of tasks yields that minimum.
  [[nodiscard]] static RecordSpans for_values(double chunk_kb, double segment_kb) {
    return {std::max(kMinChunkTasks, bytes(chunk_kb) / kChunkBytesPerTask),
            std::max(kMinSegmentTasks,
                     (bytes(segment_kb) - kSegmentFixedBytes) / kSegmentBytesPerTask)};
  }

 private:
  // The bytes that one task may need, and the bytes of a segment that do not depend on its tasks.
  static constexpr std::uint32_t kChunkBytesPerTask = 64;
  static constexpr std::uint32_t kSegmentBytesPerTask = 36;
  static constexpr std::uint32_t kSegmentFixedBytes = 512;
  static constexpr std::uint32_t kMinChunkTasks = 16;
  static constexpr std::uint32_t kMinSegmentTasks = 16;

  static constexpr double kBytesPerKb = 1024;

  static std::uint32_t bytes(double size_kb) {
    return static_cast<std::uint32_t>(size_kb * kBytesPerKb);
  }
};

class RecordLayout {
 public:
  explicit RecordLayout(RecordSpans spans) : spans_(spans) {}

  [[nodiscard]] Layout layout() const { return layout_; }
  [[nodiscard]] const RecordSpans& spans() const { return spans_; }
  void use(Layout layout, RecordSpans spans) {
    layout_ = layout;
    spans_ = spans;
  }

  // Returns the record to which a change of this task is written in the current layout.
  [[nodiscard]] RecordId record_of(std::uint32_t task) const {
    return {layout_, task / span(layout_)};
  }
  // Returns the chunk that covers the task, also when the current layout uses segments.
  [[nodiscard]] RecordId chunk_of(std::uint32_t task) const {
    return {Layout::chunks, task / spans_.chunk};
  }
  // Returns the tasks that a record covers in a job of `job_tasks` tasks.
  [[nodiscard]] TaskRange range(const RecordId& id, std::uint32_t job_tasks) const {
    const std::uint64_t first = std::uint64_t{id.index} * span(id.layout);
    const auto clamp_to_job = [job_tasks](std::uint64_t task) {
      return static_cast<std::uint32_t>(std::min<std::uint64_t>(task, job_tasks));
    };
    return {clamp_to_job(first), clamp_to_job(first + span(id.layout))};
  }

 private:
  [[nodiscard]] std::uint32_t span(Layout layout) const {
    return layout == Layout::chunks ? spans_.chunk : spans_.segment;
  }

  Layout layout_ = Layout::chunks;
  RecordSpans spans_;
};

}  // namespace seampass::leader
