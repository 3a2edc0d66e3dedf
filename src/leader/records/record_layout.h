// How the tasks of a job are divided over its durable records. A record covers a range of tasks
// that is fixed by its id, so that what changes of one task is written in one place.
//
// There are two layouts. Every version of the program reads chunks; segments are smaller, and only
// used once all controllers are known to read them (see cluster_version.h). Plain values: the
// Controller owns the layout of its term.
#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace seampass::leader {

// In the order in which records of one job are written: what replaces a chunk goes before its end.
enum class Layout { segments, chunks };

struct RecordId {
  Layout layout = Layout::chunks;
  std::uint32_t index = 0;

  bool operator==(const RecordId&) const = default;
  bool operator<(const RecordId& other) const {
    return std::tie(layout, index) < std::tie(other.layout, other.index);
  }
};

// Tasks from `first` up to, and without, `end`.
struct TaskRange {
  std::uint32_t first = 0, end = 0;

  [[nodiscard]] std::uint32_t size() const { return end - first; }
  [[nodiscard]] bool contains(std::uint32_t task) const { return first <= task && task < end; }
};

// Tasks in one record of each layout.
struct RecordSpans {
  std::uint32_t chunk = 0, segment = 0;

  // The spans at which no value outgrows these sizes (KiB).
  [[nodiscard]] static RecordSpans for_values(double chunk_kb, double segment_kb) {
    return {std::max(kLeastChunk, bytes(chunk_kb) / kChunkTaskBytes),
            std::max(kLeastSegment, (bytes(segment_kb) - kSegmentHeadBytes) / kSegmentTaskBytes)};
  }

 private:
  // Bytes that one task may need, and in a segment what does not depend on the tasks.
  static constexpr std::uint32_t kChunkTaskBytes = 64;
  static constexpr std::uint32_t kSegmentTaskBytes = 36;
  static constexpr std::uint32_t kSegmentHeadBytes = 512;
  static constexpr std::uint32_t kLeastChunk = 16;
  static constexpr std::uint32_t kLeastSegment = 16;

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

  // The record that a change of this task is written to now.
  [[nodiscard]] RecordId record_of(std::uint32_t task) const {
    return {layout_, task / span(layout_)};
  }
  // The chunk that holds the task, or held it before segments came into use.
  [[nodiscard]] RecordId chunk_of(std::uint32_t task) const {
    return {Layout::chunks, task / spans_.chunk};
  }
  // The tasks of a record, of a job with so many.
  [[nodiscard]] TaskRange range(const RecordId& id, std::uint32_t tasks) const {
    const std::uint64_t first = std::uint64_t{id.index} * span(id.layout);
    const auto bounded = [tasks](std::uint64_t task) {
      return static_cast<std::uint32_t>(std::min<std::uint64_t>(task, tasks));
    };
    return {bounded(first), bounded(first + span(id.layout))};
  }

 private:
  [[nodiscard]] std::uint32_t span(Layout layout) const {
    return layout == Layout::chunks ? spans_.chunk : spans_.segment;
  }

  Layout layout_ = Layout::chunks;
  RecordSpans spans_;
};

}  // namespace seampass::leader
