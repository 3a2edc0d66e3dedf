// TaskRanges is an ascending list of task indices, stored as ranges of consecutive indices. A job
// may have 100,000 tasks, and nearly all of them follow one another, so the memory that the list
// needs depends on its gaps and not on the number of tasks. It is a plain value.
#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <set>
#include <vector>

namespace seampass::sched {

class TaskRanges {
  // The tasks from `first` up to, but not including, `end`; never empty.
  struct Range {
    std::uint32_t first = 0, end = 0;

    bool operator==(const Range&) const = default;
  };

 public:
  class Iterator {
   public:
    Iterator() = default;
    std::uint32_t operator*() const { return range_->first + offset_; }
    Iterator& operator++() {
      if (++offset_ < range_->end - range_->first) return *this;
      ++range_;
      offset_ = 0;
      return *this;
    }
    Iterator operator++(int) {
      const Iterator before = *this;
      ++*this;
      return before;
    }
    bool operator==(const Iterator&) const = default;

   private:
    friend class TaskRanges;
    explicit Iterator(const Range* range) : range_(range) {}

    const Range* range_ = nullptr;
    std::uint32_t offset_ = 0;
  };

  TaskRanges() = default;
  TaskRanges(std::initializer_list<std::uint32_t> tasks) {
    for (const std::uint32_t task : tasks) push_back(task);
  }
  // Returns the tasks from 0 up to, but not including, `end`.
  [[nodiscard]] static TaskRanges up_to(std::uint32_t end) {
    TaskRanges tasks;
    if (end > 0) tasks.ranges_.push_back({0, end});
    tasks.size_ = end;
    return tasks;
  }

  // Appends a task, which must be greater than all tasks in the list.
  void push_back(std::uint32_t task) {
    ++size_;
    if (!ranges_.empty() && ranges_.back().end == task) {
      ++ranges_.back().end;
      return;
    }
    ranges_.push_back({task, task + 1});
  }
  void remove(const std::set<std::uint32_t>& tasks) {
    TaskRanges remaining;
    for (const std::uint32_t task : *this)
      if (!tasks.contains(task)) remaining.push_back(task);
    *this = remaining;
  }
  void clear() {
    ranges_.clear();
    size_ = 0;
  }

  [[nodiscard]] std::size_t size() const { return size_; }
  [[nodiscard]] bool empty() const { return size_ == 0; }
  // The list must not be empty.
  [[nodiscard]] std::uint32_t front() const { return ranges_.front().first; }
  [[nodiscard]] std::size_t range_count() const { return ranges_.size(); }
  [[nodiscard]] Iterator begin() const { return Iterator(ranges_.data()); }
  [[nodiscard]] Iterator end() const { return Iterator(ranges_.data() + ranges_.size()); }
  bool operator==(const TaskRanges&) const = default;

 private:
  std::vector<Range> ranges_;
  std::size_t size_ = 0;
};

}  // namespace seampass::sched
